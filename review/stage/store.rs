//! A stand-in for the platform's metadata store: rows, change feeds and conditional writes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reader;
use crate::json::Json;
use crate::json::decode_base64;
use crate::json::encode_base64;
use crate::json::quote;

type RowKey = (String, String, String);

/// Time of a call, and of a transaction.
const READ_TIME: Duration = Duration::from_millis(4);
const WRITE_TIME: Duration = Duration::from_millis(8);

/// The platform's heartbeat interval; an entry goes after three of them without a beat.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowKey, (Vec<u8>, u64)>,
    /// Changes with their versions; without a value the row was dropped.
    changes: Vec<(u64, RowKey, Option<Vec<u8>>)>,
    /// Last beat of each worker.
    beats: BTreeMap<String, Instant>,
    /// Whether the store is away: it takes nothing and answers nothing.
    is_away: bool,
    /// Number of times that it has come back from a copy.
    restorations: u64,
}

/// The rows at one moment.
pub struct Copy {
    version: u64,
    rows: BTreeMap<RowKey, (Vec<u8>, u64)>,
}

pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    started_at: Instant,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Self {
            address,
            shared: Arc::new((Mutex::new(State::default()), Condvar::new())),
            started_at: Instant::now(),
        });
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Reader::new(stream)));
            }
        });
        let expirer = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expirer.expire();
            }
        });
        store
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        write(&mut state, (table.into(), String::new(), key.into()), Some(value.into()));
        self.shared.1.notify_all();
    }

    /// Takes a worker's beat. The entry changes if the worker says something new.
    pub fn beat(&self, id: &str, entry: &str) {
        let mut state = self.shared.0.lock().unwrap();
        if state.is_away {
            return;
        }
        state.beats.insert(id.into(), Instant::now());
        let key = ("servers".to_owned(), String::new(), id.to_owned());
        if state.rows.get(&key).is_none_or(|it| it.0 != entry.as_bytes()) {
            write(&mut state, key, Some(entry.into()));
            self.shared.1.notify_all();
        }
    }

    /// Takes a copy of all rows.
    pub fn copy(&self) -> Copy {
        let state = self.shared.0.lock().unwrap();
        Copy { version: state.version, rows: state.rows.clone() }
    }

    /// Takes the store away: connections end without an answer.
    pub fn go_away(&self) {
        self.shared.0.lock().unwrap().is_away = true;
        self.shared.1.notify_all();
    }

    /// Brings the store back from a copy. What was written since is gone.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.shared.0.lock().unwrap();
        state.changes.retain(|it| it.0 <= copy.version);
        (state.version, state.rows) = (copy.version, copy.rows);
        state.restorations += 1;
        state.is_away = false;
        let listed = state.rows.keys().filter(|it| it.0 == "servers").map(|it| it.2.clone());
        // Entries lapse three heartbeats from now.
        state.beats = listed.map(|it| (it, Instant::now())).collect();
    }

    /// Returns a row's value as text; empty if there is none.
    pub fn text(&self, table: &str, key: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let row = state.rows.get(&(table.to_owned(), String::new(), key.to_owned()));
        row.map(|it| String::from_utf8_lossy(&it.0).into_owned()).unwrap_or_default()
    }

    /// Removes the entries of workers that are silent for three heartbeats.
    fn expire(&self) {
        let mut state = self.shared.0.lock().unwrap();
        if state.is_away {
            return;
        }
        let silent = state.beats.iter().filter(|(_, at)| at.elapsed() > 3 * HEARTBEAT);
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        for id in silent {
            state.beats.remove(&id);
            write(&mut state, ("servers".into(), String::new(), id), None);
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, mut reader: Reader) {
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head) else { return };
            if self.is_away() {
                return;
            }
            let target = head.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let (status, text) = match path {
                "/-/rows-get" => self.get(query),
                "/-/rows-feed" => self.feed(query),
                "/-/rows-tx" => self.transact(&body),
                _ => (404, "{}".to_owned()),
            };
            if self.is_away() {
                return;
            }
            let era = 1 + self.shared.0.lock().unwrap().restorations;
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if reader.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn is_away(&self) -> bool {
        self.shared.0.lock().unwrap().is_away
    }

    fn get(&self, query: &str) -> (u16, String) {
        thread::sleep(READ_TIME);
        let (table, part, from) =
            (value(query, "table"), value(query, "part"), value(query, "from"));
        let state = self.shared.0.lock().unwrap();
        let rows =
            state.rows.iter().filter(|((t, p, key), _)| *t == table && *p == part && *key >= from);
        let rows: Vec<String> =
            rows.map(|(key, (value, ver))| row(key, Some(value), *ver)).collect();
        (200, self.rows(&rows, state.version))
    }

    fn feed(&self, query: &str) -> (u16, String) {
        let table = value(query, "table");
        let after: u64 = value(query, "after").parse().unwrap_or(0);
        let wait_ms: u64 = value(query, "waitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        thread::sleep(READ_TIME);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if after > state.version {
                return (410, "{}".to_owned());
            }
            let new = state.changes.iter().filter(|(ver, key, _)| *ver > after && key.0 == table);
            let rows: Vec<String> =
                new.map(|(ver, key, value)| row(key, value.as_deref(), *ver)).collect();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || remaining.is_zero() || state.is_away {
                return (200, self.rows(&rows, state.version));
            }
            state = self.shared.1.wait_timeout(state, remaining).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        thread::sleep(WRITE_TIME);
        let call = Json::parse(&String::from_utf8_lossy(body));
        let key = |it: &Json| -> RowKey {
            (it.text("table").into(), it.text("part").into(), it.text("key").into())
        };
        let mut state = self.shared.0.lock().unwrap();
        if state.is_away {
            return (503, "{}".to_owned());
        }
        let written = call.list("put").iter().chain(call.list("remove"));
        if written.clone().any(|it| ["op", "servers"].contains(&it.text("table"))) {
            return (403, "{}".to_owned());
        }
        let current = |state: &State, key: &RowKey| state.rows.get(key).map_or(0, |it| it.1);
        let expected = call.list("expectedRev");
        if expected.iter().any(|it| it.number("ver") as u64 != current(&state, &key(it))) {
            let found = expected.iter().filter_map(|it| {
                let key = key(it);
                state.rows.get(&key).map(|(value, ver)| row(&key, Some(value), *ver))
            });
            let found: Vec<String> = found.collect();
            return (412, self.rows(&found, state.version));
        }
        for put in call.list("put") {
            write(&mut state, key(put), Some(decode_base64(put.text("value"))));
        }
        for removed in call.list("remove") {
            write(&mut state, key(removed), None);
        }
        self.shared.1.notify_all();
        (200, self.rows(&[], state.version))
    }

    fn rows(&self, rows: &[String], version: u64) -> String {
        let now_ms = self.started_at.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"hasMore\":false,\"ver\":{version},\"nowMs\":{now_ms}}}")
    }
}

fn write(state: &mut State, key: RowKey, value: Option<Vec<u8>>) {
    state.version += 1;
    let version = state.version;
    match &value {
        Some(value) => drop(state.rows.insert(key.clone(), (value.clone(), version))),
        None => drop(state.rows.remove(&key)),
    }
    state.changes.push((version, key, value));
}

fn row((table, part, key): &RowKey, value: Option<&[u8]>, version: u64) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{}\"", encode_base64(value)),
        None => "\"deleted\":true".to_owned(),
    };
    let (table, part, key) = (quote(table), quote(part), quote(key));
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},{rest},\"ver\":{version}}}")
}

/// Returns a value of a query.
fn value(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    let found = pairs.into_iter().find(|(it, _)| *it == name);
    found.map_or(String::new(), |(_, value)| value.replace("%00", "\0"))
}
