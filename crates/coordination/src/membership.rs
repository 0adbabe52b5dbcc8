//! Which VMs are alive, and which of them exchange heartbeats.
//!
//! Every VM keeps a list of members. It exchanges heartbeats with a few neighbours only, and
//! membership updates are piggybacked on them. Updates are ordered by incarnation and then by
//! [`MemberState`], so that merging them is idempotent and commutative (SWIM: Das, Gupta and
//! Motivala, 2002). A member that learns that others consider it dead raises its incarnation.
//!
//! Neighbours are chosen on the sorted ring of living members at distances 1, 2, 4 and so on
//! (Chord: Stoica et al., 2001). With 340 members, each has 9 neighbours and an update reaches all
//! members in at most 9 hops.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::peer::Heartbeat;
use crate::peer::PeerAddress;

/// Time without a heartbeat after which a neighbour is declared dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(3);

/// Time between two ticks that is not taken for a pause of this VM: the interval of heartbeats and a
/// half.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time after which members that died or left are removed from the list.
pub const REMOVE_AFTER: Duration = Duration::from_secs(60);

/// Number of heartbeats to each receiver that carry the update of a member that died or left: the
/// members are used until it arrives, and heartbeats may be lost.
const LOSS_TRANSMISSIONS: u32 = 3;

/// Maximum number of updates of members that died or left in one heartbeat: those of a failure
/// domain of 340 VMs in 8.
const MAX_LOSS_UPDATES: usize = 48;

/// Maximum number of updates of living members in one heartbeat, besides the repeated ones.
const MAX_ALIVE_UPDATES: usize = 8;

/// Number of living members that each heartbeat repeats in turn. Heartbeats may be lost, and two
/// members that are no neighbours of each other do not send any to each other.
const REPEATED_UPDATES: usize = 2;

/// Highest incarnation that a member may have, far above any start time in Unix milliseconds. Above
/// it, a member could not refute what is said of it.
const MAX_INCARNATION: u64 = u64::MAX / 2;

/// State of a member.
///
/// Within one incarnation, a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member is running.
    Alive,
    /// A neighbour of the member has not received its heartbeats for [`DEAD_AFTER`].
    Dead,
    /// The member announced that it is stopping.
    Left,
}

/// State of one member, as exchanged between VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Name and address of the member.
    pub member: PeerAddress,
    /// Incarnation of the member that the state belongs to.
    pub incarnation: u64,
    /// State of the member in this incarnation.
    pub state: MemberState,
}

/// One VM's view of all VMs.
///
/// ```
/// use std::time::Instant;
///
/// use cranberryvalve_coordination::membership::Membership;
/// use cranberryvalve_coordination::peer::PeerAddress;
///
/// let address = |name: &str, port: u16| PeerAddress {
///     vm: name.into(),
///     address: ([127, 0, 0, 1], port).into(),
///     failure_domain: "lyttelton".into(),
/// };
/// let now = Instant::now();
/// let mut membership = Membership::new(address("vm-1", 7001), 1);
/// membership.add_seed(now, address("vm-2", 7002));
/// assert_eq!(membership.neighbours().len(), 1);
/// ```
#[derive(Debug)]
pub struct Membership {
    local: PeerAddress,
    incarnation: u64,
    stopping: bool,
    members: BTreeMap<VmId, Member>,
    ticked_at: Option<Instant>,
    /// Updates that each receiver of heartbeats still has to be told.
    outboxes: BTreeMap<VmId, Outbox>,
}

#[derive(Debug)]
struct Member {
    address: PeerAddress,
    incarnation: u64,
    state: MemberState,
    last_heard_at: Instant,
    /// Whether the member itself sent a message with a lower incarnation, as after a restart with a
    /// clock that was set back.
    is_outdated: bool,
    changed_at: Instant,
}

/// Updates that one receiver of heartbeats still has to be told, by the name of the member.
#[derive(Debug, Default)]
struct Outbox {
    /// Members that died or left, with the number of heartbeats that will still carry the update.
    losses: BTreeMap<VmId, u32>,
    alive: BTreeSet<VmId>,
    /// Member that was repeated last.
    repeated: Option<VmId>,
}

impl Outbox {
    fn push(&mut self, vm: &VmId, state: MemberState) {
        self.remove(vm);
        match state {
            MemberState::Alive => {
                self.alive.insert(vm.clone());
            }
            MemberState::Dead | MemberState::Left => {
                self.losses.insert(vm.clone(), LOSS_TRANSMISSIONS);
            }
        }
    }

    fn remove(&mut self, vm: &VmId) {
        self.losses.remove(vm);
        self.alive.remove(vm);
    }

