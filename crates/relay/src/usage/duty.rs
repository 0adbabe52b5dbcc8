//! The thread of the VM that reports usage.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::telemetry::unix_time_ms;
use cranberryvalve_coordination::duties::DutyReply;
use cranberryvalve_coordination::duties::DutySnapshot;
use cranberryvalve_coordination::duties::DutyStep;
use cranberryvalve_coordination::duties::DutyWrite;
use cranberryvalve_coordination::duties::HeldDuty;
use cranberryvalve_coordination::duties::IdleDuty;
use cranberryvalve_coordination::duties::LeaseTiming;
use cranberryvalve_coordination::duties::Moment;
use cranberryvalve_coordination::duties::WatchStep;
use cranberryvalve_coordination::usage::ReportPlan;
use cranberryvalve_coordination::usage::UsageReport;
use cranberryvalve_coordination::usage::UsageRules;
use cranberryvalve_coordination::usage::WindowId;
use cranberryvalve_core::FencingToken;
use cranberryvalve_core::VmId;
use rand::RngExt;
use slog::info;
use slog::warn;

use super::NO_TOKEN;
use super::UsageLedger;
use crate::client::HttpError;
use crate::peers::Peers;
use crate::sources::FeedError;
use crate::state::Relay;

/// Interval at which counts are sent to the holder. A VM that dies loses the counts of this time.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// That interval among few VMs, of which each counts a larger part of the requests.
const SHORT_COUNT_INTERVAL: Duration = Duration::from_millis(250);

/// Number of VMs up to which they are few: far below those at which control traffic is near its limit.
const FEW_VMS: usize = 16;

/// Delay before a VM that cannot take part, or does not reach the store, checks again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the end of a window from which VMs are asked for counts that are missing. By then each
/// VM has sent them twice.
const REQUEST_DELAY_MS: u64 = 2_500;

/// Time for which calls of the endpoint fail until the holder lets another VM try.
const MAX_FAILING_TIME: Duration = Duration::from_secs(6);

/// Time for which a holder whose calls failed, or a VM that may be cut off from most others, does not
/// take part: longer than another VM takes to take over.
const PAUSE: Duration = Duration::from_secs(8);

/// Part of the calls that the endpoint accepts a second that are used for reports.
const RATE_SHARE: f64 = 0.5;

/// Maximum number of reports in a round, which is that of reports that wait.
const MAX_REPORTS_PER_ROUND: f64 = 3.0;

/// Part of the lease after a renewal in which reports are sent. The next renewal follows before another
/// VM takes over, also if the store takes a third of the lease.
const REPORTING_PART: f64 = 0.7;

/// Part of the lease that a report has to be left to be sent.
const MIN_REPORT_PART: f64 = 0.1;

/// Settings of usage reports.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageSettings {
    /// Name of this VM.
    pub vm: VmId,
    /// Length of windows, and when their reports are due.
    pub rules: UsageRules,
    /// Duration of the lease.
    pub lease: Duration,
    /// Number of calls a second that the endpoint accepts.
    pub max_calls_per_s: f64,
    /// Whether the whole system starts for the first time, so that nothing was counted before.
    pub is_first_start: bool,
}

/// Storage of the lease and the intended reports.
pub trait DutyStore: Send + Sync + 'static {
    /// Reads all rows of the duty.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable.
    fn read(&self) -> Result<DutySnapshot, FeedError>;

    /// Writes a row if it has the required revision.
    fn write(&self, write: &DutyWrite) -> DutyReply;
}

/// Receiver of usage reports.
pub trait UsageEndpoint: Send + Sync + 'static {
    /// Sends a report under a fencing token and returns the status of the response. The call is not
    /// sent if `may_send`, asked right before the first byte, returns `false`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response in time, or the call was not sent.
    fn report(
        &self,
        report: &UsageReport,
        fencing: FencingToken,
        timeout: Duration,
        may_send: &dyn Fn() -> bool,
    ) -> Result<u16, HttpError>;
}

