//! Which VMs are alive, and which of them talk to each other.
//!
//! Every VM keeps a list of members. It exchanges heartbeats with a few neighbours only, and news
//! of members travels with them. A member's state is ordered by incarnation and then by
//! [`MemberState`], so that merging news is idempotent and its order does not matter (SWIM: Das,
//! Gupta and Motivala, 2002). A member that reads of its own death raises its incarnation.
//!
//! Neighbours are chosen on the sorted ring of living members at distances 1, 2, 4 and so on
//! (Chord: Stoica et al., 2001), so that 340 members have 9 each and news reaches all of them in
//! at most 9 steps.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::peer::Heartbeat;
use crate::peer::PeerAddress;

/// Silence of a neighbour after which it is declared dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(3);

/// Time for which the dead and the departed are remembered.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Times that a piece of news is passed on to each neighbour.
const NEWS_REPEATS: u32 = 6;

/// Pieces of news in one heartbeat, at most.
const MAX_NEWS: usize = 8;

/// State of a member; a later state overrules an earlier one of the same incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It takes part.
    Alive,
    /// It has not been heard.
    Dead,
    /// It said that it stops.
    Left,
}

/// News of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Member.
    pub member: PeerAddress,
    /// Incarnation that the state is about.
    pub incarnation: u64,
    /// State.
    pub state: MemberState,
}

/// What a VM knows of all VMs.
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
/// membership.on_seed(now, address("vm-2", 7002));
/// assert_eq!(membership.neighbours().len(), 1);
/// ```
#[derive(Debug)]
pub struct Membership {
    own: PeerAddress,
    incarnation: u64,
    stopping: bool,
    members: BTreeMap<VmId, Member>,
}

#[derive(Debug)]
struct Member {
    address: PeerAddress,
    incarnation: u64,
    state: MemberState,
    heard_at: Instant,
    changed_at: Instant,
    news_left: u32,
}

/// What a heartbeat tells of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// Whether it was not known before.
    pub is_new: bool,
    /// Whether heartbeats go to it anyway.
    pub is_neighbour: bool,
}

impl Membership {
    /// Creates a membership of one; `incarnation` must be higher than at any earlier start.
    pub const fn new(own: PeerAddress, incarnation: u64) -> Self {
        Self { own, incarnation, stopping: false, members: BTreeMap::new() }
    }

    /// Name and address of this VM.
    pub const fn own(&self) -> &PeerAddress {
        &self.own
    }

    /// Incarnation of this VM.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Members that are alive, this VM included.
    pub fn alive(&self) -> usize {
        1 + self.living().count()
    }

    /// Names of the members that are alive, this VM included.
    pub fn alive_names(&self) -> Vec<VmId> {
        let others = self.living().map(|it| it.address.vm.clone());
        std::iter::once(self.own.vm.clone()).chain(others).collect()
    }

    /// Names of the members that are alive in a failure domain, or of all that are alive when there
    /// are none in it.
    pub fn alive_names_near(&self, failure_domain: &str) -> Vec<VmId> {
        let others = self.living().map(|it| &it.address);
        let all = std::iter::once(&self.own).chain(others);
        let near = all.filter(|it| &*it.failure_domain == failure_domain);
        let names: Vec<VmId> = near.map(|it| it.vm.clone()).collect();
        if names.is_empty() { self.alive_names() } else { names }
    }

    /// Members that are remembered, whatever their state, without this VM.
    pub fn known(&self) -> usize {
        self.members.len()
    }

    /// All members but this VM, with their states.
    pub fn list(&self) -> Vec<MemberUpdate> {
        self.members.values().map(Member::update).collect()
    }

    /// Names of the members that are thought dead.
    pub fn dead_names(&self) -> Vec<VmId> {
        let dead = self.members.values().filter(|it| it.state == MemberState::Dead);
        dead.map(|it| it.address.vm.clone()).collect()
    }

    /// Address of a member; none when it is not known.
    pub fn address_of(&self, vm: &str) -> Option<PeerAddress> {
        self.members.get(vm).map(|it| it.address.clone())
    }

    /// Learns of a VM from settings or the platform's list, which say nothing of its health.
    pub fn on_seed(&mut self, now: Instant, address: PeerAddress) {
        if address.vm == self.own.vm || self.members.contains_key(&address.vm) {
            return;
        }
        self.members.insert(address.vm.clone(), Member::new(now, address, 0));
    }