    /// Returns the members whose updates the next heartbeat carries, losses first.
    fn take_due(&mut self) -> Vec<VmId> {
        let mut due = Vec::new();
        for (vm, transmissions_left) in self.losses.iter_mut().take(MAX_LOSS_UPDATES) {
            *transmissions_left -= 1;
            due.push(vm.clone());
        }
        self.losses.retain(|_, transmissions_left| *transmissions_left > 0);
        let alive = std::iter::from_fn(|| self.alive.pop_first());
        due.extend(alive.take(MAX_ALIVE_UPDATES));
        due
    }
}

/// Relation of this VM to the sender of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SenderRelation {
    /// Whether the sender was not a known member before.
    pub is_new: bool,
    /// Whether the sender is a neighbour, so that it receives heartbeats anyway.
    pub is_neighbour: bool,
}

impl Membership {
    /// Creates a membership that contains only this VM.
    ///
    /// `incarnation` must be higher than at any earlier start of the VM.
    pub const fn new(local: PeerAddress, incarnation: u64) -> Self {
        Self {
            local,
            incarnation,
            stopping: false,
            members: BTreeMap::new(),
            ticked_at: None,
            outboxes: BTreeMap::new(),
        }
    }

    /// Returns the name and address of this VM.
    pub const fn local(&self) -> &PeerAddress {
        &self.local
    }

    /// Returns the current incarnation of this VM.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the number of living members, including this VM.
    pub fn alive_count(&self) -> usize {
        1 + self.alive_members().count()
    }

    /// Returns the names of the living members, including this VM.
    pub fn alive_names(&self) -> Vec<VmId> {
        let others = self.alive_members().map(|it| it.address.vm.clone());
        std::iter::once(self.local.vm.clone()).chain(others).collect()
    }

    /// Returns the names of the living members in `failure_domain`, or of all living members if
    /// there are none in it. This VM counts as a living member.
    pub fn alive_names_near(&self, failure_domain: &str) -> Vec<VmId> {
        let others = self.alive_members().map(|it| &it.address);
        let all = std::iter::once(&self.local).chain(others);
        let near = all.filter(|it| &*it.failure_domain == failure_domain);
        let names: Vec<VmId> = near.map(|it| it.vm.clone()).collect();
        if names.is_empty() { self.alive_names() } else { names }
    }

    /// Returns the addresses of the living members, including this VM unless it is stopping: the
    /// others no longer count it then, and all VMs have to choose the same coordinators.
    pub fn alive_addresses(&self) -> Vec<PeerAddress> {
        let own = (!self.stopping).then(|| self.local.clone());
        own.into_iter().chain(self.alive_members().map(|it| it.address.clone())).collect()
    }

    /// Returns the number of known members in any state, including this VM.
    pub fn known_count(&self) -> usize {
        1 + self.members.len()
    }

    /// Returns the states of all members, excluding this VM.
    pub fn list(&self) -> Vec<MemberUpdate> {
        self.members.values().map(Member::update).collect()
    }

    /// Returns the names of the members that are considered dead.
    pub fn dead_names(&self) -> Vec<VmId> {
        let dead = self.members.values().filter(|it| it.state == MemberState::Dead);
        dead.map(|it| it.address.vm.clone()).collect()
    }

    /// Returns `true` if at least as many members are considered dead as are alive: they may rather be
    /// cut off, and act on what this VM does not learn.
    pub fn is_minority(&self) -> bool {
        let dead = self.members.values().filter(|it| it.state == MemberState::Dead);
        dead.count() >= self.alive_count()
    }

    /// Returns the address of a member, or `None` if it is not known. This VM itself is not listed.
    pub fn address_of(&self, vm: &str) -> Option<PeerAddress> {
        self.members.get(vm).map(|it| it.address.clone())
    }

    /// Returns whether a VM is a member in any state. This VM itself is not listed.
    pub fn is_known(&self, vm: &str) -> bool {
        self.members.contains_key(vm)
    }

    /// Adds a VM from the settings or from the platform's list, which do not include its health.
    pub fn add_seed(&mut self, now: Instant, address: PeerAddress) {
        if address.vm == self.local.vm || self.members.contains_key(&address.vm) {
            return;
        }
        let vm = address.vm.clone();
        self.members.insert(vm.clone(), Member::new(now, address, 0));
        self.pass_on(&vm, MemberState::Alive);
    }

