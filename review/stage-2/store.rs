//! A stand-in for the platform's metadata store: rows, transactions and change feeds, in one part.
//!
//! Each machine has a door of its own, so that the store can leave the calls of some machines, or of
//! all of them, without a response. As PROTOCOL.md says, a connection on which a response was lost
//! delivers nothing further. New connections work once the disruption is over.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::Reader;
use crate::http::base64;
use crate::http::percent_decode;
use crate::http::response;
use crate::http::write;
use crate::json::Json;

/// Time that the store takes for an answer, as on the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Time of a transaction.
const TRANSACTION_TIME: Duration = Duration::from_millis(8);

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    version: u64,
    /// Values in Base64, with the version in which they were written.
    rows: BTreeMap<(String, String), (String, u64)>,
    changes: Vec<(u64, String, String, Option<String>)>,
}

/// Address at which one machine reaches the store.
pub struct Door {
    pub address: SocketAddr,
    state: Arc<Mutex<DoorState>>,
    store: Arc<Store>,
}

#[derive(Default)]
struct DoorState {
    is_silent: bool,
    /// Whether each call is answered with 503.
    is_busy: bool,
    /// Number of times that the door became silent.
    silences: u64,
    /// Paths of the calls that arrived, with the time.
    calls: Vec<(Instant, String)>,
}

impl Door {
    /// From now on no call is answered; those that are pending get no response either.
    pub fn silence(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_silent = true;
        state.silences += 1;
        drop(state);
        self.store.changed.notify_all();
    }

    /// From now on each call is answered with 503, those that are pending too.
    pub fn set_busy(&self, is_busy: bool) {
        self.state.lock().unwrap().is_busy = is_busy;
        self.store.changed.notify_all();
    }

    /// New connections are answered again.
    pub fn restore(&self) {
        self.state.lock().unwrap().is_silent = false;
    }

    /// Returns how many calls of this path arrived since `since`.
    pub fn calls_since(&self, since: Instant, path: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.calls.iter().filter(|it| it.0 >= since && it.1.starts_with(path)).count()
    }
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Writes a row, as the operator or a worker does. The return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        thread::sleep(TRANSACTION_TIME);
        self.lock().write(table, key, Some(base64(value.as_bytes())));
        self.changed.notify_all();
    }

    pub fn open_door(self: &Arc<Self>) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let door = Door { address, state: Arc::default(), store: self.clone() };
        let (store, state) = (self.clone(), door.state.clone());
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (store, state) = (store.clone(), state.clone());
                thread::spawn(move || store.serve(stream, &state));
            }
        });
        door
    }

    fn serve(&self, stream: TcpStream, door: &Mutex<DoorState>) {
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.read() {
            let silences = {
                let mut state = door.lock().unwrap();
                let path = request.target().to_owned();
                state.calls.push((Instant::now(), path));
                if state.is_silent { None } else { Some(state.silences) }
            };
            let is_lost = || {
                let state = door.lock().unwrap();
                state.is_silent || Some(state.silences) != silences
            };
            let is_busy = || door.lock().unwrap().is_busy;
            let is_over = || is_lost() || is_busy();
            let answer = if is_over() { None } else { self.answer(&request, &is_over) };
            let answer = match answer {
                _ if is_busy() => Some(("503 Service Unavailable", "{}".to_owned())),
                other => other,
            };
            let Some((status, body)) = answer.filter(|_| !is_lost()) else {
                reader.ignore_rest();
                return;
            };
            let headers = "Content-Type: application/json\r\nStore-Era: 0\r\n";
            if !write(&reader.stream, &response(status, headers, body.as_bytes())) {
                return;
            }
        }
    }

    /// Returns the status and the body; `None` if the call gets no response.
    fn answer(
        &self,
        request: &Message,
        is_over: &dyn Fn() -> bool,
    ) -> Option<(&'static str, String)> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.filter(|it| it.0 == name).map(|it| percent_decode(it.1)).next().unwrap_or_default()
        };
        match path {
            "/-/rows-get" => {
                thread::sleep(ANSWER_TIME);
                let state = self.lock();
                let (table, from) = (value("table"), value("from"));
                let found = state.rows.range((table.clone(), from)..);
                let found = found.take_while(|it| it.0.0 == table);
                let rows: Vec<String> =
                    found.map(|(id, it)| row(&id.0, &id.1, Some(&it.0), it.1)).collect();
                let rows = rows.join(",");
                let version = state.version;
                let body = format!(
                    "{{\"rows\":[{rows}],\"hasMore\":false,\"ver\":{version},\"nowMs\":1}}"
                );
                Some(("200 OK", body))
            }
            "/-/rows-feed" => {
                let (table, after) = (value("table"), value("after").parse().unwrap_or(0));
                let wait_ms: u64 = value("waitMs").parse().unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
                let mut state = self.lock();
                loop {
                    let new = state.changes.iter().filter(|it| it.0 > after && it.1 == table);
                    let rows: Vec<String> =
                        new.map(|it| row(&it.1, &it.2, it.3.as_deref(), it.0)).collect();
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || remaining.is_zero() {
                        let (rows, version) = (rows.join(","), state.version);
                        drop(state);
                        thread::sleep(ANSWER_TIME);
                        let body =
                            format!("{{\"rows\":[{rows}],\"ver\":{version},\"nowMs\":1}}");
                        return Some(("200 OK", body));
                    }
                    state = self.changed.wait_timeout(state, remaining).unwrap().0;
                    if is_over() {
                        return None;
                    }
                }
            }
            "/-/rows-tx" => {
                thread::sleep(TRANSACTION_TIME);
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let Some(transaction) = Json::parse(&text) else {
                    return Some(("400 Bad Request", "{}".to_owned()));
                };
                let id = |it: &Json| {
                    (it.field("table").text().to_owned(), it.field("key").text().to_owned())
                };
                let mut state = self.lock();
                for expected in transaction.field("expectedRev").list() {
                    let version = state.rows.get(&id(expected)).map_or(0, |it| it.1);
                    if version != expected.field("ver").number() {
                        let body = format!("{{\"rows\":[],\"ver\":{},\"nowMs\":1}}", state.version);
                        return Some(("412 Precondition Failed", body));
                    }
                }
                for put in transaction.field("put").list() {
                    let (table, key) = id(put);
                    state.write(&table, &key, Some(put.field("value").text().to_owned()));
                }
                for removed in transaction.field("remove").list() {
                    let (table, key) = id(removed);
                    state.write(&table, &key, None);
                }
                let body = format!("{{\"ver\":{},\"nowMs\":1}}", state.version);
                drop(state);
                self.changed.notify_all();
                Some(("200 OK", body))
            }
            _ => Some(("404 Not Found", "{}".to_owned())),
        }
    }
}

impl State {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let id = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => drop(self.rows.insert(id, (value.clone(), self.version))),
            None => drop(self.rows.remove(&id)),
        }
        self.changes.push((self.version, table.to_owned(), key.to_owned(), value));
    }
}

fn row(table: &str, key: &str, value: Option<&str>, version: u64) -> String {
    let value = value
        .map_or_else(|| "\"deleted\":true".to_owned(), |it| format!("\"value\":\"{it}\""));
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{version}}}")
}
