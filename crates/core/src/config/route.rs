//! Routes to plain services.

use serde::Deserialize;
use serde::Serialize;

use crate::ClassId;
use crate::PoolId;

/// A path that leads to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Path prefix, starting with `/`; it matches whole segments.
    pub path_prefix: Box<str>,
    /// Service that answers.
    pub pool: PoolId,
    /// Class of the requests on this route.
    pub class: ClassId,
    /// Whether a call with a method other than GET and HEAD may be repeated.
    #[serde(default)]
    pub idempotent: bool,
}

impl RouteSpec {
    /// Whether `path` lies below the prefix.
    pub fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(&*self.path_prefix) else {
            return false;
        };
        rest.is_empty() || rest.starts_with(['/', '?']) || self.path_prefix.ends_with('/')
    }
}
