//! What differs between two configurations.

use std::fmt;
use std::sync::Arc;

use cranberryvalve_core::ClassId;
use cranberryvalve_core::Config;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::UpstreamSpec;
use serde::Deserialize;
use serde::Serialize;

/// One thing that a plan changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Difference {
    /// Something is new.
    Added {
        /// Kind and name, such as `upstream engine-1`.
        what: Arc<str>,
    },
    /// Something is gone.
    Removed {
        /// Kind and name.
        what: Arc<str>,
    },
    /// A field has another value.
    Changed {
        /// Kind, name and field.
        what: Arc<str>,
        /// Value before, in JSON.
        from: Arc<str>,
        /// Value after, in JSON.
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

/// What a plan does to the capacity of one class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassEffect {
    /// Class.
    pub class: ClassId,
    /// Pool that serves it.
    pub pool: PoolId,
    /// Slots in service before.
    pub slots_before: u32,
    /// Slots in service after.
    pub slots_after: u32,
}

/// Lists what differs between `base` and `config`.
pub(super) fn differences(base: &Config, config: &Config) -> Vec<Difference> {
    let mut found = Vec::new();
    compare_field("profile", "", &base.profile, &config.profile, &mut found);
    compare_items("class", &base.classes, &config.classes, |it| &it.id, &mut found);
    compare_items("upstream", &base.upstreams, &config.upstreams, |it| &it.id, &mut found);
    compare_items("customer", &base.customers, &config.customers, |it| &it.id, &mut found);
    compare_items("route", &base.routes, &config.routes, |it| &it.path_prefix, &mut found);
    found
}

fn compare_items<T: Serialize>(
    kind: &str,
    before: &[T],
    after: &[T],
    name: impl Fn(&T) -> &str,
    found: &mut Vec<Difference>,
) {
    for old in before {
        let what = format!("{kind} {}", name(old));
        match after.iter().find(|it| name(it) == name(old)) {
            None => found.push(Difference::Removed { what: what.into() }),
            Some(new) => compare_fields(&what, old, new, found),
        }
    }
    for new in after {
        if !before.iter().any(|it| name(it) == name(new)) {
            let what = format!("{kind} {}", name(new));
            found.push(Difference::Added { what: what.into() });
        }
    }
}

fn compare_fields<T: Serialize>(what: &str, old: &T, new: &T, found: &mut Vec<Difference>) {
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
        compare_field(what, field, from, to, found);
    }
}

fn compare_field<T: Serialize + PartialEq>(
    what: &str,
    field: &str,
    from: &T,
    to: &T,
    found: &mut Vec<Difference>,
) {
    if from == to {
        return;
    }
    let text = |value: &T| serde_json::to_string(value).unwrap_or_default().into();
    let what = if field.is_empty() { what.to_owned() } else { format!("{what} {field}") };
    found.push(Difference::Changed { what: what.into(), from: text(from), to: text(to) });
}

/// Lists the slots of each class and pool before and after.
///
/// A class without a route is served by every model.
pub(super) fn effects(base: &Config, config: &Config) -> Vec<ClassEffect> {
    let mut found = Vec::new();
    for class in &config.classes {
        for pool in pools_of(base, config, &class.id) {
            found.push(ClassEffect {
                class: class.id.clone(),
                slots_before: slots_in_service(base, &pool),
                slots_after: slots_in_service(config, &pool),
                pool,
            });
        }
    }
    found
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
    in_service(config).filter(|it| it.pools.iter().any(|p| &**p == pool)).map(|it| it.slots).sum()
}

/// Upstreams that are not drained.
pub(super) fn in_service(config: &Config) -> impl Iterator<Item = &UpstreamSpec> {
    config.upstreams.iter().filter(|it| !it.drained)
}