/// Starts the threads that count, exchange and report usage.
///
/// # Errors
///
/// Returns an error if a thread cannot be spawned.
pub fn report_usage(
    relay: &Arc<Relay>,
    settings: UsageSettings,
    store: Arc<dyn DutyStore>,
    endpoint: Arc<dyn UsageEndpoint>,
) -> io::Result<()> {
    let ledger = UsageLedger::new(settings.rules, settings.is_first_start);
    // Called only once, when the process starts.
    let _ = relay.usage.0.set(ledger);
    let counter = relay.clone();
    thread::Builder::new().name("usage".to_owned()).spawn(move || {
        for round in 0.. {
            let vms = counter.peers().map_or(1, |it| it.living_vms().len());
            thread::sleep(if vms <= FEW_VMS { SHORT_COUNT_INTERVAL } else { COUNT_INTERVAL });
            if let Some(ledger) = counter.usage.ledger() {
                ledger.forget_old();
            }
            if let Some(peers) = counter.peers() {
                peers.exchange_usage(round);
            }
        }
    })?;
    let relay = relay.clone();
    thread::Builder::new().name("duty".to_owned()).spawn(move || {
        let timing = LeaseTiming { lease: settings.lease };
        let idle = IdleDuty::new(settings.vm.clone(), timing, settings.rules);
        let mut runner = Runner {
            relay,
            settings,
            timing,
            store,
            endpoint,
            confirmed: BTreeSet::new(),
            failing_since: None,
            is_unaccepted: false,
            paused_until: None,
            minority_since: None,
            acquired_at: None,
            sent_at: BTreeMap::new(),
        };
        let mut stage = Stage::Idle(idle);
        loop {
            stage = runner.step(stage);
        }
    })?;
    Ok(())
}

enum Stage {
    Idle(IdleDuty),
    Holding(HeldDuty),
    InDoubt(HeldDuty),
}

struct Runner {
    relay: Arc<Relay>,
    settings: UsageSettings,
    timing: LeaseTiming,
    store: Arc<dyn DutyStore>,
    endpoint: Arc<dyn UsageEndpoint>,
    /// Windows whose reports were accepted.
    confirmed: BTreeSet<WindowId>,
    /// Since when no call of the endpoint has had a response.
    failing_since: Option<Instant>,
    /// Whether the last report was not accepted.
    is_unaccepted: bool,
    /// Until when this VM does not take part.
    paused_until: Option<Instant>,
    /// Since when this VM may be cut off from most others.
    minority_since: Option<Instant>,
    /// When this VM last became the holder.
    acquired_at: Option<Instant>,
    /// When each report that waits was last sent.
    sent_at: BTreeMap<WindowId, Instant>,
}

impl Runner {
    fn step(&mut self, stage: Stage) -> Stage {
        let is_minority = self.relay.peers().is_some_and(Peers::is_minority);
        let since = self.minority_since.unwrap_or_else(Instant::now);
        self.minority_since = is_minority.then_some(since);
        match stage {
            Stage::Idle(idle) if !self.may_acquire() => {
                thread::sleep(RETRY_INTERVAL);
                Stage::Idle(idle)
            }
            Stage::Idle(idle) => self.watch(idle),
            Stage::Holding(held) | Stage::InDoubt(held) if !self.may_hold() => {
                self.lose(held.into_idle(), "this VM cannot carry it out")
            }
            Stage::Holding(held) => self.hold(held),
            Stage::InDoubt(held) => self.resolve(held),
        }
    }

    /// Returns whether this VM may become the holder. A VM that may be cut off from most others leaves
    /// them the time to take over, and takes part after that: they may be dead.
    fn may_acquire(&self) -> bool {
        let is_paused = self.paused_until.is_some_and(|it| Instant::now() < it);
        let is_cut_off = self.minority_since.is_some_and(|it| it.elapsed() < PAUSE);
        !is_paused && !is_cut_off && self.can_act() && self.is_candidate()
    }

    /// Returns whether this VM may remain the holder: it neither stops, nor was it cut off from most
    /// others since it became the holder.
    fn may_hold(&self) -> bool {
        let is_cut_off = self.minority_since.is_some_and(|it| self.acquired_at < Some(it));
        !is_cut_off && self.can_act()
    }

    fn can_act(&self) -> bool {
        self.relay.peers().is_some() && !self.relay.is_draining() && !self.is_endpoint_lost()
    }

