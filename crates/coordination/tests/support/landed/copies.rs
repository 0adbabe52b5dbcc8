//! Copies of the origins of streams, and the row with the addresses of a few VMs.

use cranberryvalve_coordination::origins::OriginRow;
use cranberryvalve_coordination::origins::StreamOrigin;
use cranberryvalve_coordination::origins::stream_key;
use cranberryvalve_coordination::peer::PeerMessage;

use super::Sample;
use super::first::sender;
use super::sent;
use super::stored;

/// Returns messages that cover each variant.
pub(crate) fn messages() -> Vec<Sample> {
    let origin = StreamOrigin { pool: "model-desk".into(), software_version: "v2".into() };
    let streams = vec![(stream_key("9c41d07be2a35f68"), origin)];
    let message =
        |are_told| PeerMessage::OriginCopies { from: sender(), streams: streams.clone(), are_told };
    vec![sent("origin-copies", message(false)), sent("origin-record", message(true))]
}

/// Returns the rows.
pub(crate) fn rows() -> Vec<Sample> {
    let origin = StreamOrigin { pool: "model-desk".into(), software_version: "v2".into() };
    let origins = OriginRow::new(&[(stream_key("9c41d07be2a35f68"), origin)]);
    vec![stored("contacts", vec![sender()]), stored("origins", origins)]
}
