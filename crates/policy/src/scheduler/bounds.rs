//! Bounds of the numbers that rows, responses and other VMs name.
//!
//! Decisions add and multiply them. Here they get a range in which no sum or product leaves its type,
//! far above any real figure.

use std::time::Duration;

use cranberryvalve_core::PermitVerdict;

use super::SchedulerEvent;

/// Maximum number of requests that an upstream runs or queues.
const MAX_REQUESTS: u32 = 1 << 20;

/// Maximum time that a verdict about a permit names.
const MAX_PERMIT_TIME: Duration = Duration::from_secs(10);

/// Returns the event with all its numbers within their bounds.
pub(super) fn bounded(mut event: SchedulerEvent) -> SchedulerEvent {
    match &mut event {
        SchedulerEvent::DirectoryChanged(records) => {
            records.iter_mut().for_each(|it| it.slots = it.slots.min(MAX_REQUESTS));
        }
        SchedulerEvent::LoadReported { load, .. } => {
            for count in [&mut load.running, &mut load.waiting, &mut load.slots] {
                *count = (*count).min(MAX_REQUESTS);
            }
        }
        SchedulerEvent::PermitDecided { verdict, .. } => match verdict {
            PermitVerdict::Granted(time) | PermitVerdict::NotBefore(time) => {
                *time = (*time).min(MAX_PERMIT_TIME);
            }
            PermitVerdict::Lifted => {}
        },
        _ => {}
    }
    event
}
