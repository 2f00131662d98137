//! Fuzzes failure detectors against the members that the model knows to run.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use medlarpoint_membership::{Action, Detector, Options};
use medlarpoint_model::{DataCentre, Name, Region, Vm};
use medlarpoint_wire::{Body, BootId, Incarnation, Record, Status};
use proptest::prelude::*;
use proptest_state_machine::StateMachineTest;

use super::reference::{Stateless, Step};

/// Number of members in the model, in three data centres.
const NODES: usize = 7;
/// Interval between ticks of the detectors.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Limit on the time until all members agree once the faults have ended.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(60);
/// Limit on the number of datagrams in flight.
const MAX_DATAGRAMS: usize = 64;

/// A mutation of the model, to show that the fuzzer detects it.
pub trait MemberMutation: std::fmt::Debug + Clone + 'static {
    /// Drops every table synchronization.
    const NEVER_SYNC: bool = false;
    /// Lets a restarted member reuse its old incarnation.
    const REUSE_INCARNATION: bool = false;
}

impl MemberMutation for () {}

/// State machine test of failure detection; `P` is the mutation.
#[derive(Debug)]
pub struct Members<P>(PhantomData<P>);

/// A step of the fuzzer.
#[derive(Clone, Debug)]
pub enum Transition {
    Tick {
        times: u8,
    },
    Deliver {
        which: usize,
        duplicate: bool,
    },
    Lose {
        which: usize,
    },
    LoseAll,
    Kill {
        node: usize,
    },
    Restart {
        node: usize,
    },
    /// A restart that ends before another member notices it.
    QuickRestart {
        node: usize,
    },
    Suspend {
        node: usize,
    },
    Resume {
        node: usize,
    },
    /// Isolates a data centre from the others.
    Partition {
        data_centre: u8,
    },
    Heal,
    /// Announces an unchanged record.
    Announce {
        node: usize,
    },
    /// Ends all faults and checks that all members agree.
    Converge,
}

impl Step for Transition {
    fn strategy() -> BoxedStrategy<Self> {
        let node = || 0..NODES;
        let which = || 0..MAX_DATAGRAMS;
        prop_oneof![
            30 => (1..8_u8).prop_map(|times| Transition::Tick { times }),
            30 => (which(), prop::bool::weighted(0.1))
                .prop_map(|(which, duplicate)| Transition::Deliver { which, duplicate }),
            3 => which().prop_map(|which| Transition::Lose { which }),
            1 => Just(Transition::LoseAll),
            1 => node().prop_map(|node| Transition::Kill { node }),
            2 => node().prop_map(|node| Transition::Restart { node }),
            1 => node().prop_map(|node| Transition::QuickRestart { node }),
            1 => node().prop_map(|node| Transition::Suspend { node }),
            2 => node().prop_map(|node| Transition::Resume { node }),
            1 => (0..3_u8).prop_map(|data_centre| Transition::Partition { data_centre }),
            2 => Just(Transition::Heal),
            1 => node().prop_map(|node| Transition::Announce { node }),
            1 => Just(Transition::Converge),
        ]
        .boxed()
    }
}

#[derive(Debug)]
struct Node {
    detector: Option<Detector>,
    suspended: bool,
    boot: u64,
    highest_incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct Datagram {
    from: usize,
    to: usize,
    body: Body,
}

/// The system under test.
#[derive(Debug)]
pub struct World {
    now: Duration,
    nodes: Vec<Node>,
    network: Vec<Datagram>,
    pending_syncs: Vec<(usize, usize, Vec<DataCentre>)>,
    partitioned: Option<u8>,
    boot_count: u64,
}

fn name(prefix: &str, number: usize) -> Name {
    format!("{prefix}{number}").parse().expect("a valid literal")
}

fn vm(node: usize) -> Vm {
    Vm(name("vm", node))
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + node as u16))
}

fn node_at(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1_000
}

