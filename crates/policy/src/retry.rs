//! Per-class retry budgets.

use std::collections::HashMap;

use cranberryvalve_core::ClassId;

/// Maximum retry budget of a class, and its initial budget.
///
/// A class may make this many retries at once, however few requests it sends.
const MAX_BUDGET: f64 = 20.0;

/// Number of retries that each new request adds to the budget of its class.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Number of attempts after which a request is not sent again.
///
/// The limit does not apply after an attempt that timed out or delivered tokens.
pub(crate) const MAX_ATTEMPTS: u32 = 4;

/// Token buckets that limit the retries of each class to a share of its requests.
///
/// Retries add load at the time when an upstream fails. The limit keeps them from turning a fault
/// into an overload.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    tokens: HashMap<ClassId, f64>,
}

impl RetryBudgets {
    /// Adds the credit for a new request of `class`.
    pub(crate) fn credit(&mut self, class: &ClassId) {
        let tokens = self.tokens.entry(class.clone()).or_insert(MAX_BUDGET);
        *tokens = (*tokens + RETRIES_PER_REQUEST).min(MAX_BUDGET);
    }

    /// Forgets the classes that are not kept.
    pub(crate) fn retain_classes(&mut self, is_kept: impl Fn(&ClassId) -> bool) {
        self.tokens.retain(|class, _| is_kept(class));
    }

    /// Takes one retry from the budget of `class`. Returns `false` if the budget is exhausted.
    pub(crate) fn try_take(&mut self, class: &ClassId) -> bool {
        let tokens = self.tokens.entry(class.clone()).or_insert(MAX_BUDGET);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}