    /// Takes a heartbeat with the news in it.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> Heard {
        let from = &heartbeat.from;
        let is_new = !self.members.contains_key(&from.vm);
        self.on_heard(now, from, heartbeat.incarnation);
        for update in &heartbeat.members {
            self.on_update(now, update);
        }
        let is_neighbour = self.neighbours().iter().any(|it| it.vm == from.vm);
        Heard { is_new, is_neighbour }
    }

    /// Takes a sign of life from a neighbour itself.
    pub fn on_heard(&mut self, now: Instant, address: &PeerAddress, incarnation: u64) {
        if address.vm == self.own.vm {
            return;
        }
        let update =
            MemberUpdate { member: address.clone(), incarnation, state: MemberState::Alive };
        self.on_update(now, &update);
        if let Some(member) = self.members.get_mut(&address.vm)
            && member.incarnation == incarnation
        {
            member.heard_at = now;
        }
    }

    /// Takes news of a member from somebody else.
    pub fn on_update(&mut self, now: Instant, update: &MemberUpdate) {
        if update.member.vm == self.own.vm {
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

    /// Declares silent neighbours dead and forgets those who are long gone.
    ///
    /// The silence of members that are no neighbours says nothing, so it is not counted.
    pub fn on_tick(&mut self, now: Instant) {
        let neighbours = self.neighbours();
        for member in self.members.values_mut() {
            let is_neighbour = neighbours.iter().any(|it| it.vm == member.address.vm);
            if !is_neighbour {
                member.heard_at = now;
            } else if now.saturating_duration_since(member.heard_at) >= DEAD_AFTER {
                member.state = MemberState::Dead;
                member.changed_at = now;
                member.news_left = NEWS_REPEATS;
            }
        }
        self.members.retain(|_, member| {
            let age = now.saturating_duration_since(member.changed_at);
            member.state == MemberState::Alive || age < FORGET_AFTER
        });
    }

    /// A dead member to send a heartbeat to, in case it is back; `turn` selects it.
    pub fn probe_target(&self, turn: usize) -> Option<PeerAddress> {
        let dead = self.members.values().filter(|it| it.state == MemberState::Dead);
        let dead: Vec<&Member> = dead.collect();
        let index = turn.checked_rem(dead.len())?;
        Some(dead[index].address.clone())
    }

    /// Marks this VM as stopping, which its next heartbeats tell.
    pub const fn stop(&mut self) {
        self.stopping = true;
    }

    /// Members that this VM exchanges heartbeats with.
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

    /// News for the next heartbeat to `receiver`.
    ///
    /// It tells a receiver that is thought dead, so that the receiver can refute it.
    pub fn news_for(&mut self, receiver: &str) -> Vec<MemberUpdate> {
        let state = if self.stopping { MemberState::Left } else { MemberState::Alive };
        let own = MemberUpdate { member: self.own.clone(), incarnation: self.incarnation, state };
        let mut news = vec![own];
        let doubted = self.members.get(receiver).filter(|it| it.state == MemberState::Dead);
        news.extend(doubted.map(Member::update));
        let fresh = self.members.values_mut().filter(|it| it.news_left > 0);
        for member in fresh.take(MAX_NEWS) {
            member.news_left -= 1;
            news.push(member.update());
        }
        news
    }

    /// Living members in ring order, starting with this VM.
    fn ring(&self) -> Vec<PeerAddress> {
        let after = self.living().filter(|it| it.address.vm > self.own.vm);
        let before = self.living().filter(|it| it.address.vm < self.own.vm);
        let others = after.chain(before).map(|it| it.address.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    fn living(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|it| it.state == MemberState::Alive)
    }

    fn add(&mut self, now: Instant, update: &MemberUpdate) {
        let mut member = Member::new(now, update.member.clone(), update.incarnation);
        member.state = update.state;
        self.members.insert(update.member.vm.clone(), member);
    }

    /// Raises the incarnation when somebody thinks this VM dead.
    const fn refute(&mut self, update: &MemberUpdate) {
        let is_wrong = !matches!(update.state, MemberState::Alive) && !self.stopping;
        if is_wrong && update.incarnation >= self.incarnation {
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
            heard_at: now,
            changed_at: now,
            news_left: NEWS_REPEATS,
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
