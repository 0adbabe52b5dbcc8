//! A fake VM of another build.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use cranberryvalve_adapters::links::Links;
use cranberryvalve_adapters::links::Received;
use cranberryvalve_adapters::shared_key::SharedKey;
use cranberryvalve_adapters::telemetry::unix_time_ms;
use cranberryvalve_coordination::builds::PROTOCOL_VERSION;
use cranberryvalve_coordination::builds::UNANNOUNCED_PROTOCOL;
use cranberryvalve_coordination::builds::VmBuild;
use cranberryvalve_coordination::peer::Heartbeat;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::transfer::TransferId;
use cranberryvalve_coordination::transfer::part_of;
use cranberryvalve_core::PressureDigest;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_core::table::TableDelta;
use serde_json::Value;
use serde_json::json;

use crate::ports::free_address;

/// VM of a later version, what it announces, and a VM of a build before versions.
const LATER_VM: &str = "vm-later";
const LATER_BUILD: &str = "later-build";
const LATER_PROTOCOL: u32 = 300;
const OLDER_VM: &str = "vm-older";

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// A VM that sends heartbeats and maybe announces its build until it is dropped.
pub struct Peer {
    links: Arc<Links>,
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Peer {
    /// Starts a VM that is known to the one at `other`, named `other_vm`. It announces a build with
    /// this protocol version and name, or none.
    ///
    /// # Panics
    ///
    /// Panics if it cannot listen.
    pub fn start(
        vm: &str,
        key: &[u8],
        (other_vm, other): (&str, SocketAddr),
        announced: Option<(u32, &str)>,
    ) -> Self {
        Self::start_with_table(vm, key, (other_vm, other), announced, RoutingTable::default())
    }

    /// Like [`Self::start`], with a routing table that the VM announces and sends.
    ///
    /// # Panics
    ///
    /// Panics if it cannot listen.
    pub fn start_with_table(
        vm: &str,
        key: &[u8],
        (other_vm, other): (&str, SocketAddr),
        announced: Option<(u32, &str)>,
        table: RoutingTable,
    ) -> Self {
        let at = |vm: &str, address| PeerAddress {
            vm: vm.into(),
            address,
            failure_domain: "lyttelton".into(),
        };
        let (own, other) = (at(vm, free_address()), at(other_vm, other));
        let incarnation = unix_time_ms();
        let build = announced.map(|(protocol_version, build)| VmBuild {
            vm: own.vm.clone(),
            incarnation,
            protocol_version,
            build: build.into(),
            capabilities: u64::MAX,
        });
        let links = Links::listen(own.address, SharedKey::new(key)).expect("a free port");
        let links = Arc::new(links);
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (receiver, sender, end) = (links.clone(), links.clone(), is_stopped.clone());
        let (from, config_version) = (own.clone(), table.version());
        let receiving = thread::spawn(move || respond(&receiver, &from, &table));
        let sending = thread::spawn(move || {
            while !end.load(Ordering::SeqCst) {
                send(&sender, &own, &other, (incarnation, config_version), build.as_ref());
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Self { links, is_stopped, threads: vec![receiving, sending] }
    }
}

/// Starts a VM of a later version and one of a build before versions, both known to the VM at `other`.
///
/// # Panics
///
/// Panics if they cannot listen.
pub fn start_other_versions(key: &[u8], other: (&str, SocketAddr)) -> [Peer; 2] {
    let announced = Some((LATER_PROTOCOL, LATER_BUILD));
    [Peer::start(LATER_VM, key, other, announced), Peer::start(OLDER_VM, key, other, None)]
}

/// Returns whether a VM shows what the VMs of [`start_other_versions`] run, in `members`, its list of
/// the builds of all VMs.
pub fn shows_other_versions(members: &Value) -> bool {
    let shows = |vm: &str, build: &Value, protocol: u32| {
        let is_shown = |it: &Value| {
            it["vm"] == vm && it["build"] == *build && it["protocol_version"] == protocol
        };
        members.as_array().is_some_and(|it| it.iter().any(is_shown))
    };
    shows(LATER_VM, &json!(LATER_BUILD), LATER_PROTOCOL)
        && shows(OLDER_VM, &Value::Null, UNANNOUNCED_PROTOCOL)
}

/// Returns whether the log of a VM that runs `own_build` has lines about the VMs of
/// [`start_other_versions`], each with both versions.
pub fn logs_other_versions(log: &str, own_build: &Value) -> bool {
    let has_line = |message: &str, peer: &Value| {
        let mut lines = log.lines().filter_map(|it| serde_json::from_str::<Value>(it).ok());
        let is_about = |line: &Value| {
            line["message"] == message
                && ["peer", "peer_build", "peer_protocol"].iter().all(|it| line[*it] == peer[*it])
                && line["own_build"] == *own_build
                && line["own_protocol"] == PROTOCOL_VERSION
        };
        lines.any(|it| is_about(&it))
    };
    let later =
        json!({"peer": LATER_VM, "peer_build": LATER_BUILD, "peer_protocol": LATER_PROTOCOL});
    let older = json!({"peer": OLDER_VM, "peer_protocol": UNANNOUNCED_PROTOCOL});
    has_line("VM of another protocol version", &later)
        && has_line("VM has not announced its build", &older)
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.links.close();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Acknowledges heartbeats until the links are closed, so that they are kept, and sends the table.
fn respond(links: &Links, own: &PeerAddress, table: &RoutingTable) {
    let delta = TableDelta::between(None, table);
    let bytes = postcard::to_stdvec(&delta).expect("a table can be encoded");
    let id = TransferId { version: table.version(), base: None, checksum: 0 };
    while let Ok(received) = links.receive() {
        match received {
            Received::Message(PeerMessage::Heartbeat(it)) => {
                links.on_heartbeat(&it.from, it.sequence, it.acknowledged);
            }
            Received::Message(PeerMessage::TableRequest { from, request }) => {
                let Some(part) = part_of(id, &bytes, request.offset) else { continue };
                links.send(&from, &PeerMessage::TablePart { from: own.clone(), part });
            }
            _ => {}
        }
    }
}

fn send(
    links: &Links,
    from: &PeerAddress,
    to: &PeerAddress,
    (incarnation, config_version): (u64, u64),
    build: Option<&VmBuild>,
) {
    let sequence = links.next_heartbeat(to);
    let heartbeat = Heartbeat {
        from: from.clone(),
        incarnation,
        sequence: sequence.sequence,
        acknowledged: sequence.acknowledged,
        config_version,
        config_fresh: false,
        pressure: PressureDigest::default(),
        members: Vec::new(),
    };
    links.send(to, &PeerMessage::Heartbeat(heartbeat));
    if let Some(build) = build {
        let builds = vec![build.clone()];
        links.send(to, &PeerMessage::Builds { from: from.clone(), builds });
    }
}