fn data_centre(node: usize) -> u8 {
    (node % 3) as u8
}

fn record(node: usize, boot: u64) -> Record {
    Record {
        vm: vm(node),
        data_centre: DataCentre(name("dc", usize::from(data_centre(node)))),
        region: Region(name("region", usize::from(data_centre(node) / 2))),
        peer: address(node),
        inbound: address(node),
        boot: BootId(boot),
        incarnation: Detector::first_incarnation(BootId(boot)),
        status: Status::Alive,
        target: None,
        store_latency: None,
    }
}

impl World {
    fn new<P: MemberMutation>() -> Self {
        let node = |_| Node {
            detector: None,
            suspended: false,
            boot: 0,
            highest_incarnation: Incarnation(0),
        };
        let mut world = Self {
            now: Duration::from_secs(1),
            nodes: (0..NODES).map(node).collect(),
            network: Vec::new(),
            pending_syncs: Vec::new(),
            partitioned: None,
            boot_count: 0,
        };
        for node in 0..NODES {
            world.restart::<P>(node);
        }
        world
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let crosses =
            |isolated: u8| (data_centre(from) == isolated) != (data_centre(to) == isolated);
        self.partitioned.is_none_or(|isolated| !crosses(isolated))
    }

    fn is_running(&self, node: usize) -> bool {
        self.nodes[node].detector.is_some() && !self.nodes[node].suspended
    }

    fn restart<P: MemberMutation>(&mut self, node: usize) {
        if self.nodes[node].detector.is_some() {
            return;
        }
        self.boot_count += 1;
        let boot = self.boot_count * 1_000;
        let mut record = record(node, boot);
        if P::REUSE_INCARNATION {
            record.incarnation = Incarnation(1);
        }
        let detector = Detector::new(Options::default(), record, self.now, self.boot_count);
        self.nodes[node] = Node {
            detector: Some(detector),
            suspended: false,
            boot,
            highest_incarnation: Incarnation(0),
        };
        // A starting daemon learns of its first contacts from the store or the seeds.
        for contact in 0..NODES {
            if contact != node && self.is_reachable(node, contact) {
                self.pending_syncs.push((node, contact, Vec::new()));
            }
        }
    }

