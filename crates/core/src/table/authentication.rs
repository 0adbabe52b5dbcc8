//! Authentication of callers.

use std::borrow::Cow;

use super::CustomerKeys;

/// Who may send requests on routes that are not public.
///
/// A configuration without a list of customers and one whose list is empty are opposites.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Authentication {
    /// Anybody: the configuration has no list of customers.
    Anonymous,
    /// Callers with an API key of one of these customers; nobody if the list is empty.
    ApiKeys(Vec<CustomerKeys>),
}

impl Authentication {
    /// Returns all customers.
    pub fn customers(&self) -> &[CustomerKeys] {
        match self {
            Self::Anonymous => &[],
            Self::ApiKeys(customers) => customers,
        }
    }

    /// Returns the list that stands for this in messages: empty for anonymous callers, and a customer
    /// without API keys for an empty list. VMs of all builds require keys if the list has an entry.
    pub(super) fn to_list(&self) -> Cow<'_, [CustomerKeys]> {
        match self {
            Self::Anonymous => Cow::Borrowed(&[]),
            Self::ApiKeys(customers) if customers.is_empty() => Cow::Owned(vec![keyless()]),
            Self::ApiKeys(customers) => Cow::Borrowed(customers),
        }
    }

    /// Returns what a list from [`Self::to_list`] stands for.
    pub(super) fn from_list(customers: Vec<CustomerKeys>) -> Self {
        if customers.is_empty() {
            Self::Anonymous
        } else if customers == [keyless()] {
            Self::ApiKeys(Vec::new())
        } else {
            Self::ApiKeys(customers)
        }
    }
}

impl From<Vec<CustomerKeys>> for Authentication {
    fn from(customers: Vec<CustomerKeys>) -> Self {
        Self::ApiKeys(customers)
    }
}

impl Default for Authentication {
    fn default() -> Self {
        Self::ApiKeys(Vec::new())
    }
}

/// Returns the customer that stands for an empty list.
fn keyless() -> CustomerKeys {
    CustomerKeys { id: "".into(), api_keys: Vec::new(), priority: None }
}