    /// Processes a heartbeat and the membership updates in it.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> SenderRelation {
        let from = &heartbeat.from;
        let is_new = !self.members.contains_key(&from.vm);
        self.on_direct_message(now, from, heartbeat.incarnation);
        for update in &heartbeat.members {
            self.on_update(now, update);
            self.record_told(&from.vm, update);
        }
        let ring = self.ring();
        let is_neighbour = neighbour_indexes(ring.len()).any(|it| ring[it].vm == from.vm);
        SenderRelation { is_new, is_neighbour }
    }

    /// Records that a message arrived directly from a member.
    pub fn on_direct_message(&mut self, now: Instant, address: &PeerAddress, incarnation: u64) {
        if address.vm == self.local.vm {
            return;
        }
        let update =
            MemberUpdate { member: address.clone(), incarnation, state: MemberState::Alive };
        self.on_update(now, &update);
        if let Some(member) = self.members.get_mut(&address.vm) {
            if member.incarnation == incarnation {
                member.last_heard_at = now;
            }
            member.is_outdated = incarnation < member.incarnation;
        }
    }

    /// Merges an update about a member, which may come from any VM; drops one whose incarnation is
    /// no time.
    pub fn on_update(&mut self, now: Instant, update: &MemberUpdate) {
        if update.incarnation > MAX_INCARNATION {
            return;
        }
        if update.member.vm == self.local.vm {
            self.refute(update);
            return;
        }
        let Some(member) = self.members.get_mut(&update.member.vm) else {
            self.add(now, update);
            return;
        };
        if update.incarnation > member.incarnation {
            // A process that started anew knows nothing of what its predecessor was told.
            self.outboxes.remove(&update.member.vm);
        }
        if (update.incarnation, update.state) > (member.incarnation, member.state) {
            let address = update.member.clone();
            *member = Member::new(now, address, update.incarnation);
            member.state = update.state;
            self.pass_on(&update.member.vm, update.state);
        }
    }

    /// Declares silent neighbours dead, and removes members that died or left long ago.
    ///
    /// Members that are not neighbours send no heartbeats to this VM, so their silence is ignored, as is
    /// the time for which this VM itself stood still.
    pub fn on_tick(&mut self, now: Instant) {
        let pause = self.record_tick(now);
        for member in self.members.values_mut() {
            member.last_heard_at = (member.last_heard_at + pause).min(now);
        }
        let neighbours = self.neighbours();
        let mut died = Vec::new();
        for (vm, member) in &mut self.members {
            let is_neighbour = neighbours.iter().any(|it| it.vm == *vm);
            if !is_neighbour {
                member.last_heard_at = now;
            } else if now.saturating_duration_since(member.last_heard_at) >= DEAD_AFTER {
                member.state = MemberState::Dead;
                member.changed_at = now;
                died.push(vm.clone());
            }
        }
        died.iter().for_each(|it| self.pass_on(it, MemberState::Dead));
        self.members.retain(|_, member| {
            let age = now.saturating_duration_since(member.changed_at);
            member.state == MemberState::Alive || age < REMOVE_AFTER
        });
        self.outboxes.retain(|receiver, _| self.members.contains_key(receiver));
    }

    /// Records a tick. Returns for how long this VM stood still before it.
    fn record_tick(&mut self, now: Instant) -> Duration {
        let ticked_at = self.ticked_at.replace(now).unwrap_or(now);
        now.saturating_duration_since(ticked_at).saturating_sub(MAX_TICK_INTERVAL)
    }

    /// Returns a member that died or left to send a heartbeat to, in case it has recovered or
    /// started again. Such a VM may know no other one, since its seeds may be gone.
    ///
    /// `round` selects the member in round-robin order. Returns `None` if all members are alive.
    pub fn probe_target(&self, round: usize) -> Option<PeerAddress> {
        let gone = self.members.values().filter(|it| it.state != MemberState::Alive);
        let gone: Vec<&Member> = gone.collect();
        let index = round.checked_rem(gone.len())?;
        Some(gone[index].address.clone())
    }

    /// Marks this VM as stopping, which is announced in its next heartbeats.
    pub const fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns the members that this VM exchanges heartbeats with.
    pub fn neighbours(&self) -> Vec<PeerAddress> {
        let ring = self.ring();
        neighbour_indexes(ring.len()).map(|it| ring[it].clone()).collect()
    }

    /// Returns the membership updates for the next heartbeat to `receiver`.
    ///
    /// If `receiver` is not considered alive under its present incarnation, they include what is
    /// known of it, so that it can refute that.
    pub fn updates_for(&mut self, receiver: &str) -> Vec<MemberUpdate> {
        let state = if self.stopping { MemberState::Left } else { MemberState::Alive };
        let own = MemberUpdate { member: self.local.clone(), incarnation: self.incarnation, state };
        let mut updates = vec![own];
        let is_wrong = |it: &&Member| it.state != MemberState::Alive || it.is_outdated;
        updates.extend(self.members.get(receiver).filter(is_wrong).map(Member::update));
        // What this VM learned before the first heartbeat to a receiver may be unknown there.
        let outbox = self.outboxes.entry(receiver.into()).or_insert_with(|| {
            let mut outbox = Outbox::default();
            self.members.iter().for_each(|(vm, it)| outbox.push(vm, it.state));
            outbox
        });
        let mut due = outbox.take_due();
        let is_repeated = |(vm, it): &(&VmId, &Member)| {
            it.state == MemberState::Alive && &***vm != receiver && !due.contains(vm)
        };
        let start = outbox.repeated.as_ref().unwrap_or(&self.local.vm);
        let repeated = ring_after(&self.members, start).filter(is_repeated);
        let repeated: Vec<VmId> =
            repeated.take(REPEATED_UPDATES).map(|(vm, _)| vm.clone()).collect();
        outbox.repeated = repeated.last().cloned().or_else(|| outbox.repeated.take());
        due.extend(repeated);
        updates.extend(due.iter().filter_map(|it| self.members.get(it)).map(Member::update));
        updates
    }

    /// Schedules the state of a member for all receivers of heartbeats.
    fn pass_on(&mut self, vm: &VmId, state: MemberState) {
        self.outboxes.values_mut().for_each(|it| it.push(vm, state));
    }

    /// Records that `sender` knows what it has sent. If this VM knows of a later state, the sender
    /// is told of that.
    fn record_told(&mut self, sender: &VmId, update: &MemberUpdate) {
        let vm = &update.member.vm;
        let Some(member) = self.members.get(vm) else { return };
        let Some(outbox) = self.outboxes.get_mut(sender) else { return };
        match (member.incarnation, member.state).cmp(&(update.incarnation, update.state)) {
            Ordering::Less => {}
            Ordering::Equal => outbox.remove(vm),
            Ordering::Greater => outbox.push(vm, member.state),
        }
    }

    /// Returns the living members in ring order, starting with the one after this VM.
    fn ring(&self) -> Vec<&PeerAddress> {
        let members = ring_after(&self.members, &self.local.vm);
        let alive = members.filter(|(_, it)| it.state == MemberState::Alive);
        alive.map(|(_, it)| &it.address).collect()
    }

    fn alive_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|it| it.state == MemberState::Alive)
    }

    fn add(&mut self, now: Instant, update: &MemberUpdate) {
        let mut member = Member::new(now, update.member.clone(), update.incarnation);
        member.state = update.state;
        self.members.insert(update.member.vm.clone(), member);
        self.pass_on(&update.member.vm, update.state);
    }

    /// Raises the incarnation if the update claims that this VM died or left, or if it is about an
    /// earlier start with a higher incarnation.
    const fn refute(&mut self, update: &MemberUpdate) {
        let is_alive = matches!(update.state, MemberState::Alive);
        let is_wrong = !is_alive && update.incarnation == self.incarnation && !self.stopping;
        if is_wrong || update.incarnation > self.incarnation {
            self.incarnation = update.incarnation.saturating_add(1);
        }
    }
}

/// Returns the members in ring order, starting with the one after `vm`; `vm` itself comes last.
fn ring_after<'a>(
    members: &'a BTreeMap<VmId, Member>,
    vm: &str,
) -> impl Iterator<Item = (&'a VmId, &'a Member)> {
    let after = members.range::<str, _>((Bound::Excluded(vm), Bound::Unbounded));
    after.chain(members.range::<str, _>((Bound::Unbounded, Bound::Included(vm))))
}

/// Returns the indexes of the neighbours among the other VMs of a ring: those at distances 1, 2, 4
/// and so on.
fn neighbour_indexes(other_vms: usize) -> impl Iterator<Item = usize> {
    std::iter::successors(Some(1), |it| Some(it * 2))
        .take_while(move |it| *it <= other_vms)
        .map(|it| it - 1)
}

impl Member {
    const fn new(now: Instant, address: PeerAddress, incarnation: u64) -> Self {
        Self {
            address,
            incarnation,
            state: MemberState::Alive,
            last_heard_at: now,
            is_outdated: false,
            changed_at: now,
        }
    }

    fn update(&self) -> MemberUpdate {
        MemberUpdate {
            member: self.address.clone(),
            incarnation: self.incarnation,
            state: self.state,
        }
    }
}
