//! Messages of peers that are dropped, and which of them are logged.

use std::collections::HashMap;
use std::fmt;
use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

/// Interval in which a sender's dropped messages are logged at most once for each reason.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of lines in one interval, whatever the number of senders.
const MAX_LINES: usize = 8;

/// Why a message was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The message is shorter than an authentication code.
    Truncated,
    /// The message is not authenticated with the key of the VMs.
    Unauthenticated,
    /// A VM sent the message, but this build does not know it.
    Unknown,
}

impl DropReason {
    /// Returns the name of the reason in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Truncated => "truncated",
            Self::Unauthenticated => "unauthenticated",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A dropped message that is to be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DropReport {
    /// Why the message was dropped.
    pub reason: DropReason,
    /// Address that the message came from; `None` if its connection is closed.
    pub from: Option<IpAddr>,
    /// Number of dropped messages, of any sender, that were not logged since the last report.
    pub unreported: u64,
}

/// Limits the reports of dropped messages.
///
/// ```
/// use std::time::Instant;
///
/// use cranberryvalve_adapters::links::DropLog;
/// use cranberryvalve_adapters::links::DropReason;
///
/// let now = Instant::now();
/// let mut log = DropLog::default();
/// assert!(log.record(now, DropReason::Unknown, None).is_some());
/// assert!(log.record(now, DropReason::Unknown, None).is_none());
/// ```
#[derive(Debug, Default)]
pub struct DropLog {
    /// When each sender was last reported, within the last interval.
    reported_at: HashMap<(Option<IpAddr>, DropReason), Instant>,
    unreported: u64,
}

impl DropLog {
    /// Records a dropped message. Returns a report if it is to be logged.
    pub fn record(
        &mut self,
        now: Instant,
        reason: DropReason,
        from: Option<IpAddr>,
    ) -> Option<DropReport> {
        self.reported_at.retain(|_, at| now.saturating_duration_since(*at) < LOG_INTERVAL);
        if self.reported_at.len() >= MAX_LINES || self.reported_at.contains_key(&(from, reason)) {
            self.unreported += 1;
            return None;
        }
        self.reported_at.insert((from, reason), now);
        Some(DropReport { reason, from, unreported: std::mem::take(&mut self.unreported) })
    }
}