    /// Returns whether this VM watches the lease: one VM of each failure domain, and the other source
    /// readers of the holder's.
    fn is_candidate(&self) -> bool {
        let holder = self.ledger().holder();
        let is_near_holder = || holder.is_none_or(|it| self.relay.is_near(&it.holder));
        self.relay.is_first_source_reader() || (self.relay.is_source_reader() && is_near_holder())
    }

    /// Returns whether other VMs may reach an endpoint that this one does not.
    fn is_endpoint_lost(&self) -> bool {
        let is_failing = self.failing_since.is_some_and(|it| it.elapsed() >= MAX_FAILING_TIME);
        is_failing && self.relay.peers().is_some_and(|it| it.alive_names().len() > 1)
    }

    fn watch(&mut self, idle: IdleDuty) -> Stage {
        let Ok(snapshot) = self.store.read() else {
            thread::sleep(RETRY_INTERVAL);
            return Stage::Idle(idle);
        };
        let nonce = format!("{:016x}", rand::rng().random::<u64>()).into();
        match idle.on_snapshot(moment(), self.ledger().now_ms(), nonce, &snapshot) {
            WatchStep::Wait(idle, delay) => {
                thread::sleep(delay);
                Stage::Idle(idle)
            }
            WatchStep::Acquire(acquiring) => {
                let issued = moment();
                let reply = self.store.write(acquiring.write());
                match acquiring.on_reply(issued, reply) {
                    DutyStep::Held(held) | DutyStep::InDoubt(held) => self.acquired(held),
                    DutyStep::Lost(idle) => {
                        thread::sleep(RETRY_INTERVAL);
                        Stage::Idle(idle)
                    }
                }
            }
        }
    }

    fn acquired(&mut self, held: HeldDuty) -> Stage {
        let row = held.row();
        info!(self.relay.log, "usage reports are this VM's duty"; "fencing" => row.fencing,
            "concluded" => row.concluded, "intended" => row.intended.len());
        self.acquired_at = Some(Instant::now());
        self.ledger().set_own_token(row.fencing);
        if let Some(peers) = self.relay.peers() {
            peers.announce_usage_holder(row.fencing);
        }
        Stage::Holding(held)
    }

    /// Ends the duty of this VM.
    fn lose(&mut self, idle: IdleDuty, reason: &'static str) -> Stage {
        info!(self.relay.log, "usage reports are no longer this VM's duty"; "reason" => reason);
        if self.is_endpoint_lost() {
            self.paused_until = Some(Instant::now() + PAUSE);
        }
        self.failing_since = None;
        self.ledger().set_own_token(NO_TOKEN);
        self.ledger().record_backlog(None);
        Stage::Idle(idle)
    }

    /// Renews the lease with the next reports, and sends these.
    fn hold(&mut self, held: HeldDuty) -> Stage {
        let round_end = Instant::now() + self.timing.renewal_interval();
        let plan = self.plan(&held);
        let write = held.renewal(plan.concluded, plan.intended);
        let issued = moment();
        let reply = self.store.write(&write);
        match held.on_renewed(issued, write, reply) {
            DutyStep::Held(held) => {
                self.ledger().record_backlog(Some(held.row()));
                self.send_reports(&held, issued.at);
                thread::sleep(round_end.saturating_duration_since(Instant::now()));
                Stage::Holding(held)
            }
            DutyStep::InDoubt(held) => Stage::InDoubt(held),
            DutyStep::Lost(idle) => self.lose(idle, "the store was restored"),
        }
    }

    fn resolve(&mut self, held: HeldDuty) -> Stage {
        // The store may refuse all writes and still be read.
        thread::sleep(self.timing.renewal_interval() / 2);
        let Ok(snapshot) = self.store.read() else { return Stage::InDoubt(held) };
        match held.on_snapshot(&snapshot) {
            DutyStep::Held(held) => Stage::Holding(held),
            DutyStep::InDoubt(held) => Stage::InDoubt(held),
            DutyStep::Lost(idle) => self.lose(idle, "another VM has the lease"),
        }
    }

