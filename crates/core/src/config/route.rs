//! Routes to plain services.

use serde::Deserialize;
use serde::Serialize;

use crate::ClassId;
use crate::PoolId;

/// A route from a path prefix to a plain service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Path prefix, starting with `/`. Only complete path segments match.
    pub path_prefix: Box<str>,
    /// Plain service that receives the requests.
    pub pool: PoolId,
    /// Service class of the requests on this route.
    pub class: ClassId,
    /// Whether requests with methods other than GET and HEAD may be retried.
    #[serde(default)]
    pub idempotent: bool,
}

impl RouteSpec {
    /// Returns whether `path` is the prefix or lies below it.
    pub fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(&*self.path_prefix) else {
            return false;
        };
        rest.is_empty() || rest.starts_with(['/', '?']) || self.path_prefix.ends_with('/')
    }
}
