//! Charges requests to the rate limit of their organisation.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, timeout};

use crate::{
    clock,
    mesh::{Dialect, Node, Organisation, TakeTokenResult},
    names::OrganisationName,
};

/// Maximum time that a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(120);
/// Divisor of the route's `answer_within`: a request waits at most for the quotient, if that is less
/// than [`MAX_WAIT`].
const MAX_WAIT_DIVISOR: u32 = 5;
/// Requests of one organisation that may wait at this node while its home is empty.
const MAX_WAITING_REQUESTS: u32 = 2;
/// Minimum pause before another attempt to take a token from an empty home.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Minimum `Retry-After` for an organisation over its rate.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Token that was taken for a request; it is spent unless it is refunded.
#[derive(Debug)]
pub struct Charge(OrganisationName);

impl Charge {
    /// Refunds the token of a request that has not run.
    pub fn refund<D: Dialect>(self, node: &Node<D>) {
        node.stock.lock().refund(&self.0);
    }
}

/// Reason why no token could be taken for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeRefusal {
    /// The organisation is over its rate and burst.
    OverRate {
        /// Time until the organisation is expected to have a token.
        retry_after: Duration,
    },
    /// The home of the organisation has not granted a token in time.
    HomeTimeout,
}

/// Takes a token for a request, after a short wait if necessary. Returns `None` if the rate of the
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
    let wait_until = Instant::now() + MAX_WAIT.min(answer_within / MAX_WAIT_DIVISOR);
    let mut waiting: Option<WaitingRequest<'_, D>> = None;
    loop {
        // Registered before the stock is checked, so that no grant is missed.
        let granted = node.tokens_granted.notified();
        tokio::pin!(granted);
        granted.as_mut().enable();
        let (result, waiting_before) = {
            let mut stock = node.stock.lock();
            let result = stock.take_token(clock::now(), name, waiting.is_some());
            (result, stock.waiting(name) - u32::from(waiting.is_some()))
        };
        let remaining = wait_until.saturating_duration_since(Instant::now());
        match result {
            TakeTokenResult::Taken => return Ok(Some(Charge(name.clone()))),
            // Waits only if few other requests are waiting; otherwise the caller should retry later.
            TakeTokenResult::HomeEmpty { retry_after }
                if retry_after < remaining && waiting_before < MAX_WAITING_REQUESTS =>
            {
                waiting.get_or_insert_with(|| WaitingRequest::begin(node, name));
                let _ = timeout(retry_after.max(MIN_RETRY_PAUSE), granted).await;
                continue;
            }
            TakeTokenResult::HomeEmpty { retry_after } => {
                let retry_after = retry_after.max(MIN_RETRY_AFTER);
                return Err(ChargeRefusal::OverRate { retry_after });
            }
            TakeTokenResult::DrawNeeded => {}
        }
        waiting.get_or_insert_with(|| WaitingRequest::begin(node, name));
        node.sync_now.send_replace(());
        if remaining.is_zero() || timeout(remaining, granted).await.is_err() {
            return Err(ChargeRefusal::HomeTimeout);
        }
    }
}

/// Counts a request as waiting for a token until it is dropped.
struct WaitingRequest<'a, D: Dialect> {
    node: &'a Node<D>,
    organisation: &'a OrganisationName,
}

impl<'a, D: Dialect> WaitingRequest<'a, D> {
    fn begin(node: &'a Node<D>, organisation: &'a OrganisationName) -> Self {
        node.stock.lock().count_waiting(organisation, true);
        Self { node, organisation }
    }
}

impl<D: Dialect> Drop for WaitingRequest<'_, D> {
    fn drop(&mut self) {
        self.node.stock.lock().count_waiting(self.organisation, false);
    }
}