    fn plan(&mut self, held: &HeldDuty) -> ReportPlan {
        let relay = self.relay.clone();
        let (ledger, rules) = (self.ledger(), self.settings.rules);
        if let Some(correction_ms) = ledger.agree() {
            warn!(relay.log, "clock of usage counts corrected"; "correction_ms" => correction_ms);
        }
        let living = relay.peers().map(Peers::living_vms).unwrap_or_default();
        let now_ms = ledger.now_ms();
        // The first holder of all has nothing to report of the time before it.
        let concluded = match held.row().concluded {
            0 => ledger.first_window().saturating_sub(1),
            concluded => concluded,
        };
        let row = (concluded, &*held.row().intended);
        let plan = ReportPlan::next(&rules, now_ms, row, &self.confirmed, |window| {
            ledger.window_state(now_ms, window, &living)
        });
        for window in &plan.lost {
            metrics::counter!("cranberryvalve_usage_lost_windows_total").increment(1);
            warn!(relay.log, "usage of a window is not reported; counts are missing or it is late";
                "window" => window);
        }
        let open_since_ms = rules.end_ms(plan.concluded.saturating_add(1));
        if let Some(peers) = relay.peers()
            && now_ms >= open_since_ms.saturating_add(REQUEST_DELAY_MS)
        {
            peers.request_usage(&plan.missing);
        }
        let first = rules.first_open_window(now_ms);
        self.confirmed = self.confirmed.split_off(&first);
        self.sent_at = self.sent_at.split_off(&first);
        plan
    }

    /// Sends the reports that were not accepted yet, those first that were not sent for longest, after
    /// the renewal that was issued at `renewed_at`.
    fn send_reports(&mut self, held: &HeldDuty, renewed_at: Instant) {
        let max_calls = self.settings.max_calls_per_s * RATE_SHARE;
        let max_calls = max_calls * self.timing.renewal_interval().as_secs_f64();
        let max_calls = max_calls.clamp(1.0, MAX_REPORTS_PER_ROUND) as usize;
        let end = renewed_at + self.timing.lease.mul_f64(REPORTING_PART);
        let due = held.row().intended.iter().filter(|it| !self.confirmed.contains(&it.window));
        let mut due: Vec<&UsageReport> = due.collect();
        due.sort_by_key(|it| self.sent_at.get(&it.window));
        for report in due.into_iter().take(max_calls) {
            let remaining = || end.saturating_duration_since(Instant::now());
            let may_send = || held.covers_action(moment(), remaining());
            let timeout = remaining().min(self.timing.lease / 2);
            if timeout < self.timing.lease.mul_f64(MIN_REPORT_PART) || !may_send() {
                return;
            }
            self.sent_at.insert(report.window, Instant::now());
            let fencing = held.row().fencing;
            let result = self.endpoint.report(report, fencing, timeout, &may_send);
            self.record_result(report, result);
        }
    }

    fn record_result(&mut self, report: &UsageReport, result: Result<u16, HttpError>) {
        let label = match result {
            Ok(200) => {
                self.failing_since = None;
                if std::mem::take(&mut self.is_unaccepted) {
                    info!(self.relay.log, "usage reports are accepted again";
                        "window" => report.window);
                }
                self.confirmed.insert(report.window);
                self.ledger().record_accepted(report.window);
                "accepted"
            }
            Ok(status) => {
                self.failing_since = None;
                if !std::mem::replace(&mut self.is_unaccepted, true) {
                    warn!(self.relay.log, "usage report refused; sending it again";
                        "status" => status, "window" => report.window);
                }
                "refused"
            }
            // The lease did not last until the connection was there.
            Err(HttpError::Interrupted) => return,
            Err(error) => {
                self.failing_since.get_or_insert_with(Instant::now);
                if !std::mem::replace(&mut self.is_unaccepted, true) {
                    warn!(self.relay.log, "usage report failed; sending it again";
                        "error" => error.to_string(), "window" => report.window);
                }
                "failed"
            }
        };
        metrics::counter!("cranberryvalve_usage_reports_total", "result" => label).increment(1);
    }

    fn ledger(&self) -> &UsageLedger {
        self.relay.usage.ledger().expect("set before the thread starts")
    }
}

fn moment() -> Moment {
    Moment { at: Instant::now(), wall_ms: unix_time_ms() }
}
