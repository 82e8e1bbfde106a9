//! Rate accounts of all organisations at this node, and charging of requests.

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

/// A request waits for a token at most the time left until its deadline divided by this.
const WAIT_DIVISOR: u32 = 4;
/// Mean Retry-After for a request that reached a node without a valid row lease, and fixed
/// Retry-After for an organisation that is not in the configuration.
const NO_LEASE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Rate accounts of all organisations at this node.
#[derive(Debug, Default)]
pub struct Rates {
    accounts: ArcSwap<HashMap<OrganisationName, Arc<AccountCell>>>,
    write_lock: Mutex<()>,
    /// Notified when loans should be planned at once: requests wait for tokens, or this node
    /// recently could not lend what another node requested.
    pub planning_needed: Notify,
}

/// Rate account of one organisation.
#[derive(Debug, Default)]
pub struct AccountCell {
    state: Mutex<AccountState>,
    /// Notified when the account may have received tokens.
    refilled: Notify,
}

#[derive(Debug, Default)]
struct AccountState {
    account: Account,
    applied: AppliedVersions,
}

/// Versions of the configuration and of the table from which an account's rate and share were
/// computed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct AppliedVersions {
    revision: Revision,
    table_version: TableVersion,
    settled: bool,
}

/// Why a request was not charged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ChargeRefusal {
    /// The node has no valid row lease, so it must not use its share.
    NoLease {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The organisation is over its rate, or is not in the configuration.
    OverRate {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// A token charged for a request. It is spent when this is dropped, unless it is refunded.
#[derive(Debug)]
pub struct HeldCharge {
    cell: Arc<AccountCell>,
    is_held: bool,
}

impl HeldCharge {
    /// Refunds the token of a request that was refused before any attempt.
    pub fn refund(mut self) {
        self.is_held = false;
        self.cell.state.lock().account.refund(clock::now());
    }
}

impl Drop for HeldCharge {
    fn drop(&mut self) {
        if self.is_held {
            self.cell.state.lock().account.spend();
        }
    }
}

/// Counts a request as waiting for a token until it is dropped.
struct WaitGuard<'a>(&'a AccountCell);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.state.lock().account.end_wait();
    }
}

impl Rates {
    /// Accounts of all organisations by name.
    pub fn accounts(&self) -> Arc<HashMap<OrganisationName, Arc<AccountCell>>> {
        self.accounts.load_full()
    }

    /// Returns the account of an organisation, and creates it if the configuration in force has the
    /// organisation.
    pub fn account(&self, shared: &Shared, name: &str) -> Option<Arc<AccountCell>> {
        if let Some(cell) = self.accounts.load().get(name) {
            return Some(cell.clone());
        }
        let name = shared.configuration.load().organisation(name)?.name.clone();
        let _writing = self.write_lock.lock();
        let mut accounts = HashMap::clone(&self.accounts.load());
        let cell = accounts.entry(name).or_default().clone();
        self.accounts.store(Arc::new(accounts));
        Some(cell)
    }

    /// Creates the accounts of new organisations, and deletes those of removed organisations once
    /// they have no loans left.
    pub fn follow_configuration(&self, configuration: &Configuration) {
        let accounts = self.accounts.load();
        let missing = configuration
            .organisations()
            .any(|organisation| !accounts.contains_key(&organisation.name));
        let removed = accounts.iter().any(|(name, cell)| is_removable(configuration, name, cell));
        if !missing && !removed {
            return;
        }
        let _writing = self.write_lock.lock();
        let mut accounts = HashMap::clone(&self.accounts.load());
        accounts.retain(|name, cell| !is_removable(configuration, name, cell));
        for organisation in configuration.organisations() {
            accounts.entry(organisation.name.clone()).or_default();
        }
        self.accounts.store(Arc::new(accounts));
    }

    /// Limits every account to its share under a table version that is not adopted yet.
    ///
    /// Returns whether all outstanding loans fit into the shares, so that the version may be
    /// adopted.
    pub fn prepare_shares(&self, shared: &Shared, view: &View) -> bool {
        let now = clock::now();
        let share = view.share(&shared.settings.instance, shared.incarnation);
        let accounts = self.accounts.load();
        // Every account must be limited, so this counts instead of stopping at the first misfit.
        let fitting = accounts.iter().filter(|(name, cell)| {
            cell.with_account(shared, name, now, |account| account.prepare_share(share, now))
        });
        fitting.count() == accounts.len()
    }

