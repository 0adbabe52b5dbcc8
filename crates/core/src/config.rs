//! Configuration declared by the operators.

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

/// Optimization goal of a deployment when two goals conflict.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Profile {
    /// Meet the latency targets of the high tiers.
    #[default]
    Attainment,
    /// Maximize goodput and avoid wasted work.
    Goodput,
}

/// Configuration of a deployment: service classes, upstreams, customers and routes.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Optimization goal of the deployment.
    #[serde(default)]
    pub profile: Profile,
    /// Service classes, in any order.
    #[serde(default, rename = "class")]
    pub classes: Vec<ServiceClass>,
    /// Model engines and workers of plain services.
    #[serde(default, rename = "upstream")]
    pub upstreams: Vec<UpstreamSpec>,
    /// Customers and their API keys.
    #[serde(default, rename = "customer")]
    pub customers: Vec<CustomerSpec>,
    /// Routes from URL paths to plain services.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteSpec>,
}

impl Config {
    /// Parses a TOML document.
    ///
    /// # Errors
    ///
    /// Returns the parser's message, with line and column, if the text is not valid TOML or has an
    /// unknown field, a missing field or a field of the wrong type.
    pub fn from_toml(text: &str) -> Result<Self, ConfigParseError> {
        toml::from_str(text).map_err(|error| ConfigParseError { message: error.to_string() })
    }

    /// Returns the service class named `id`, or `None` if there is none.
    pub fn class(&self, id: &str) -> Option<&ServiceClass> {
        self.classes.iter().find(|class| &*class.id == id)
    }

    /// Returns the customer named `id`, or `None` if there is none.
    pub fn customer(&self, id: &str) -> Option<&CustomerSpec> {
        self.customers.iter().find(|customer| &*customer.id == id)
    }

    /// Returns the customer whose API key is `key`, or `None` if the key is unknown.
    pub fn customer_by_api_key(&self, key: &str) -> Option<&CustomerSpec> {
        let digest = Digest::of(key.as_bytes());
        self.customers.iter().find(|customer| customer.key_sha256 == digest)
    }

    /// Returns the upstream named `id`, or `None` if there is none.
    pub fn upstream(&self, id: &str) -> Option<&UpstreamSpec> {
        self.upstreams.iter().find(|upstream| &*upstream.id == id)
    }

    /// Returns the route with the longest path prefix that matches `path`, or `None` if there is
    /// none.
    pub fn route(&self, path: &str) -> Option<&RouteSpec> {
        self.routes
            .iter()
            .filter(|route| route.matches(path))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the sorted names of all models served by engines, without duplicates.
    pub fn models(&self) -> Vec<PoolId> {
        let engines = self.upstreams.iter().filter(|it| it.kind == UpstreamKind::Engine);
        let mut models: Vec<PoolId> = engines.flat_map(|it| it.pools.iter().cloned()).collect();
        models.sort();
        models.dedup();
        models
    }

    /// Validates the configuration and returns all problems found; empty if it is valid.
    pub fn validate(&self) -> Vec<ConfigIssue> {
        check::check(self)
    }
}

/// Error returned when a configuration cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigParseError {
    /// Message of the parser, with line and column.
    pub message: String,
}

impl fmt::Display for ConfigParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for ConfigParseError {}
