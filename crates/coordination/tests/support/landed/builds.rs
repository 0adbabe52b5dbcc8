//! Messages since e8a1500247f570c552469fe481de393159042019.

use cranberryvalve_coordination::builds::VmBuild;
use cranberryvalve_coordination::peer::PeerMessage;

use super::Sample;
use super::first::sender;
use super::sent;

/// Returns messages that cover each variant, and each variant of what they hold.
pub(crate) fn messages() -> Vec<Sample> {
    let build = VmBuild {
        vm: "front-chc-b-2".into(),
        incarnation: 1_764_900_000_125,
        protocol_version: 300,
        build: "97079c5a7388".into(),
        capabilities: u64::MAX,
    };
    vec![sent("builds", PeerMessage::Builds { from: sender(), builds: vec![build] })]
}
