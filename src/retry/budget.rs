//! Budget of retries, filled by successes.

/// Retries that one success pays for, in hundredths.
const CENTS_PER_SUCCESS: u32 = 5;

/// Cost of a retry, in hundredths.
const CENTS_PER_RETRY: u32 = 100;

/// Most that a budget holds, in hundredths.
const MAX_CENTS: u32 = 1_000;

/// Retries that may be made now.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    cents: u32,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { cents: MAX_CENTS }
    }
}

impl Budget {
    /// Notes a success.
    pub fn earn(&mut self) {
        self.cents = (self.cents + CENTS_PER_SUCCESS).min(MAX_CENTS);
    }

    /// Pays for a retry, if there is enough.
    pub fn spend(&mut self) -> bool {
        let enough = self.cents >= CENTS_PER_RETRY;
        if enough {
            self.cents -= CENTS_PER_RETRY;
        }
        enough
    }
}
