//! What the members of a deployment run is shown as they announced it, whoever else is there.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::builds::Announcements;
use cranberryvalve_coordination::builds::BuildExchange;
use cranberryvalve_coordination::builds::CAPABILITIES;
use cranberryvalve_coordination::builds::MemberBuild;
use cranberryvalve_coordination::builds::PROTOCOL_VERSION;
use cranberryvalve_coordination::builds::VmBuild;
use cranberryvalve_coordination::membership::MemberState;
use cranberryvalve_coordination::membership::MemberUpdate;
use cranberryvalve_coordination::membership::Membership;
use cranberryvalve_coordination::peer::PeerAddress;

/// Number of rounds within which 4 VMs tell each other, when each tells one VM a round.
const MAX_ROUNDS: usize = 8;

fn address(vm: usize) -> PeerAddress {
    let address = ([127, 0, 0, 1], 7_000 + vm as u16).into();
    PeerAddress { vm: format!("vm-{vm}").into(), address, failure_domain: "lyttelton".into() }
}

/// The first VM is able to do nothing, and each other one a thing more.
fn capabilities(vm: usize) -> u64 {
    (1 << vm) - 1
}

fn update(vm: usize, incarnation: u64, state: MemberState) -> MemberUpdate {
    MemberUpdate { member: address(vm), incarnation, state }
}

/// VMs that know each other. Each runs a build of another name; the last one announces nothing.
struct Deployment {
    vms: Vec<(Membership, BuildExchange)>,
    now: Instant,
}

impl Deployment {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let vms = (0..count).map(|vm| {
            let mut membership = Membership::new(address(vm), 1);
            let others = (0..count).filter(|it| *it != vm);
            others.for_each(|it| membership.on_update(now, &update(it, 1, MemberState::Alive)));
            (membership, BuildExchange::new(format!("build-{vm}").into(), capabilities(vm)))
        });
        Self { vms: vms.collect(), now }
    }

    fn run_rounds(&mut self) {
        let silent = self.vms.len() - 1;
        for round in 0..MAX_ROUNDS {
            let mut sent: Vec<Announcements> = Vec::new();
            for (membership, exchange) in &mut self.vms[..silent] {
                sent.extend(exchange.on_round(membership, round));
            }
            for it in sent {
                let receiver = usize::from(it.receiver.address.port()) - 7_000;
                if receiver != silent {
                    let (membership, exchange) = &mut self.vms[receiver];
                    exchange.on_builds(membership, it.builds);
                }
            }
            self.now += Duration::from_secs(1);
        }
    }

    fn tell(&mut self, update: &MemberUpdate) {
        let now = self.now;
        self.vms.iter_mut().for_each(|(membership, _)| membership.on_update(now, update));
    }

    fn shown_at(&self, vm: usize) -> Vec<MemberBuild> {
        let (membership, exchange) = &self.vms[vm];
        exchange.members(membership)
    }
}

fn announced(vm: usize) -> MemberBuild {
    MemberBuild {
        vm: address(vm).vm,
        build: Some(format!("build-{vm}").into()),
        protocol_version: PROTOCOL_VERSION,
        capabilities: CAPABILITIES[..vm].to_vec(),
    }
}

fn silent(vm: usize) -> MemberBuild {
    let vm = address(vm).vm;
    MemberBuild { vm, build: None, protocol_version: 0, capabilities: Vec::new() }
}

#[test]
fn no_build_is_shown_that_a_living_vm_did_not_announce() {
    let mut deployment = Deployment::new(4);
    assert_eq!(deployment.shown_at(0), [announced(0), silent(1), silent(2), silent(3)]);
    deployment.run_rounds();
    for (vm, others) in [(0, [1, 2]), (1, [0, 2]), (2, [0, 1])] {
        let [first, second] = others.map(announced);
        assert_eq!(deployment.shown_at(vm), [announced(vm), first, second, silent(3)], "vm-{vm}");
    }
    // One is gone, and another one has restarted, maybe with another build.
    deployment.tell(&update(1, 1, MemberState::Dead));
    deployment.tell(&update(2, 2, MemberState::Alive));
    assert_eq!(deployment.shown_at(0), [announced(0), silent(2), silent(3)]);
    let (membership, exchange) = &deployment.vms[0];
    assert_eq!(exchange.count_by_protocol(membership), [(0, 2), (PROTOCOL_VERSION, 1)].into());
}

#[test]
fn a_vm_that_announces_nothing_is_named_once() {
    let mut deployment = Deployment::new(4);
    let silent = address(3).vm;
    let named = |deployment: &mut Deployment| {
        let mut named = Vec::new();
        for _ in 0..10 {
            deployment.run_rounds();
            let (membership, exchange) = &mut deployment.vms[0];
            named.extend((0..MAX_ROUNDS).flat_map(|_| exchange.take_silent(membership)));
        }
        named
    };
    assert_eq!(named(&mut deployment), std::slice::from_ref(&silent));
    assert_eq!(named(&mut deployment), [], "only once");
    // Another incarnation had no time to announce its build yet, and then does not.
    deployment.tell(&update(3, 2, MemberState::Alive));
    let (membership, exchange) = &mut deployment.vms[0];
    assert_eq!(exchange.take_silent(membership), []);
    assert_eq!(named(&mut deployment), [silent]);
    deployment.tell(&update(3, 2, MemberState::Dead));
    assert_eq!(named(&mut deployment), []);
}

#[test]
fn a_vm_that_joins_is_told_of_all_at_once() {
    let mut deployment = Deployment::new(4);
    deployment.run_rounds();
    let (membership, exchange) = &mut deployment.vms[0];
    let mut names: Vec<VmBuild> = exchange.on_join(membership);
    names.sort_by(|first, second| first.vm.cmp(&second.vm));
    let expected = [0, 1, 2].map(|vm| VmBuild {
        capabilities: capabilities(vm),
        ..VmBuild::of_this_build(address(vm).vm, 1, format!("build-{vm}").into())
    });
    assert_eq!(names, expected);
}
