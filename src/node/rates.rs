//! The accounts of all organisations at this node, and the charge of a request.

use std::{collections::HashMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::{sync::Notify, time::timeout};

use crate::{
    clock::{self, Timestamp},
    config::Configuration,
    membership::View,
    names::{OrganisationName, Revision, TableVersion},
    node::Shared,
    rate::{Account, AccountSnapshot, Allowance, Charge, jittered},
};

/// Part of the time left until its deadline that a request may wait for a token.
const WAIT_FRACTION: u32 = 4;
/// Retry-After for a caller whose request reached a node without a valid row lease.
const NO_LEASE_RETRY: Duration = Duration::from_secs(1);

/// The accounts of all organisations at this node.
#[derive(Debug, Default)]
pub struct Rates {
    accounts: ArcSwap<HashMap<OrganisationName, Arc<AccountCell>>>,
    adding: Mutex<()>,
    /// Notified when requests wait for tokens of other nodes.
    pub wanted: Notify,
}

/// The account of one organisation.
#[derive(Debug, Default)]
pub struct AccountCell {
    state: Mutex<CellState>,
    /// Notified when tokens have come.
    refilled: Notify,
}

#[derive(Debug, Default)]
struct CellState {
    account: Account,
    applied: Applied,
}

/// What the account's figures were computed from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Applied {
    revision: Revision,
    table_version: TableVersion,
    settled: bool,
}

/// Why a request was not charged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ChargeRefusal {
    /// The node may not use its share now.
    NoLease {
        /// When the caller may try again.
        retry_after: Duration,
    },
    /// The organisation is over its rate.
    OverRate {
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// A token that was taken for a request which has not left the node.
#[derive(Debug)]
pub struct HeldCharge {
    cell: Arc<AccountCell>,
    open: bool,
}

impl HeldCharge {
    /// Puts the token back, since the request did not leave the node.
    pub fn refund(mut self) {
        self.open = false;
        self.cell.state.lock().account.refund(clock::now());
    }
}

impl Drop for HeldCharge {
    fn drop(&mut self) {
        if self.open {
            self.cell.state.lock().account.spend();
        }
    }
}

struct Waiting<'a>(&'a AccountCell);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.state.lock().account.end_wait();
    }
}

impl Rates {
    /// Names of all accounts with their cells.
    pub fn all(&self) -> Arc<HashMap<OrganisationName, Arc<AccountCell>>> {
        self.accounts.load_full()
    }

    /// Finds or opens the account of an organisation of the configuration in force.
    pub fn account(&self, shared: &Shared, name: &str) -> Option<Arc<AccountCell>> {
        if let Some(cell) = self.accounts.load().get(name) {
            return Some(cell.clone());
        }
        let name = shared.configuration.load().organisation(name)?.name.clone();
        let _adding = self.adding.lock();
        let mut accounts = HashMap::clone(&self.accounts.load());
        let cell = accounts.entry(name).or_default().clone();
        self.accounts.store(Arc::new(accounts));
        Some(cell)
    }

    /// Opens the accounts of new organisations and closes those of removed ones once no loan is
    /// left of them.
    pub fn follow_configuration(&self, configuration: &Configuration) {
        let accounts = self.accounts.load();
        let missing = configuration
            .organisations()
            .any(|organisation| !accounts.contains_key(&organisation.name));
        let removed = accounts.iter().any(|(name, cell)| closable(configuration, name, cell));
        if !missing && !removed {
            return;
        }
        let _adding = self.adding.lock();
        let mut accounts = HashMap::clone(&self.accounts.load());
        accounts.retain(|name, cell| !closable(configuration, name, cell));
        for organisation in configuration.organisations() {
            accounts.entry(organisation.name.clone()).or_default();
        }
        self.accounts.store(Arc::new(accounts));
    }

    /// Limits every account to the shares of a table version that is not adopted yet.
    ///
    /// Returns whether all outstanding loans fit, so that the version may be adopted.
    pub fn prepare(&self, shared: &Shared, view: &View) -> bool {
        let now = clock::now();
        let share = view.share(&shared.settings.instance, shared.incarnation);
        let accounts = self.accounts.load();
        // Every account must be limited, so this does not stop at the first that does not fit.
        let fitting = accounts.iter().filter(|(name, cell)| {
            cell.with(shared, name, now, |account| account.prepare_share(share, now))
        });
        fitting.count() == accounts.len()
    }

