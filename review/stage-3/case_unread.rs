//! Clients that read slowly: do they get their answers?

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::FromRawFd;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::client::Call;
use crate::deployment::BOOK;
use crate::deployment::Deployment;
use crate::http::Reader;
use crate::record::Record;

/// Largest answer of `berth-book` in the site file, in bytes.
const ANSWER_BYTES: usize = 4_800;

/// Receive buffer of a client, in bytes: a small window.
const WINDOW_BYTES: i32 = 2_048;

/// Time for which a client does not read on.
const PAUSE: Duration = Duration::from_millis(3_500);

/// The same without trouble.
const SHORT_PAUSE: Duration = Duration::from_millis(500);

/// Time that a client waits for its answer.
const DEADLINE_MS: u64 = 6_000;

/// Number of clients, and of lost answers from which the rule is broken.
const CLIENTS: usize = 8;
const MAX_LOST: usize = 3;

const KEY: &str = "n2ctnfzs989anu6wsjnb";

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// The C library's address of an IPv4 socket.
#[repr(C)]
struct InetAddress {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const InetAddress, length: u32) -> i32;
}

/// Connects with a small receive window, which has to be set before.
fn connect_narrow(to: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else { return Err(io::ErrorKind::InvalidInput.into()) };
    let address = InetAddress {
        family: AF_INET as u16,
        port: to.port().to_be(),
        address: u32::from(*to.ip()).to_be(),
        zero: [0; 8],
    };
    // SAFETY: the arguments are as the C library declares them, and the descriptor is owned by the stream alone.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4) != 0
            || connect(descriptor, &address, 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Sends two calls on a connection and reads the answer to the second one with a pause. Returns the bytes of its
/// body, and how the connection ended if they are too few.
fn call_twice(to: SocketAddr, ids: [&str; 2], pause: Duration) -> io::Result<(usize, Option<io::Error>)> {
    let mut stream = connect_narrow(to)?;
    let call = |id| Call { path: BOOK, id, key: Some(KEY), deadline_ms: DEADLINE_MS };
    stream.write_all(&call(ids[0]).bytes())?;
    let first = Reader::new(&stream)?.read()?;
    if first.status() != 200 || first.body.len() != ANSWER_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    stream.write_all(&call(ids[1]).bytes())?;
    let mut answer = Vec::new();
    let mut bytes = [0; 500];
    let mut error = None;
    while answer.len() < ANSWER_BYTES + 2_000 {
        match stream.read(&mut bytes) {
            Ok(0) => {
                error = Some(io::ErrorKind::UnexpectedEof.into());
                break;
            }
            Ok(count) => {
                if answer.is_empty() {
                    thread::sleep(pause);
                }
                answer.extend_from_slice(&bytes[..count]);
            }
            Err(it) => {
                error = Some(it);
                break;
            }
        }
        let body = answer.windows(4).position(|it| it == b"\r\n\r\n").map_or(0, |it| answer.len() - it - 4);
        if body == ANSWER_BYTES {
            return Ok((body, None));
        }
    }
    let body = answer.windows(4).position(|it| it == b"\r\n\r\n").map_or(0, |it| answer.len() - it - 4);
    Ok((body, error))
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let tenants = format!("[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]");
    let deployment = Deployment::start(2, &tenants, ANSWER_BYTES, None);
    let pause = if has_trouble { PAUSE } else { SHORT_PAUSE };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = deployment.nodes[number % deployment.nodes.len()].front;
            let ids = [format!("{:016x}", 2 * number + 1), format!("{:016x}", 2 * number + 2)];
            thread::spawn(move || {
                let start = Instant::now();
                let result = call_twice(front, [&ids[0], &ids[1]], pause);
                (ids[1].clone(), result, start.elapsed())
            })
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        let Ok((id, result, elapsed)) = client.join() else { crate::give_up("a client panicked") };
        let Ok((body, error)) = result else { crate::give_up("a client's first request is not served") };
        let runs = deployment.workers.iter().flat_map(|it| it.runs()).filter(|it| it.request == id).count();
        let end = error.map_or("whole".to_owned(), |it| format!("the connection ended: {it}"));
        record.line(&format!(
            "request {id}: run {runs} times; read on after {} ms; {body} of {ANSWER_BYTES} bytes after {} ms; {end}",
            pause.as_millis(),
            elapsed.as_millis()
        ));
        if runs == 1 && body < ANSWER_BYTES && elapsed < Duration::from_millis(DEADLINE_MS) {
            lost += 1;
        }
    }
    for node in &deployment.nodes {
        let ended = node.log_lines("call ended");
        let completed = ended.iter().filter(|it| it.contains("\"outcome\":\"completed\"")).count();
        record.line(&format!("{}: {} calls ended, {completed} completed by its log", node.name, ended.len()));
    }
    record.line(&format!("{lost} requests from kept connections ran, and their connections ended without the answer"));
    if lost > MAX_LOST { Outcome::Broken } else { Outcome::Held }
}
