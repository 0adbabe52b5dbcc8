//! What upstreams announce about their availability: that they are leaving, that they want no
//! requests for a while, or that they take them at a limited rate.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Departure;
use cranberryvalve_core::UpstreamId;

use super::NoticeSource;
use super::Scheduler;
use super::SchedulerAction;
use super::brittleness::Brittleness;

/// Longest pause that an upstream may ask for. A longer one is cut to this time, so that a
/// malformed response does not take an upstream out of service for good.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Time for which a departure is remembered. It covers directories that lag behind or are restored
/// from a copy.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(600);

/// An announcement that an upstream makes in a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum UpstreamNotice {
    /// The upstream is shutting down and must get no new requests.
    Leaving,
    /// The upstream wants no requests from this VM for this time.
    Pause(Duration),
    /// The upstream takes this number of requests a second from all VMs together.
    RateLimit(f64),
    /// The upstream fails if it has to refuse more than this number of requests a second, of all VMs
    /// together, for want of room.
    Brittle(u32),
    /// The upstream names no rate limit. It is no news unless it named one before.
    NoRateLimit,
}

/// Departures that this VM knows of, including those of upstreams that the directory no longer
/// lists or still lists as in service.
#[derive(Debug, Default)]
pub(super) struct Departures {
    known: HashMap<UpstreamId, KnownDeparture>,
    /// Departures that still have to be told to the other VMs.
    untold: Vec<Departure>,
}

#[derive(Debug)]
struct KnownDeparture {
    incarnation: u64,
    since: Instant,
}

impl Departures {
    /// Records a departure. Returns `true` if it is new.
    pub(super) fn record(&mut self, now: Instant, departure: &Departure) -> bool {
        if self.is_leaving(&departure.upstream, departure.incarnation) {
            return false;
        }
        self.known.retain(|_, it| now.saturating_duration_since(it.since) < DEPARTURE_MEMORY);
        let known = KnownDeparture { incarnation: departure.incarnation, since: now };
        self.known.insert(departure.upstream.clone(), known);
        true
    }

    /// Schedules a departure to be told to the other VMs.
    pub(super) fn tell(&mut self, departure: Departure) {
        self.untold.push(departure);
    }

    /// Takes the departures that still have to be told to the other VMs.
    pub(super) fn take_untold(&mut self) -> Vec<Departure> {
        std::mem::take(&mut self.untold)
    }

    /// Returns all known departures.
    pub(super) fn all(&self) -> Vec<Departure> {
        let known = self.known.iter();
        known
            .map(|(upstream, it)| Departure {
                upstream: upstream.clone(),
                incarnation: it.incarnation,
            })
            .collect()
    }

    /// Returns `true` if this start of the upstream, or a later one, is known to be shutting down.
    pub(super) fn is_leaving(&self, upstream: &UpstreamId, incarnation: u64) -> bool {
        self.known.get(upstream).is_some_and(|it| it.incarnation >= incarnation)
    }
}

/// A time during which an upstream gets no requests from this VM.
#[derive(Debug, Default)]
pub(super) struct Pause {
    until: Option<Instant>,
}

impl Pause {
    /// Starts or extends the pause and returns its actual length. A shorter request does not end
    /// a longer pause.
    pub(super) fn extend(&mut self, now: Instant, requested: Duration) -> Duration {
        let until = now + requested.min(MAX_PAUSE);
        let until = self.until.map_or(until, |it| it.max(until));
        self.until = Some(until);
        until.saturating_duration_since(now)
    }

    /// Returns the time until the pause ends; zero if there is none.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        self.until.map_or(Duration::ZERO, |it| it.saturating_duration_since(now))
    }

    /// Ends a pause whose time is over. Returns `true` if there was one.
    pub(super) fn take_ended(&mut self, now: Instant) -> bool {
        self.until.take_if(|it| *it <= now).is_some()
    }
}

impl Scheduler {
    /// Returns all known departures, for a VM that has just joined.
    pub fn departures(&self) -> Vec<Departure> {
        self.departures.all()
    }

    /// Takes the departures of upstreams that still have to be told to all neighbouring VMs.
    ///
    /// A VM passes on whatever is new to it, as with [`Scheduler::take_pace_updates`].
    pub fn take_departures(&mut self) -> Vec<Departure> {
        self.departures.take_untold()
    }

    /// Returns `true` if a request may be sent to this start of an upstream now.
    ///
    /// A thread checks this right before it sends, since the upstream may have announced its
    /// departure or a pause after the request was placed, or the VM may have been suspended.
    pub fn may_send(&self, now: Instant, upstream: &UpstreamId, incarnation: u64) -> bool {
        let known = self.upstreams.get(upstream);
        known.is_some_and(|it| it.record.incarnation == incarnation && it.is_available(now))
    }

    pub(super) fn on_notice(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        incarnation: u64,
        notice: UpstreamNotice,
        actions: &mut Vec<SchedulerAction>,
    ) {
        match notice {
            UpstreamNotice::Leaving => {
                let departure = Departure { upstream: upstream.clone(), incarnation };
                self.on_departure(now, departure, NoticeSource::Upstream, actions);
            }
            UpstreamNotice::Pause(requested) => {
                let known = self.upstreams.get_mut(upstream);
                let Some(known) = known.filter(|it| it.record.incarnation == incarnation) else {
                    return;
                };
                let pause = known.pause.extend(now, requested);
                let upstream = upstream.clone();
                actions.push(SchedulerAction::PauseStarted { upstream, requested, pause });
            }
            UpstreamNotice::Brittle(max_refusals_per_s) => {
                let known = self.upstreams.get_mut(upstream);
                if let Some(known) = known.filter(|it| it.record.incarnation == incarnation) {
                    known.brittleness = Some(Brittleness { max_refusals_per_s, said_at: now });
                }
            }
            UpstreamNotice::RateLimit(limit_per_s) => {
                self.on_rate_limit(now, upstream, incarnation, Some(limit_per_s), actions);
            }
            UpstreamNotice::NoRateLimit => {
                self.on_rate_limit(now, upstream, incarnation, None, actions);
            }
        }
    }

    /// Takes an upstream out of service that is shutting down, and tells the other VMs.
    pub(super) fn on_departure(
        &mut self,
        now: Instant,
        departure: Departure,
        source: NoticeSource,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if !self.departures.record(now, &departure) {
            return;
        }
        let known = self.upstreams.get_mut(&departure.upstream);
        if let Some(known) = known.filter(|it| it.record.incarnation == departure.incarnation) {
            known.record.is_leaving = true;
        }
        let upstream = departure.upstream.clone();
        self.departures.tell(departure);
        actions.push(SchedulerAction::UpstreamLeaving { upstream, source });
    }
}