    /// State of all accounts for operators, sorted by organisation.
    pub fn snapshot(&self, shared: &Shared) -> Vec<(OrganisationName, AccountSnapshot)> {
        let now = clock::now();
        let accounts = self.accounts.load();
        let snapshots = accounts.iter().map(|(name, cell)| {
            (name.clone(), cell.with_account(shared, name, now, |account| account.snapshot(now)))
        });
        let mut snapshots: Vec<_> = snapshots.collect();
        snapshots.sort_by(|a, b| a.0.cmp(&b.0));
        snapshots
    }
}

impl AccountCell {
    /// Applies the configuration and table in force to the account, then runs `action` on it.
    pub fn with_account<T>(
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
        let current = AppliedVersions {
            revision: configuration.revision,
            table_version: view.table.version,
            settled: view.is_settled,
        };
        let applied = state.applied;
        if current != applied {
            state.applied = current;
            let total = configuration.organisation(name).map_or(Allowance::default(), |it| {
                Allowance { rate_per_s: it.rate_per_s, burst: it.burst }
            });
            state.account.set_total(total, now);
            // A new revision alone must not lift the limit that a prepared table version has set.
            if current.table_version != applied.table_version || current.settled != applied.settled
            {
                let share = view.share(&shared.settings.instance, shared.incarnation);
                state.account.set_share(share, now);
            }
        }
        action(&mut state.account)
    }

    /// Wakes all requests that wait for a token.
    pub fn wake_waiters(&self) {
        self.refilled.notify_waiters();
    }
}

/// Charges a request to its organisation; waits a short time for a token if the bucket is empty.
pub async fn charge(
    shared: &Shared,
    organisation: &str,
    deadline: Timestamp,
) -> Result<HeldCharge, ChargeRefusal> {
    let Some(cell) = shared.rates.account(shared, organisation) else {
        return Err(ChargeRefusal::OverRate { retry_after: NO_LEASE_RETRY_DELAY });
    };
    let arrived_at = clock::now();
    let wait = (deadline.saturating_sub(arrived_at) / WAIT_DIVISOR).min(Account::MAX_WAIT);
    let wait_until = arrived_at + wait;
    let mut waiting = None;
    loop {
        // Registered before the bucket is checked, so that no refill is missed.
        let refilled = cell.refilled.notified();
        tokio::pin!(refilled);
        refilled.as_mut().enable();
        let now = clock::now();
        let is_repeat = waiting.is_some();
        // Read before the view: a lease published with a newer table must not be used with the
        // shares of an older one.
        let lease_until = shared.lease.row_until();
        let charge = cell.with_account(shared, organisation, now, |account| {
            let charge = account.charge(now, lease_until, is_repeat);
            let empty = matches!(charge, Charge::Empty { may_wait: true, .. });
            if empty && !is_repeat && now < wait_until {
                account.begin_wait();
            }
            charge
        });
        let (retry_after, may_wait) = match charge {
            Charge::Admitted => return Ok(HeldCharge { cell: cell.clone(), is_held: true }),
            Charge::NoLease => {
                let retry_after = jittered(NO_LEASE_RETRY_DELAY, &mut rand::rng());
                return Err(ChargeRefusal::NoLease { retry_after });
            }
            Charge::Empty { retry_after, may_wait } => (retry_after, may_wait),
        };
        if now >= wait_until || !may_wait {
            let retry_after = jittered(retry_after, &mut rand::rng());
            return Err(ChargeRefusal::OverRate { retry_after });
        }
        waiting.get_or_insert_with(|| WaitGuard(&cell));
        shared.rates.planning_needed.notify_one();
        let _ = timeout(retry_after.min(wait_until - now), refilled).await;
    }
}

/// Returns whether an account can be deleted: its organisation was removed and no loan is left.
fn is_removable(configuration: &Configuration, name: &str, cell: &AccountCell) -> bool {
    configuration.organisation(name).is_none() && cell.state.lock().account.is_idle()
}
