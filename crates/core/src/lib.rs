//! Types shared by all crates of cranberryvalve: identifiers, configuration and outcomes.
//!
//! All types are plain data without I/O. The other crates exchange them, so that every process
//! interprets a decision in the same way.
//!
//! ```
//! use cranberryvalve_core::Config;
//!
//! let config = Config::from_toml(
//!     r#"
//!     [[class]]
//!     id = "tide-check"
//!     tier = 0
//!     "#,
//! )
//! .expect("valid document");
//! assert_eq!(config.classes[0].tier, 0);
//! assert!(config.validate().is_empty());
//! ```

mod config;
mod departure;
mod digest;
mod fingerprint;
mod hash;
mod ids;
mod load;
mod outcome;
mod pace;
mod permit;
mod position;
mod pressure;
mod refusal;
mod suspect;
pub mod table;

pub use config::Config;
pub use config::ConfigDocument;
pub use config::ConfigIssue;
pub use config::ConfigParseError;
pub use config::CustomerSpec;
pub use config::EngineOrder;
pub use config::ModelAction;
pub use config::Profile;
pub use config::RouteSpec;
pub use config::ServiceClass;
pub use config::UpstreamKind;
pub use config::UpstreamSpec;
pub use departure::Departure;
pub use digest::Digest;
pub use fingerprint::RequestFingerprint;
pub use hash::stable_hash;
pub use ids::Attempt;
pub use ids::ClassId;
pub use ids::ConfigVersion;
pub use ids::CustomerId;
pub use ids::FailureDomainId;
pub use ids::FencingToken;
pub use ids::IdempotencyKey;
pub use ids::OperatorId;
pub use ids::PlanId;
pub use ids::PoolId;
pub use ids::RequestId;
pub use ids::SoftwareVersion;
pub use ids::Tier;
pub use ids::UNKNOWN_VERSION;
pub use ids::UpstreamId;
pub use ids::VmId;
pub use load::TierBacklog;
pub use load::UpstreamLoad;
pub use outcome::NotRunReason;
pub use outcome::Outcome;
pub use pace::IncarnationHash;
pub use pace::PaceStep;
pub use pace::UpstreamPace;
pub use permit::PermitRequest;
pub use permit::PermitVerdict;
pub use permit::RateLimitNotice;
pub use position::StoreEra;
pub use position::StorePosition;
pub use pressure::PressureDigest;
pub use pressure::PressureEntry;
pub use refusal::MAX_REFUSAL_RECEIVERS;
pub use refusal::UpstreamRefusal;
pub use suspect::PartId;
pub use suspect::SuspectKey;
pub use suspect::UpstreamStart;