    /// State of all accounts for people and programs.
    pub fn snapshot(&self, shared: &Shared) -> Vec<(OrganisationName, AccountSnapshot)> {
        let now = clock::now();
        let accounts = self.accounts.load();
        let snapshots = accounts.iter().map(|(name, cell)| {
            (name.clone(), cell.with(shared, name, now, |account| account.snapshot(now)))
        });
        let mut snapshots: Vec<_> = snapshots.collect();
        snapshots.sort_by(|a, b| a.0.cmp(&b.0));
        snapshots
    }
}

impl AccountCell {
    /// Runs `action` on the account, brought to the configuration and table in force.
    pub fn with<T>(
        &self,
        shared: &Shared,
        name: &str,
        now: Timestamp,
        action: impl FnOnce(&mut Account) -> T,
    ) -> T {
        let configuration = shared.configuration.load();
        let view = shared.view.load();
        let mut state = self.state.lock();
        let state = &mut *state;
        let current = Applied {
            revision: configuration.revision,
            table_version: view.table.version,
            settled: view.settled,
        };
        let applied = state.applied;
        if current != applied {
            state.applied = current;
            let total = configuration.organisation(name).map_or(Allowance::default(), |it| {
                Allowance { rate_per_s: it.rate_per_s, burst: it.burst }
            });
            state.account.set_total(total, now);
            // A new revision alone must not lift the limit of a table version that is prepared.
            if current.table_version != applied.table_version || current.settled != applied.settled
            {
                let share = view.share(&shared.settings.instance, shared.incarnation);
                state.account.set_share(share, now);
            }
        }
        action(&mut state.account)
    }

    /// Wakes the requests that wait for a token.
    pub fn wake(&self) {
        self.refilled.notify_waiters();
    }
}

/// Charges a request of an organisation, if need be after a short wait for another node's tokens.
pub async fn charge(
    shared: &Shared,
    organisation: &str,
    deadline: Timestamp,
) -> Result<HeldCharge, ChargeRefusal> {
    let Some(cell) = shared.rates.account(shared, organisation) else {
        return Err(ChargeRefusal::OverRate { retry_after: NO_LEASE_RETRY });
    };
    let arrived = clock::now();
    let wait = (deadline.saturating_sub(arrived) / WAIT_FRACTION).min(Account::MAX_WAIT);
    let give_up = arrived + wait;
    let mut waiting = None;
    loop {
        // Registered before the bucket is looked at, so that no refill is missed.
        let refilled = cell.refilled.notified();
        tokio::pin!(refilled);
        refilled.as_mut().enable();
        let now = clock::now();
        let is_repeat = waiting.is_some();
        // Read before the view: a lease that was published with a newer table must not be used
        // with the shares of an older one.
        let lease_until = shared.lease.row_until();
        let charge = cell.with(shared, organisation, now, |account| {
            let charge = account.charge(now, lease_until, is_repeat);
            let empty = matches!(charge, Charge::Empty { may_wait: true, .. });
            if empty && !is_repeat && now < give_up {
                account.begin_wait();
            }
            charge
        });
        let (retry_after, may_wait) = match charge {
            Charge::Admitted => return Ok(HeldCharge { cell: cell.clone(), open: true }),
            Charge::NoLease => {
                let retry_after = jittered(NO_LEASE_RETRY, &mut rand::rng());
                return Err(ChargeRefusal::NoLease { retry_after });
            }
            Charge::Empty { retry_after, may_wait } => (retry_after, may_wait),
        };
        if now >= give_up || !may_wait {
            let retry_after = jittered(retry_after, &mut rand::rng());
            return Err(ChargeRefusal::OverRate { retry_after });
        }
        waiting.get_or_insert_with(|| Waiting(&cell));
        shared.rates.wanted.notify_one();
        let _ = timeout(retry_after.min(give_up - now), refilled).await;
    }
}

fn closable(configuration: &Configuration, name: &str, cell: &AccountCell) -> bool {
    configuration.organisation(name).is_none() && cell.state.lock().account.is_idle()
}
