//! Circuit breaker for calls to the store.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::platform::PlatformClient;
use cranberryvalve_coordination::era::EraWatch;
use cranberryvalve_coordination::store::Condition;
use cranberryvalve_coordination::store::Snapshot;
use cranberryvalve_coordination::store::Store;
use cranberryvalve_coordination::store::StoreError;
use cranberryvalve_coordination::store::WriteResult;
use rand::RngExt;

/// Number of consecutive failures that open the circuit breaker.
const FAILURES_TO_OPEN: u32 = 3;

/// Range from which the time that the circuit breaker stays open is drawn, in milliseconds.
const OPEN_TIME_MS: std::ops::Range<u64> = 300..900;

/// A store that rejects calls immediately for a while after several have failed.
///
/// A rejected call was certainly not sent, and it puts no load on a recovering store.
pub(crate) struct StoreBreaker {
    platform: PlatformClient,
    state: Mutex<BreakerState>,
    eras: Mutex<EraWatch>,
}

#[derive(Default)]
struct BreakerState {
    consecutive_failures: u32,
    open_until: Option<Instant>,
}

impl StoreBreaker {
    pub(crate) fn new(platform: PlatformClient) -> Self {
        Self { platform, state: Mutex::default(), eras: Mutex::default() }
    }

    /// Returns which era of the store this VM has seen, and since when.
    pub(crate) fn eras(&self) -> EraWatch {
        *self.eras.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether calls are rejected at present.
    pub(crate) fn rejects_calls(&self) -> bool {
        self.lock().open_until.is_some_and(|it| Instant::now() < it)
    }

    fn call<T>(
        &self,
        operation: &'static str,
        call: impl FnOnce(&PlatformClient) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        if self.rejects_calls() {
            return Err(StoreError::Rejected);
        }
        metrics::counter!("cranberryvalve_store_calls_total", "operation" => operation)
            .increment(1);
        let result = call(&self.platform);
        self.record(result.is_ok());
        result
    }

    fn record(&self, succeeded: bool) {
        let mut state = self.lock();
        if succeeded {
            *state = BreakerState::default();
            return;
        }
        metrics::counter!("cranberryvalve_store_failures_total").increment(1);
        state.consecutive_failures += 1;
        if state.consecutive_failures >= FAILURES_TO_OPEN {
            let open_time_ms = rand::rng().random_range(OPEN_TIME_MS);
            state.open_until = Some(Instant::now() + Duration::from_millis(open_time_ms));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BreakerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store for StoreBreaker {
    fn read(&self, key: &str) -> Result<Snapshot, StoreError> {
        let snapshot = self.call("read", |it| it.read(key))?;
        let mut eras = self.eras.lock().unwrap_or_else(PoisonError::into_inner);
        eras.observe(Instant::now(), snapshot.era);
        drop(eras);
        Ok(snapshot)
    }

    fn write(
        &self,
        key: &str,
        condition: Condition,
        value: &[u8],
    ) -> Result<WriteResult, StoreError> {
        self.call("write", |it| it.write(key, condition, value))
    }

    fn put_object(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        self.call("put_object", |it| it.put_object(key, value))
    }

    fn fetch_object(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.call("fetch_object", |it| it.fetch_object(key))
    }
}
