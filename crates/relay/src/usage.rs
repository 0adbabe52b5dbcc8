//! Counts of requests by window and customer, and the VM that reports them.

mod duty;
mod status;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use cranberryvalve_adapters::telemetry::unix_time_ms;
use cranberryvalve_coordination::usage::ClockReading;
use cranberryvalve_coordination::usage::ClockVotes;
use cranberryvalve_coordination::usage::LocalUsage;
use cranberryvalve_coordination::usage::MergedUsage;
use cranberryvalve_coordination::usage::TrueClock;
use cranberryvalve_coordination::usage::UsageHolder;
use cranberryvalve_coordination::usage::VmCounts;
use cranberryvalve_coordination::usage::WindowCounts;
use cranberryvalve_coordination::usage::WindowId;
use cranberryvalve_coordination::usage::WindowState;
use cranberryvalve_core::CustomerId;
use cranberryvalve_core::FencingToken;
use cranberryvalve_core::VmId;

pub use cranberryvalve_coordination::duties::DutyReply;
pub use cranberryvalve_coordination::duties::DutyRow;
pub use cranberryvalve_coordination::duties::DutySnapshot;
pub use cranberryvalve_coordination::duties::DutyWrite;
pub use cranberryvalve_coordination::duties::StoredDuty;
pub use cranberryvalve_coordination::duties::USAGE_REPORT_DUTY;
pub use cranberryvalve_coordination::usage::UsageReport;
pub use cranberryvalve_coordination::usage::UsageRules;

pub use self::duty::DutyStore;
pub use self::duty::UsageEndpoint;
pub use self::duty::UsageSettings;
pub use self::duty::report_usage;
pub(crate) use self::status::UsageStatus;

/// Fencing token of a VM that does not hold the lease.
const NO_TOKEN: FencingToken = 0;

/// What a VM counts and knows of the counts of others; unset unless the settings name the duty.
#[derive(Debug, Default)]
pub(crate) struct Usage(OnceLock<UsageLedger>);

impl Usage {
    /// Returns the ledger, or `None` if usage is not reported.
    pub(crate) fn ledger(&self) -> Option<&UsageLedger> {
        self.0.get()
    }

    /// Counts a request that an upstream has begun to run.
    pub(crate) fn record(&self, customer: Option<&str>) {
        if let (Some(ledger), Some(customer)) = (self.ledger(), customer) {
            ledger.record(&customer.into());
        }
    }
}

/// Counts of this VM and of others.
#[derive(Debug)]
pub(crate) struct UsageLedger {
    rules: UsageRules,
    started_at: Instant,
    /// Identifies this start of the VM, from the first counts on.
    start_id: OnceLock<u64>,
    /// Whether no requests were served before this process started.
    is_first_start: bool,
    /// Fencing token while this VM holds the lease, [`NO_TOKEN`] otherwise.
    own_token: AtomicU64,
    state: Mutex<State>,
    status: Mutex<UsageStatus>,
}

#[derive(Debug)]
struct State {
    clock: TrueClock,
    local: LocalUsage,
    merged: MergedUsage,
    votes: ClockVotes,
    /// The time that the VMs agreed on, at the holder.
    agreed: Option<TrueClock>,
    holder: Option<UsageHolder>,
    /// Holder before the present one.
    previous: Option<VmId>,
    /// Whether the present holder has not been sent the windows that are not over.
    is_holder_new: bool,
}

/// Counts to send to the holder.
#[derive(Debug)]
pub(crate) struct DueCounts {
    pub(crate) holder: UsageHolder,
    pub(crate) windows: Vec<WindowCounts>,
    /// Counts of the previous holder, which may be gone.
    pub(crate) entrusted: Vec<VmCounts>,
    pub(crate) counts_since_ms: u64,
    pub(crate) reading: ClockReading,
}

impl UsageLedger {
    fn new(rules: UsageRules, is_first_start: bool) -> Self {
        let now = Instant::now();
        let state = State {
            clock: TrueClock::new(now, unix_time_ms()),
            local: LocalUsage::default(),
            merged: MergedUsage::default(),
            votes: ClockVotes::default(),
            agreed: None,
            holder: None,
            previous: None,
            is_holder_new: false,
        };
        Self {
            rules,
            started_at: now,
            start_id: OnceLock::new(),
            is_first_start,
            own_token: AtomicU64::new(NO_TOKEN),
            state: Mutex::new(state),
            status: Mutex::default(),
        }
    }

    fn record(&self, customer: &CustomerId) {
        let mut state = self.state();
        let now_ms = state.clock.now_ms(Instant::now());
        state.local.record(self.rules.window_at(now_ms), customer);
    }

    /// Returns the estimate of the true time in milliseconds since the Unix epoch.
    pub(crate) fn now_ms(&self) -> u64 {
        self.state().clock.now_ms(Instant::now())
    }

    /// Returns `true` while this VM holds the lease, as far as it knows.
    pub(crate) fn is_holder(&self) -> bool {
        self.own_token.load(Ordering::SeqCst) != NO_TOKEN
    }

