//! Retry budget: limits retries to a fraction of the successful requests.

/// Credit for a successful request, in percent of the cost of a retry.
const SUCCESS_CREDIT_PERCENT: u32 = 5;

/// Cost of a retry, in percent.
const RETRY_COST_PERCENT: u32 = 100;

/// Largest credit, in percent of the cost of a retry.
const MAX_CREDIT_PERCENT: u32 = 1_000;

/// Credit for retries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    credit_percent: u32,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { credit_percent: MAX_CREDIT_PERCENT }
    }
}

impl Budget {
    /// Adds the credit for a successful request.
    pub fn earn(&mut self) {
        self.credit_percent = (self.credit_percent + SUCCESS_CREDIT_PERCENT).min(MAX_CREDIT_PERCENT);
    }

    /// Pays for a retry. Returns false if there is too little credit.
    pub fn spend(&mut self) -> bool {
        let has_credit = self.credit_percent >= RETRY_COST_PERCENT;
        if has_credit {
            self.credit_percent -= RETRY_COST_PERCENT;
        }
        has_credit
    }
}
