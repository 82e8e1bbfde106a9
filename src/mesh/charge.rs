//! The charge of a request to its organisation's rate.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, timeout};

use crate::{
    clock,
    mesh::{Dialect, Node, Organisation, TakeResult},
    names::OrganisationName,
};

/// Longest time that a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(120);
/// The same as a part of the time within which it wants its answer.
const MAX_WAIT_PART: u32 = 8;
/// Requests of one organisation that wait here while its home is empty.
const MAX_WAITING: u32 = 2;
/// Shortest pause before an empty home is asked again.
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// Shortest Retry-After of an organisation beyond its rate.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A token that was taken for a request; it is spent unless it is given back.
#[derive(Debug)]
pub struct Charge(OrganisationName);

impl Charge {
    /// Puts the token back, since the request has not run.
    pub fn refund<D: Dialect>(self, node: &Node<D>) {
        node.stock.lock().refund(&self.0);
    }
}

/// Why a request has no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeRefusal {
    /// The organisation is over its rate and burst.
    OverRate {
        /// When it may have one.
        retry_after: Duration,
    },
    /// The organisation's home has not answered in time.
    HomeTimeout,
}

/// Takes a token for a request, if need be after a short wait. None is needed where the rate of the
/// organisation is not limited.
pub async fn charge<D: Dialect>(
    node: &Arc<Node<D>>,
    organisation: &Organisation,
    answer_within: Duration,
) -> Result<Option<Charge>, ChargeRefusal> {
    if organisation.rate_per_s.is_none() {
        return Ok(None);
    }
    let name = &organisation.name;
    let give_up = Instant::now() + MAX_WAIT.min(answer_within / MAX_WAIT_PART);
    let mut waiting: Option<Waiting<'_, D>> = None;
    loop {
        // Registered before the stock is looked at, so that no grant is missed.
        let granted = node.tokens_granted.notified();
        tokio::pin!(granted);
        granted.as_mut().enable();
        let (token, ahead) = {
            let mut stock = node.stock.lock();
            let token = stock.take_token(clock::now(), name, waiting.is_some());
            (token, stock.waiting(name) - u32::from(waiting.is_some()))
        };
        let left = give_up.saturating_duration_since(Instant::now());
        match token {
            TakeResult::Taken => return Ok(Some(Charge(name.clone()))),
            // Worth a wait where few others wait too; else the caller had better come back later.
            TakeResult::HomeEmpty { retry_after } if retry_after < left && ahead < MAX_WAITING => {
                waiting.get_or_insert_with(|| Waiting::begin(node, name));
                let _ = timeout(retry_after.max(MIN_PAUSE), granted).await;
                continue;
            }
            TakeResult::HomeEmpty { retry_after } => {
                let retry_after = retry_after.max(MIN_RETRY_AFTER);
                return Err(ChargeRefusal::OverRate { retry_after });
            }
            TakeResult::DrawNeeded => {}
        }
        waiting.get_or_insert_with(|| Waiting::begin(node, name));
        node.sync_now.send_replace(());
        if left.is_zero() || timeout(left, granted).await.is_err() {
            return Err(ChargeRefusal::HomeTimeout);
        }
    }
}

/// Counts a request among those that wait for a token.
struct Waiting<'a, D: Dialect> {
    node: &'a Node<D>,
    organisation: &'a OrganisationName,
}

impl<'a, D: Dialect> Waiting<'a, D> {
    fn begin(node: &'a Node<D>, organisation: &'a OrganisationName) -> Self {
        node.stock.lock().count_waiting(organisation, true);
        Self { node, organisation }
    }
}

impl<D: Dialect> Drop for Waiting<'_, D> {
    fn drop(&mut self) {
        self.node.stock.lock().count_waiting(self.organisation, false);
    }
}
