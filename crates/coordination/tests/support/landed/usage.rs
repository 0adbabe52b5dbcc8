//! Messages and rows of usage reports.

use std::collections::BTreeMap;

use cranberryvalve_coordination::duties::DutyRow;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::usage::ClockReading;
use cranberryvalve_coordination::usage::UsageHolder;
use cranberryvalve_coordination::usage::UsageMessage;
use cranberryvalve_coordination::usage::UsageReport;
use cranberryvalve_coordination::usage::VmCounts;
use cranberryvalve_coordination::usage::WindowCounts;

use super::Sample;
use super::first::sender;
use super::sent;
use super::stored;

/// Returns messages that cover each variant, and each variant of what they hold.
pub(crate) fn messages() -> Vec<Sample> {
    let windows = vec![
        WindowCounts {
            window: 353_445_120,
            is_complete: true,
            counts: vec![("tasman".into(), 412)],
        },
        WindowCounts { window: 353_445_121, is_complete: false, counts: Vec::new() },
    ];
    let counts = VmCounts {
        vm: "front-chc-b-2".into(),
        incarnation: 1_764_900_000_125,
        counts_since_ms: 1_764_900_000_130,
        windows,
    };
    let clocks = ClockReading { estimate_ms: 1_767_225_600_000, wall_ms: 1_767_225_606_000 };
    let message = |message| PeerMessage::Usage { from: sender(), message };
    let holder = UsageHolder { holder: sender(), fencing: 1 << 32 };
    vec![
        sent("usage-counts", message(UsageMessage::Counts(counts, clocks))),
        sent("usage-holder", message(UsageMessage::Holder(holder))),
        sent("usage-clock", message(UsageMessage::Clock(1_767_225_600_000))),
        sent("usage-request", message(UsageMessage::Request)),
    ]
}

/// Returns the rows.
pub(crate) fn rows() -> Vec<Sample> {
    let counts = BTreeMap::from([("tasman".into(), 412)]);
    let row = DutyRow {
        holder: "front-chc-b-2".into(),
        nonce: "7d7f0ef5a1c2b3d4".into(),
        fencing: 1 << 32,
        era: 1,
        concluded: 353_445_120,
        intended: vec![UsageReport { window: 353_445_120, counts }],
    };
    vec![stored("usage-duty", row)]
}
