//! The platform's store: rows with versions, conditional transactions and a feed of changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json::Json;
use crate::json::to_base64;

#[derive(Default)]
struct State {
    version: u64,
    /// Value (Base64) and version by table and key.
    rows: BTreeMap<(String, String), (String, u64)>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A store at a free loopback address.
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> Self {
        let shared = Arc::<Shared>::default();
        let served = shared.clone();
        let address = http::serve(move |request, stream| served.handle(request, stream));
        Self { address, shared }
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.shared.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), key.to_owned()), (to_base64(value.as_bytes()), version));
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn handle(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let argument = |name: &str| {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.filter(|it| it.0 == name).map(|it| it.1.to_owned()).next().unwrap_or_default()
        };
        match path {
            "/-/rows-get" => {
                let state = self.state.lock().unwrap();
                let body = state.page(&argument("table"), 0);
                drop(state);
                http::respond(stream, "200 OK", "", &body)
            }
            "/-/rows-feed" => {
                let (table, after) = (argument("table"), argument("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(argument("waitMs").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                let mut state = self.state.lock().unwrap();
                while !state.rows.iter().any(|(key, row)| key.0 == table && row.1 > after) {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                let body = state.page(&table, after);
                drop(state);
                http::respond(stream, "200 OK", "", &body)
            }
            "/-/rows-tx" => self.transact(request, stream),
            _ => http::respond(stream, "404 Not Found", "", "{}"),
        }
    }

    fn transact(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let Some(call) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return http::respond(stream, "400 Bad Request", "", "{}");
        };
        let row_key = |it: &Json| {
            let field = |name: &str| it.get(name).map_or("", Json::text).to_owned();
            (field("table"), field("key"))
        };
        let entries = |name: &str| call.get(name).map_or(&[][..], Json::list).to_vec();
        let mut state = self.state.lock().unwrap();
        let holds = entries("expectedRev").iter().all(|it| {
            let present = state.rows.get(&row_key(it)).map_or(0, |row| row.1);
            it.get("ver").map(Json::number) == Some(present)
        });
        if !holds {
            let body = format!("{{\"rows\":[],\"ver\":{},\"nowMs\":0}}", state.version);
            return http::respond(stream, "412 Precondition Failed", "", &body);
        }
        state.version += 1;
        let version = state.version;
        for it in entries("put") {
            let value = it.get("value").map_or("", Json::text).to_owned();
            state.rows.insert(row_key(&it), (value, version));
        }
        self.changed.notify_all();
        drop(state);
        http::respond(stream, "200 OK", "", &format!("{{\"ver\":{version},\"nowMs\":0}}"))
    }
}

impl State {
    /// Returns the rows of a table that were written after a version.
    fn page(&self, table: &str, after: u64) -> String {
        let rows = self.rows.iter().filter(|(key, row)| key.0 == table && row.1 > after);
        let rows: Vec<String> = rows
            .map(|((table, key), (value, version))| {
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"
                )
            })
            .collect();
        format!("{{\"rows\":[{}],\"ver\":{},\"nowMs\":0,\"hasMore\":false}}", rows.join(","), self.version)
    }
}
