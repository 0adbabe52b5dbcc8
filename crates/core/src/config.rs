//! The configuration document that operators declare.

mod check;
mod class;
mod customer;
mod document;
mod route;
mod upstream;

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

pub use check::ConfigIssue;
pub use class::ServiceClass;
pub use customer::CustomerSpec;
pub use document::ConfigDocument;
pub use route::RouteSpec;
pub use upstream::EngineOrder;
pub use upstream::ModelAction;
pub use upstream::UpstreamKind;
pub use upstream::UpstreamSpec;

use crate::Digest;
use crate::PoolId;

/// What a deployment weighs most when two measures conflict.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Profile {
    /// Attainment of the latency targets of the high tiers.
    #[default]
    Attainment,
    /// Goodput, and little wasted work.
    Goodput,
}

/// Everything that operators declare: classes, upstreams, customers and routes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// What the deployment weighs most.
    #[serde(default)]
    pub profile: Profile,
    /// Service classes, in any order.
    #[serde(default, rename = "class")]
    pub classes: Vec<ServiceClass>,
    /// Model engines and plain-service workers.
    #[serde(default, rename = "upstream")]
    pub upstreams: Vec<UpstreamSpec>,
    /// Customers and their API keys.
    #[serde(default, rename = "customer")]
    pub customers: Vec<CustomerSpec>,
    /// Paths that lead to plain services.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteSpec>,
}

impl Config {
    /// Parses a TOML document.
    ///
    /// # Errors
    ///
    /// Returns the parser's message, with line and column, when the text is not TOML or has an
    /// unknown, missing or mistyped field.
    pub fn from_toml(text: &str) -> Result<Self, ConfigParseError> {
        toml::from_str(text).map_err(|error| ConfigParseError { message: error.to_string() })
    }

    /// The class named `id`.
    pub fn class(&self, id: &str) -> Option<&ServiceClass> {
        self.classes.iter().find(|class| &*class.id == id)
    }

    /// The customer named `id`.
    pub fn customer(&self, id: &str) -> Option<&CustomerSpec> {
        self.customers.iter().find(|customer| &*customer.id == id)
    }

    /// The customer whose API key is `key`.
    pub fn customer_by_key(&self, key: &str) -> Option<&CustomerSpec> {
        let digest = Digest::of(key.as_bytes());
        self.customers.iter().find(|customer| customer.key_sha256 == digest)
    }

    /// The upstream named `id`.
    pub fn upstream(&self, id: &str) -> Option<&UpstreamSpec> {
        self.upstreams.iter().find(|upstream| &*upstream.id == id)
    }

    /// The route with the longest path prefix that matches `path`.
    pub fn route(&self, path: &str) -> Option<&RouteSpec> {
        self.routes
            .iter()
            .filter(|route| route.matches(path))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Names of all models that engines serve, sorted.
    pub fn models(&self) -> Vec<PoolId> {
        let engines = self.upstreams.iter().filter(|it| it.kind == UpstreamKind::Engine);
        let mut models: Vec<PoolId> = engines.flat_map(|it| it.pools.iter().cloned()).collect();
        models.sort();
        models.dedup();
        models
    }

    /// All problems that would keep the document from being accepted, empty when it is valid.
    pub fn check(&self) -> Vec<ConfigIssue> {
        check::check(self)
    }
}

/// A configuration text that could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigParseError {
    /// The parser's message, with line and column.
    pub message: String,
}

impl fmt::Display for ConfigParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for ConfigParseError {}
