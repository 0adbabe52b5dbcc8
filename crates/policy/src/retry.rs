//! Retry budgets.

use std::collections::HashMap;

use cranberryvalve_core::ClassId;

/// Retries that a class may make at once, however few requests it sends.
const BURST: f64 = 20.0;

/// Retries that each request adds to its class's budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Attempts at one request, at most.
pub(crate) const MAX_ATTEMPTS: u32 = 4;

/// Token buckets that bound retries to a share of the requests of each class.
///
/// A retry adds load just when an upstream fails. The bound keeps retries from turning a fault
/// into an overload.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    tokens: HashMap<ClassId, f64>,
}

impl RetryBudgets {
    /// Credits a new request of `class`.
    pub(crate) fn credit(&mut self, class: &ClassId) {
        let tokens = self.tokens.entry(class.clone()).or_insert(BURST);
        *tokens = (*tokens + RETRIES_PER_REQUEST).min(BURST);
    }

    /// Takes one retry from the budget of `class`; false when it is spent.
    pub(crate) fn take(&mut self, class: &ClassId) -> bool {
        let tokens = self.tokens.entry(class.clone()).or_insert(BURST);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}
