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

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::peer::Heartbeat;
use crate::peer::PeerAddress;

/// Time without a heartbeat after which a neighbour is declared dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(3);

/// Time after which members that died or left are removed from the list.
const REMOVE_AFTER: Duration = Duration::from_secs(60);

/// Number of heartbeats in which a membership update is passed on.
const UPDATE_TRANSMISSIONS: u32 = 6;

/// Maximum number of recent membership updates in one heartbeat.
const MAX_RECENT_UPDATES: usize = 8;

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
    transmissions_left: u32,
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
        Self { local, incarnation, stopping: false, members: BTreeMap::new() }
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

    /// Returns the number of known members in any state, excluding this VM.
    pub fn known_count(&self) -> usize {
        self.members.len()
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

    /// Returns the address of a member, or `None` if it is not known. This VM itself is not listed.
    pub fn address_of(&self, vm: &str) -> Option<PeerAddress> {
        self.members.get(vm).map(|it| it.address.clone())
    }

    /// Adds a VM from the settings or from the platform's list, which do not include its health.
    pub fn add_seed(&mut self, now: Instant, address: PeerAddress) {
        if address.vm == self.local.vm || self.members.contains_key(&address.vm) {
            return;
        }
        self.members.insert(address.vm.clone(), Member::new(now, address, 0));
    }

    /// Processes a heartbeat and the membership updates in it.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> SenderRelation {
        let from = &heartbeat.from;
        let is_new = !self.members.contains_key(&from.vm);
        self.on_direct_message(now, from, heartbeat.incarnation);
        for update in &heartbeat.members {
            self.on_update(now, update);
        }
        let is_neighbour = self.neighbours().iter().any(|it| it.vm == from.vm);
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

    /// Merges an update about a member, which may come from any VM.
    pub fn on_update(&mut self, now: Instant, update: &MemberUpdate) {
        if update.member.vm == self.local.vm {
            self.refute(update);
            return;
        }
        let Some(member) = self.members.get_mut(&update.member.vm) else {
            self.add(now, update);
            return;
        };
        if (update.incarnation, update.state) > (member.incarnation, member.state) {
            let address = update.member.clone();
            *member = Member::new(now, address, update.incarnation);
            member.state = update.state;
        }
    }

    /// Declares silent neighbours dead, and removes members that died or left long ago.
    ///
    /// Members that are not neighbours send no heartbeats to this VM, so their silence is ignored.
    pub fn on_tick(&mut self, now: Instant) {
        let neighbours = self.neighbours();
        for member in self.members.values_mut() {
            let is_neighbour = neighbours.iter().any(|it| it.vm == member.address.vm);
            if !is_neighbour {
                member.last_heard_at = now;
            } else if now.saturating_duration_since(member.last_heard_at) >= DEAD_AFTER {
                member.state = MemberState::Dead;
                member.changed_at = now;
                member.transmissions_left = UPDATE_TRANSMISSIONS;
            }
        }
        self.members.retain(|_, member| {
            let age = now.saturating_duration_since(member.changed_at);
            member.state == MemberState::Alive || age < REMOVE_AFTER
        });
    }

    /// Returns a dead member to send a heartbeat to, in case it has recovered.
    ///
    /// `round` selects the member in round-robin order. Returns `None` if no member is dead.
    pub fn probe_target(&self, round: usize) -> Option<PeerAddress> {
        let dead = self.members.values().filter(|it| it.state == MemberState::Dead);
        let dead: Vec<&Member> = dead.collect();
        let index = round.checked_rem(dead.len())?;
        Some(dead[index].address.clone())
    }

    /// Marks this VM as stopping, which is announced in its next heartbeats.
    pub const fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns the members that this VM exchanges heartbeats with.
    pub fn neighbours(&self) -> Vec<PeerAddress> {
        let ring = self.ring();
        let len = ring.len();
        let mut chosen = Vec::new();
        let mut distance = 1;
        while distance < len {
            chosen.push(ring[distance].clone());
            distance *= 2;
        }
        chosen
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
        let recent = self.members.values_mut().filter(|it| it.transmissions_left > 0);
        for member in recent.take(MAX_RECENT_UPDATES) {
            member.transmissions_left -= 1;
            updates.push(member.update());
        }
        updates
    }

    /// Returns the living members in ring order, starting with this VM.
    fn ring(&self) -> Vec<PeerAddress> {
        let after = self.alive_members().filter(|it| it.address.vm > self.local.vm);
        let before = self.alive_members().filter(|it| it.address.vm < self.local.vm);
        let others = after.chain(before).map(|it| it.address.clone());
        std::iter::once(self.local.clone()).chain(others).collect()
    }

    fn alive_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|it| it.state == MemberState::Alive)
    }

    fn add(&mut self, now: Instant, update: &MemberUpdate) {
        let mut member = Member::new(now, update.member.clone(), update.incarnation);
        member.state = update.state;
        self.members.insert(update.member.vm.clone(), member);
    }

    /// Raises the incarnation if the update claims that this VM died or left, or if it is about an
    /// earlier start with a higher incarnation.
    const fn refute(&mut self, update: &MemberUpdate) {
        let is_alive = matches!(update.state, MemberState::Alive);
        let is_wrong = !is_alive && update.incarnation == self.incarnation && !self.stopping;
        if is_wrong || update.incarnation > self.incarnation {
            self.incarnation = update.incarnation + 1;
        }
    }
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
            transmissions_left: UPDATE_TRANSMISSIONS,
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
