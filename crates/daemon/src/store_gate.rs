//! Keeps calls from a store that is down.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::platform::PlatformClient;
use cranberryvalve_coordination::store::Expected;
use cranberryvalve_coordination::store::Row;
use cranberryvalve_coordination::store::Store;
use cranberryvalve_coordination::store::StoreError;
use cranberryvalve_coordination::store::WriteResult;
use rand::RngExt;

/// Consecutive failures after which calls are refused for a while.
const FAILURES_TO_CLOSE: u32 = 3;

/// Shortest and longest time for which calls are refused, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..900;

/// A store that refuses calls at once for a while after several have failed.
///
/// A refused call was not sent, which is certain, and costs the store nothing while it recovers.
pub(crate) struct StoreGate {
    platform: PlatformClient,
    state: Mutex<GateState>,
}

#[derive(Default)]
struct GateState {
    failures: u32,
    closed_until: Option<Instant>,
}

impl StoreGate {
    pub(crate) fn new(platform: PlatformClient) -> Self {
        Self { platform, state: Mutex::default() }
    }

    /// Whether calls are refused at present.
    pub(crate) fn is_closed(&self) -> bool {
        self.lock().closed_until.is_some_and(|it| Instant::now() < it)
    }

    fn call<T>(
        &self,
        operation: &'static str,
        call: impl FnOnce(&PlatformClient) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        if self.is_closed() {
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
            *state = GateState::default();
            return;
        }
        metrics::counter!("cranberryvalve_store_failures_total").increment(1);
        state.failures += 1;
        if state.failures >= FAILURES_TO_CLOSE {
            let pause_ms = rand::rng().random_range(PAUSE_MS);
            state.closed_until = Some(Instant::now() + Duration::from_millis(pause_ms));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store for StoreGate {
    fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        self.call("read", |it| it.read(key))
    }

    fn write(
        &self,
        key: &str,
        expected: Expected,
        value: &[u8],
    ) -> Result<WriteResult, StoreError> {
        self.call("write", |it| it.write(key, expected, value))
    }

    fn put_object(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        self.call("put_object", |it| it.put_object(key, value))
    }

    fn fetch_object(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.call("fetch_object", |it| it.fetch_object(key))
    }
}
