//! Replies to queries.

use std::time::Duration;

use cranberryvalve_core::VmId;

use super::PendingQueries;

/// Time that no test waits for, as all replies have come.
const TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn reply_that_is_not_awaited_does_not_complete_a_query() {
    let [near, far, other]: [VmId; 3] = ["near", "far", "other"].map(Into::into);
    let queries = PendingQueries::default();
    let id = queries.open([near.clone(), far.clone()].into());
    queries.record_reply(id, &near, [1]);
    queries.record_reply(id, &near, [2]);
    queries.record_reply(id, &other, [3]);
    queries.record_reply(id, &far, [4]);
    queries.record_reply(id, &far, [5]);
    assert_eq!(queries.wait(id, TIMEOUT, |_| false), [1, 4]);
    queries.record_reply(id, &near, [6]);
    assert!(queries.wait(id, TIMEOUT, |_| false).is_empty());
}
