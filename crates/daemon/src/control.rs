//! Background threads that exchange state with the platform, the peers and the upstreams.

mod builds;
mod config;
mod heartbeats;
mod limits;
mod loads;
mod orders;
mod platform;
mod releases;
mod restorations;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cranberryvalve_policy::Event;
use eyre::Result;
use rand::RngExt;

use crate::node::Node;

pub(crate) use config::handle_replica_event;

/// Interval between ticks of the router.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Starts all control threads.
pub(crate) fn start(node: &Arc<Node>) -> Result<()> {
    spawn("tick", node, tick)?;
    spawn("config-poll", node, config::poll)?;
    spawn("heartbeats", node, heartbeats::send)?;
    spawn("peers", node, heartbeats::receive)?;
    spawn("loads", node, loads::poll)?;
    spawn("vm-list", node, platform::poll)?;
    spawn("limits", node, limits::run)?;
    spawn("orders", node, orders::run)?;
    spawn("releases", node, releases::run)?;
    spawn("restorations", node, restorations::run)
}

fn spawn(name: &str, node: &Arc<Node>, body: fn(&Arc<Node>)) -> Result<()> {
    let node = node.clone();
    thread::Builder::new().name(name.to_owned()).spawn(move || body(&node))?;
    Ok(())
}

fn tick(node: &Arc<Node>) {
    loop {
        thread::sleep(TICK_INTERVAL);
        node.dispatcher.handle(Event::Tick);
    }
}

/// Sleeps for `interval` with a jitter of 10 %, so that the VMs do not act at the same time.
fn sleep_with_jitter(interval: Duration) {
    thread::sleep(interval.mul_f64(rand::rng().random_range(0.9..1.1)));
}