    fn set_own_token(&self, token: FencingToken) {
        self.own_token.store(token, Ordering::SeqCst);
    }

    /// Records the holder. Returns `true` if it was not known.
    pub(crate) fn set_holder(&self, holder: UsageHolder) -> bool {
        let mut state = self.state();
        if state.holder.as_ref().is_some_and(|it| it.fencing >= holder.fencing) {
            return false;
        }
        let previous = state.holder.replace(holder);
        state.previous = previous.map(|it| it.holder.vm).or_else(|| state.previous.take());
        state.is_holder_new = true;
        true
    }

    /// Returns what identifies this start of the VM: its incarnation among the members when the first counts
    /// are sent. The VM raises its incarnation when others take it for dead, but goes on counting.
    pub(crate) fn start_id(&self, incarnation: u64) -> u64 {
        *self.start_id.get_or_init(|| incarnation)
    }

    /// Returns the latest holder that this VM knows.
    pub(crate) fn holder(&self) -> Option<UsageHolder> {
        self.state().holder.clone()
    }

    /// Makes the next counts include all windows that are not over.
    pub(crate) fn resend_all(&self) {
        self.state().is_holder_new = true;
    }

    /// Takes the counts that are due now, or `None` if no holder is known.
    pub(crate) fn take_due(&self) -> Option<DueCounts> {
        let now = Instant::now();
        let state = &mut *self.state();
        let holder = state.holder.clone()?;
        let now_ms = state.clock.now_ms(now);
        let mut windows = state.local.take_due(&self.rules, now_ms);
        let mut entrusted = Vec::new();
        if std::mem::take(&mut state.is_holder_new) {
            windows = state.local.all(&self.rules, now_ms);
            let previous = state.previous.iter().filter(|it| **it != holder.holder.vm);
            entrusted = previous.flat_map(|it| state.merged.counts_of(it)).collect();
        }
        let uptime = now.saturating_duration_since(self.started_at);
        let uptime_ms = u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX);
        let counts_since_ms =
            if self.is_first_start { 0 } else { now_ms.saturating_sub(uptime_ms) };
        let reading = ClockReading { estimate_ms: now_ms, wall_ms: unix_time_ms() };
        Some(DueCounts { holder, windows, entrusted, counts_since_ms, reading })
    }

    /// Forgets windows that are over.
    fn forget_old(&self) {
        let mut state = self.state();
        let now_ms = state.clock.now_ms(Instant::now());
        state.local.forget_old(&self.rules, now_ms);
        state.merged.forget_old(&self.rules, now_ms);
    }

    /// Merges counts of a VM.
    pub(crate) fn merge(&self, counts: VmCounts) {
        let mut state = self.state();
        let now_ms = state.clock.now_ms(Instant::now());
        state.merged.merge(&self.rules, now_ms, counts);
    }

    /// Records the clocks of a VM. Returns the agreed time if the VM has to be told.
    pub(crate) fn record_reading(&self, vm: &VmId, reading: ClockReading) -> Option<u64> {
        let now = Instant::now();
        let mut state = self.state();
        state.votes.record(now, vm, reading);
        let agreed_ms = state.agreed?.now_ms(now);
        (self.is_holder() && ClockVotes::deviates(reading, agreed_ms)).then_some(agreed_ms)
    }

    /// Agrees on the time from the readings of all VMs, at the holder. Returns the correction in
    /// milliseconds if this VM's clock was wrong.
    pub(crate) fn agree(&self) -> Option<i64> {
        let now = Instant::now();
        let mut state = self.state();
        let agreed_ms = state.votes.agreed_ms(now);
        state.agreed = agreed_ms.map(|it| TrueClock::new(now, it));
        drop(state);
        self.correct_clock(agreed_ms?)
    }

    /// Adopts the agreed time if this VM's clock deviates from it. Returns the correction in
    /// milliseconds if it did.
    pub(crate) fn correct_clock(&self, agreed_ms: u64) -> Option<i64> {
        let now = Instant::now();
        let mut state = self.state();
        let before_ms = state.clock.now_ms(now);
        let is_wrong = state.clock.correct(now, agreed_ms);
        is_wrong.then(|| agreed_ms.cast_signed().wrapping_sub(before_ms.cast_signed()))
    }

    /// Returns what is to be done about a window, of which all `living` VMs and those that were heard
    /// lately have counts.
    fn window_state(&self, now_ms: u64, window: WindowId, living: &[VmId]) -> WindowState {
        let state = self.state();
        let mut living = living.to_vec();
        living.extend(state.votes.vms(Instant::now()));
        living.sort_unstable();
        living.dedup();
        state.merged.state(&self.rules, now_ms, window, &living)
    }

    /// Returns the window in which this VM began to count.
    fn first_window(&self) -> WindowId {
        let uptime = u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.rules.window_at(self.now_ms().saturating_sub(uptime))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
