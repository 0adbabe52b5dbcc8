//! Validation of a configuration.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Config;
use crate::UpstreamKind;

/// Maximum number of tiers.
const MAX_TIERS: u8 = 16;

/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_HEX_LEN: usize = 64;

/// A problem found in a field of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigIssue {
    /// Path of the field, such as `customer[2].classes`.
    pub field: Arc<str>,
    /// Description of the problem and of the accepted values.
    pub message: Arc<str>,
}

impl fmt::Display for ConfigIssue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.message)
    }
}

/// Returns all problems found in `config`.
pub(super) fn check(config: &Config) -> Vec<ConfigIssue> {
    let mut issues = IssueCollector(Vec::new());
    check_unique_ids(config, &mut issues);
    check_classes(config, &mut issues);
    check_upstreams(config, &mut issues);
    check_customers(config, &mut issues);
    check_routes(config, &mut issues);
    issues.0
}

/// Collector of the problems found.
struct IssueCollector(Vec<ConfigIssue>);

impl IssueCollector {
    fn add(&mut self, field: String, message: String) {
        self.0.push(ConfigIssue { field: field.into(), message: message.into() });
    }

    /// Adds a problem for each name that is empty or used twice.
    fn check_ids<'a>(&mut self, kind: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            if name.is_empty() {
                self.add(format!("{kind}[{index}].id"), "must not be empty".to_owned());
            }
            if !seen.insert(name) {
                self.add(format!("{kind}[{index}].id"), format!("`{name}` is used twice"));
            }
        }
    }
}

fn check_unique_ids(config: &Config, issues: &mut IssueCollector) {
    issues.check_ids("class", config.classes.iter().map(|it| &*it.id));
    issues.check_ids("upstream", config.upstreams.iter().map(|it| &*it.id));
    issues.check_ids("customer", config.customers.iter().map(|it| &*it.id));
    issues.check_ids("route", config.routes.iter().map(|it| &*it.path_prefix));
}

fn check_classes(config: &Config, issues: &mut IssueCollector) {
    for (index, class) in config.classes.iter().enumerate() {
        if class.tier >= MAX_TIERS {
            let message =
                format!("{} is too large; 0 to {} are accepted", class.tier, MAX_TIERS - 1);
            issues.add(format!("class[{index}].tier"), message);
        }
        let times_ms = [
            ("first_token_target_ms", class.first_token_target_ms),
            ("token_interval_target_ms", class.token_interval_target_ms),
            ("queue_limit_ms", class.queue_limit_ms),
            ("promote_after_ms", class.promote_after_ms),
            ("silence_limit_ms", class.silence_limit_ms),
            ("answer_limit_ms", class.answer_limit_ms),
        ];
        for (name, value_ms) in times_ms {
            if value_ms == 0 {
                issues.add(format!("class[{index}].{name}"), "must be at least 1".to_owned());
            }
        }
    }
}

fn check_upstreams(config: &Config, issues: &mut IssueCollector) {
    for (index, upstream) in config.upstreams.iter().enumerate() {
        if upstream.slots == 0 {
            issues.add(format!("upstream[{index}].slots"), "must be at least 1".to_owned());
        }
        if upstream.pools.is_empty() {
            let message = "must name at least one model or service".to_owned();
            issues.add(format!("upstream[{index}].pools"), message);
        }
        if upstream.kind == UpstreamKind::Service && !upstream.orders.is_empty() {
            let message = "only engines accept orders".to_owned();
            issues.add(format!("upstream[{index}].order"), message);
        }
    }
}

fn check_customers(config: &Config, issues: &mut IssueCollector) {
    let mut keys = BTreeSet::new();
    for (index, customer) in config.customers.iter().enumerate() {
        let hex = customer.key_sha256.as_str();
        let is_hex = hex.len() == DIGEST_HEX_LEN && hex.bytes().all(|it| it.is_ascii_hexdigit());
        if !is_hex {
            let message = "must be the SHA-256 of the API key in 64 hexadecimal digits".to_owned();
            issues.add(format!("customer[{index}].key_sha256"), message);
        }
        if !keys.insert(&customer.key_sha256) {
            let message = "another customer has the same key".to_owned();
            issues.add(format!("customer[{index}].key_sha256"), message);
        }
        for class in &customer.classes {
            check_class_exists(config, &format!("customer[{index}].classes"), class, issues);
        }
        if customer.weight == 0 {
            issues.add(format!("customer[{index}].weight"), "must be at least 1".to_owned());
        }
        if customer.requests_per_s.is_some_and(|it| !it.is_finite() || it <= 0.0) {
            let message = "must be a number above 0".to_owned();
            issues.add(format!("customer[{index}].requests_per_s"), message);
        }
    }
}

fn check_routes(config: &Config, issues: &mut IssueCollector) {
    for (index, route) in config.routes.iter().enumerate() {
        if !route.path_prefix.starts_with('/') {
            let message = "must start with `/`".to_owned();
            issues.add(format!("route[{index}].path_prefix"), message);
        }
        if route.path_prefix.starts_with("/v1/") {
            let message = "`/v1/` is taken by the model API".to_owned();
            issues.add(format!("route[{index}].path_prefix"), message);
        }
        check_class_exists(config, &format!("route[{index}].class"), &route.class, issues);
    }
}

fn check_class_exists(config: &Config, field: &str, class: &str, issues: &mut IssueCollector) {
    if config.class(class).is_some() {
        return;
    }
    let known_classes: Vec<&str> = config.classes.iter().map(|it| &*it.id).collect();
    let message = format!("no class `{class}`; known classes: {}", known_classes.join(", "));
    issues.add(field.to_owned(), message);
}
