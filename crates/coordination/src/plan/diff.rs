//! Differences between two configurations.

use std::fmt;
use std::sync::Arc;

use cranberryvalve_core::ClassId;
use cranberryvalve_core::Config;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::UpstreamSpec;
use serde::Deserialize;
use serde::Serialize;

/// One difference between the base of a plan and its new configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Difference {
    /// An item was added.
    Added {
        /// Kind and name of the item, such as `upstream engine-1`.
        what: Arc<str>,
    },
    /// An item was removed.
    Removed {
        /// Kind and name of the item.
        what: Arc<str>,
    },
    /// The value of a field changed.
    Changed {
        /// Kind and name of the item, and name of the field.
        what: Arc<str>,
        /// Old value, as JSON.
        from: Arc<str>,
        /// New value, as JSON.
        to: Arc<str>,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { what } => write!(f, "+ {what}"),
            Self::Removed { what } => write!(f, "- {what}"),
            Self::Changed { what, from, to } => write!(f, "~ {what}: {from} -> {to}"),
        }
    }
}

/// Effect of a plan on the capacity of one class in one pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassEffect {
    /// Identifier of the class.
    pub class: ClassId,
    /// Pool that serves the class.
    pub pool: PoolId,
    /// Number of slots in service before the change.
    pub slots_before: u32,
    /// Number of slots in service after the change.
    pub slots_after: u32,
}

/// Returns the differences between `base` and `config`.
pub(super) fn differences(base: &Config, config: &Config) -> Vec<Difference> {
    let mut results = Vec::new();
    compare_field("profile", "", &base.profile, &config.profile, &mut results);
    compare_items("class", &base.classes, &config.classes, |it| &it.id, &mut results);
    compare_items("upstream", &base.upstreams, &config.upstreams, |it| &it.id, &mut results);
    compare_items("customer", &base.customers, &config.customers, |it| &it.id, &mut results);
    compare_items("route", &base.routes, &config.routes, |it| &it.path_prefix, &mut results);
    results
}

fn compare_items<T: Serialize>(
    kind: &str,
    before: &[T],
    after: &[T],
    name: impl Fn(&T) -> &str,
    results: &mut Vec<Difference>,
) {
    for old in before {
        let what = format!("{kind} {}", name(old));
        match after.iter().find(|it| name(it) == name(old)) {
            None => results.push(Difference::Removed { what: what.into() }),
            Some(new) => compare_fields(&what, old, new, results),
        }
    }
    for new in after {
        if !before.iter().any(|it| name(it) == name(new)) {
            let what = format!("{kind} {}", name(new));
            results.push(Difference::Added { what: what.into() });
        }
    }
}

fn compare_fields<T: Serialize>(what: &str, old: &T, new: &T, results: &mut Vec<Difference>) {
    let (Ok(old), Ok(new)) = (serde_json::to_value(old), serde_json::to_value(new)) else {
        return;
    };
    let (Some(old), Some(new)) = (old.as_object(), new.as_object()) else { return };
    let null = serde_json::Value::Null;
    let mut fields: Vec<&String> = old.keys().chain(new.keys()).collect();
    fields.sort();
    fields.dedup();
    for field in fields {
        let from = old.get(field).unwrap_or(&null);
        let to = new.get(field).unwrap_or(&null);
        compare_field(what, field, from, to, results);
    }
}

fn compare_field<T: Serialize + PartialEq>(
    what: &str,
    field: &str,
    from: &T,
    to: &T,
    results: &mut Vec<Difference>,
) {
    if from == to {
        return;
    }
    let text = |value: &T| serde_json::to_string(value).unwrap_or_default().into();
    let what = if field.is_empty() { what.to_owned() } else { format!("{what} {field}") };
    results.push(Difference::Changed { what: what.into(), from: text(from), to: text(to) });
}

/// Returns the slots in service for each class and pool before and after the change.
///
/// A class without a route is served by the pool of every model.
pub(super) fn effects(base: &Config, config: &Config) -> Vec<ClassEffect> {
    let mut results = Vec::new();
    for class in &config.classes {
        for pool in pools_of(base, config, &class.id) {
            results.push(ClassEffect {
                class: class.id.clone(),
                slots_before: slots_in_service(base, &pool),
                slots_after: slots_in_service(config, &pool),
                pool,
            });
        }
    }
    results
}

fn pools_of(base: &Config, config: &Config, class: &str) -> Vec<PoolId> {
    let routes = base.routes.iter().chain(&config.routes);
    let mut pools: Vec<PoolId> =
        routes.filter(|it| &*it.class == class).map(|it| it.pool.clone()).collect();
    if pools.is_empty() {
        pools.extend(base.models());
        pools.extend(config.models());
    }
    pools.sort();
    pools.dedup();
    pools
}

fn slots_in_service(config: &Config, pool: &str) -> u32 {
    let upstreams = in_service(config).filter(|it| it.pools.iter().any(|p| &**p == pool));
    upstreams.map(|it| it.slots).fold(0, u32::saturating_add)
}

/// Returns the upstreams that are not drained.
pub(super) fn in_service(config: &Config) -> impl Iterator<Item = &UpstreamSpec> {
    config.upstreams.iter().filter(|it| !it.drained)
}
