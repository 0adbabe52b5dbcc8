//! A proxy between clients and a machine. Without power the machine is silent: connections hang.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

pub struct Line {
    pub address: SocketAddr,
    machine: SocketAddr,
    /// Number of losses and returns of power; the machine has power while it is even.
    changes: AtomicU64,
}

impl Line {
    pub fn start(machine: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let line = Arc::new(Self { address, machine, changes: AtomicU64::new(0) });
        let server = line.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(client));
            }
        });
        line
    }

    /// The machine loses power: what is open stays silent for good, and new connections hang.
    pub fn lose_power(&self) {
        self.changes.fetch_add(1, Ordering::SeqCst);
    }

    /// The machine has power again: new connections reach it.
    pub fn regain_power(&self) {
        self.changes.fetch_add(1, Ordering::SeqCst);
    }

    fn serve(&self, client: TcpStream) {
        let changes = self.changes.load(Ordering::SeqCst);
        let is_silent = || changes % 2 == 1 || self.changes.load(Ordering::SeqCst) != changes;
        if is_silent() {
            return hold(client);
        }
        // A port without a listener resets the connection.
        let Ok(machine) = TcpStream::connect(self.machine) else { return };
        for stream in [&client, &machine] {
            let _ = stream.set_nodelay(true);
        }
        let (Ok(from_client), Ok(to_machine)) = (client.try_clone(), machine.try_clone()) else {
            return;
        };
        thread::spawn(move || {
            copy(from_client, &to_machine, || false);
            let _ = to_machine.shutdown(std::net::Shutdown::Write);
        });
        copy(machine, &client, is_silent);
        if is_silent() {
            return hold(client);
        }
        let _ = client.shutdown(std::net::Shutdown::Both);
    }
}

/// Passes on what comes until the connection ends or it has to be silent.
fn copy(mut from: TcpStream, mut to: &TcpStream, is_silent: impl Fn() -> bool) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 || is_silent() || to.write_all(&bytes[..count]).is_err() {
            return;
        }
    }
}

/// Keeps a connection open until the client closes it.
fn hold(mut client: TcpStream) {
    let mut bytes = [0; 1_024];
    while client.read(&mut bytes).is_ok_and(|it| it > 0) {}
}