    fn execute(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, body } => {
                    if self.network.len() < MAX_DATAGRAMS {
                        self.network.push(Datagram { from, to: node_at(to), body });
                    }
                }
                Action::Sync { to, data_centres } => {
                    self.pending_syncs.push((from, node_at(to), data_centres));
                }
            }
        }
    }

    fn tick<P: MemberMutation>(&mut self) {
        self.now += TICK_INTERVAL;
        for node in 0..NODES {
            if self.is_running(node)
                && let Some(detector) = &mut self.nodes[node].detector
            {
                let actions = detector.tick(self.now);
                self.execute(node, actions);
            }
        }
        self.run_syncs::<P>();
    }

    /// Runs the pending table synchronizations. They use a connection, so each of
    /// them succeeds or fails as a unit.
    fn run_syncs<P: MemberMutation>(&mut self) {
        for (from, to, data_centres) in std::mem::take(&mut self.pending_syncs) {
            if P::NEVER_SYNC
                || !self.is_reachable(from, to)
                || !self.is_running(from)
                || !self.is_running(to)
            {
                continue;
            }
            let now = self.now;
            let Some(initiator) = &self.nodes[from].detector else {
                continue;
            };
            let request = initiator.sync_request(1, name("fleet", 0), data_centres);
            let Some(responder) = &mut self.nodes[to].detector else {
                continue;
            };
            let response = responder.handle_sync_request(now, &request);
            let Some(initiator) = &mut self.nodes[from].detector else {
                continue;
            };
            let records = initiator.handle_sync_response(now, &response);
            if let Some(responder) = &mut self.nodes[to].detector {
                responder.merge_records(now, &records);
            }
        }
    }

    fn deliver(&mut self, which: usize, duplicate: bool) {
        if which >= self.network.len() {
            return;
        }
        let datagram = self.network[which].clone();
        if !duplicate {
            self.network.remove(which);
        }
        if !self.is_reachable(datagram.from, datagram.to) || !self.is_running(datagram.to) {
            return;
        }
        if let Some(detector) = &mut self.nodes[datagram.to].detector {
            let from = address(datagram.from);
            let actions = detector.receive(self.now, &vm(datagram.from), from, &datagram.body);
            self.execute(datagram.to, actions);
        }
    }

    /// Ends all faults and checks that each member knows exactly which members run.
    fn converge<P: MemberMutation>(&mut self) {
        self.partitioned = None;
        for node in &mut self.nodes {
            node.suspended = false;
        }
        // A member that was alone in its data centre finds the others by their entries
        // in the store; entries of daemons that no longer run have expired.
        let running = |node: &usize| self.nodes[*node].detector.is_some();
        for node in (0..NODES).filter(running) {
            let mut others = (1..NODES).map(|step| (node + step) % NODES);
            if let Some(contact) = others.find(running) {
                self.pending_syncs.push((node, contact, Vec::new()));
            }
        }
        let end = self.now + CONVERGENCE_LIMIT;
        while self.now < end {
            self.tick::<P>();
            while !self.network.is_empty() {
                self.deliver(0, false);
            }
        }
        for node in 0..NODES {
            let Some(detector) = &self.nodes[node].detector else {
                continue;
            };
            for other in 0..NODES {
                let known = detector.table().get(&vm(other)).map(|m| m.record.clone());
                let alive = known.as_ref().is_some_and(Record::is_live);
                let expected = self.nodes[other].detector.is_some();
                assert_eq!(
                    alive, expected,
                    "vm{node} has the wrong liveness for vm{other}: {known:?}"
                );
                if let (true, Some(known)) = (expected, known) {
                    let boot = self.nodes[other].boot;
                    assert_eq!(known.boot.0, boot, "vm{node} has an old boot id of vm{other}");
                }
            }
        }
    }
}

impl<P: MemberMutation> StateMachineTest for Members<P> {
    type SystemUnderTest = World;
    type Reference = Stateless<Transition>;

    fn init_test((): &()) -> World {
        World::new::<P>()
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        match transition {
            Transition::Tick { times } => (0..times).for_each(|_| world.tick::<P>()),
            Transition::Deliver { which, duplicate } => world.deliver(which, duplicate),
            Transition::Lose { which } => {
                if which < world.network.len() {
                    world.network.remove(which);
                }
            }
            Transition::LoseAll => world.network.clear(),
            Transition::Kill { node } => world.nodes[node].detector = None,
            Transition::Restart { node } => world.restart::<P>(node),
            Transition::QuickRestart { node } => {
                world.nodes[node].detector = None;
                world.restart::<P>(node);
            }
            Transition::Suspend { node } => world.nodes[node].suspended = true,
            Transition::Resume { node } => world.nodes[node].suspended = false,
            Transition::Partition { data_centre } => world.partitioned = Some(data_centre),
            Transition::Heal => world.partitioned = None,
            Transition::Announce { node } => {
                let now = world.now;
                if world.is_running(node)
                    && let Some(detector) = &mut world.nodes[node].detector
                {
                    let actions = detector.announce(now, |_| {});
                    world.execute(node, actions);
                }
            }
            Transition::Converge => world.converge::<P>(),
        }
        for node in &mut world.nodes {
            if let Some(detector) = &node.detector {
                let incarnation = detector.local_record().incarnation;
                assert!(incarnation >= node.highest_incarnation, "an incarnation decreased");
                assert_eq!(
                    detector.local_record().status,
                    Status::Alive,
                    "a member does not report itself alive"
                );
                node.highest_incarnation = incarnation;
            }
        }
        world
    }
}
