//! Recent decisions on root requests, for the floors, shares and promises that depend on them.

use std::time::Duration;

use crate::clock::Timestamp;

/// Requests, or their slot time, and the admitted part of them, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentDecisions {
    /// Amount that was asked for.
    pub requested: f64,
    /// Amount that was admitted.
    pub admitted: f64,
    updated_at: Timestamp,
}

impl RecentDecisions {
    /// Time constant of the decay. An entry node sees a few requests of an organisation each second.
    pub const TIME_CONSTANT: Duration = Duration::from_secs(3);

    /// Decays the amounts since the last update.
    pub fn advance_to(&mut self, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        let factor = (-elapsed_s / Self::TIME_CONSTANT.as_secs_f64()).exp();
        self.requested *= factor;
        self.admitted *= factor;
        self.updated_at = self.updated_at.max(now);
    }

    /// Records a decision on this amount.
    pub fn record(&mut self, now: Timestamp, amount: f64, is_admitted: bool) {
        self.advance_to(now);
        self.requested += amount;
        if is_admitted {
            self.admitted += amount;
        }
    }

    /// Whether the last update is less than [`Self::TIME_CONSTANT`] ago.
    pub fn is_recent(&self, now: Timestamp) -> bool {
        now < self.updated_at + Self::TIME_CONSTANT
    }
}
