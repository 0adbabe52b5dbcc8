//! A configuration that the store has lost is written again, and plans that are based on it are
//! refused until then.

use std::sync::Arc;
use std::time::Instant;

use cranberryvalve_coordination::plan::ConfirmOutcome;
use cranberryvalve_coordination::plan::ConfirmStep;
use cranberryvalve_coordination::plan::Confirmation;
use cranberryvalve_coordination::plan::HEAD_KEY;
use cranberryvalve_coordination::plan::Head;
use cranberryvalve_coordination::plan::Plan;
use cranberryvalve_coordination::plan::body_key;
use cranberryvalve_coordination::replica::FetchFrom;
use cranberryvalve_coordination::replica::Replica;
use cranberryvalve_coordination::replica::ReplicaAction;
use cranberryvalve_coordination::replica::ReplicaEvent;
use cranberryvalve_coordination::store::Delivery;
use cranberryvalve_coordination::store::MemoryStore;
use cranberryvalve_coordination::store::Snapshot;
use cranberryvalve_coordination::store::StoreCommand;
use cranberryvalve_coordination::store::StoreReply;
use cranberryvalve_core::Config;
use cranberryvalve_core::ConfigDocument;

fn plan(id: &str, base: &ConfigDocument) -> Plan {
    Plan::new(id.into(), "ana".into(), base, Arc::new(Config::default()))
}

/// Confirms a plan in a settled era, and returns the outcome with the document that it writes.
fn confirm(store: &mut MemoryStore, plan: &Plan) -> (ConfirmOutcome, ConfigDocument) {
    let era = read_head(store).era;
    let (mut confirmation, mut command) = Confirmation::new(plan, 1, Some(era));
    loop {
        match confirmation.on_reply(store.execute(&command, Delivery::Answered)) {
            ConfirmStep::Command(next) => command = next,
            ConfirmStep::Done(outcome) => return (outcome, confirmation.document().clone()),
        }
    }
}

/// Confirms plans in turn, each based on the one before, and returns their documents.
fn confirm_chain(
    store: &mut MemoryStore,
    base: &ConfigDocument,
    ids: &[&str],
) -> Vec<ConfigDocument> {
    let mut documents: Vec<ConfigDocument> = Vec::new();
    for id in ids {
        let plan = plan(id, documents.last().unwrap_or(base));
        let (outcome, document) = confirm(store, &plan);
        assert_eq!(outcome, ConfirmOutcome::Applied { version: document.version });
        documents.push(document);
    }
    documents
}

fn read_head(store: &mut MemoryStore) -> Snapshot {
    let read = StoreCommand::Read { key: HEAD_KEY.into() };
    let StoreReply::Read(snapshot) = store.execute(&read, Delivery::Answered) else {
        panic!("a read returns a row");
    };
    snapshot
}

/// Lets a replica read the head row, and carries out what it wants.
fn poll(replica: &mut Replica, store: &mut MemoryStore) {
    let now = Instant::now();
    let snapshot = read_head(store);
    let unchanged = snapshot.unchanged();
    let head = snapshot.row.and_then(|it| Head::from_bytes(&it.value));
    for action in replica.handle(now, ReplicaEvent::StoreHead { head, unchanged }) {
        match action {
            ReplicaAction::Fetch(FetchFrom::Store(digest)) => {
                let body = store.object(&body_key(&digest)).expect("the document is stored");
                let document = ConfigDocument::from_bytes(body).expect("a valid document");
                replica.handle(now, ReplicaEvent::Document(Arc::new(document)));
            }
            ReplicaAction::Restore { document, condition } => {
                let value = Head::of(&document).to_bytes();
                let write = StoreCommand::Write { key: HEAD_KEY.into(), condition, value };
                store.execute(&write, Delivery::Answered);
            }
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn plan_on_a_lost_base_is_refused_until_the_base_is_back() {
    let mut store = MemoryStore::default();
    let documents = confirm_chain(&mut store, &ConfigDocument::initial(), &["a", "b"]);
    let mut replica = Replica::new(Instant::now());
    poll(&mut replica, &mut store);
    assert_eq!(replica.version(), 2);
    store.restore(1);
    let plan = plan("c", &documents[1]);
    let (outcome, _) = confirm(&mut store, &plan);
    assert_eq!(outcome, ConfirmOutcome::BaseMissing { current_version: 1 });
    poll(&mut replica, &mut store);
    let (outcome, _) = confirm(&mut store, &plan);
    assert_eq!(outcome, ConfirmOutcome::Applied { version: 3 });
}

#[test]
fn configuration_survives_restorations_in_a_row() {
    let mut store = MemoryStore::default();
    confirm_chain(&mut store, &ConfigDocument::initial(), &["a", "b", "c"]);
    let mut replicas = [Replica::new(Instant::now()), Replica::new(Instant::now())];
    replicas.iter_mut().for_each(|it| poll(it, &mut store));
    for _ in 0..3 {
        store.restore(0);
        replicas.iter_mut().for_each(|it| poll(it, &mut store));
        let mut started = Replica::new(Instant::now());
        poll(&mut started, &mut store);
        assert_eq!([replicas[0].version(), replicas[1].version(), started.version()], [3; 3]);
    }
}

#[test]
fn document_confirmed_after_the_restoration_replaces_the_lost_one() {
    let mut store = MemoryStore::default();
    let documents = confirm_chain(&mut store, &ConfigDocument::initial(), &["a", "lost"]);
    let mut replica = Replica::new(Instant::now());
    poll(&mut replica, &mut store);
    store.restore(1);
    // This operator's VM has not heard of the lost version.
    let confirmed = confirm_chain(&mut store, &documents[0], &["b"]).remove(0);
    poll(&mut replica, &mut store);
    assert_eq!(replica.document().map(|it| it.plan.clone()), Some(confirmed.plan));
}
