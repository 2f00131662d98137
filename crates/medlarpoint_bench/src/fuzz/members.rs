//! Failure detectors against what the model knows to be alive.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use medlarpoint_membership::{Action, Detector, Options};
use medlarpoint_model::{DataCentre, Name, Region, Vm};
use medlarpoint_wire::{Body, BootId, Incarnation, Record, Status};
use proptest::prelude::*;
use proptest_state_machine::StateMachineTest;

use super::steps::{Step, Steps};

/// Members in the model, spread over three data centres.
const NODES: usize = 7;
/// Time between ticks.
const TICK: Duration = Duration::from_millis(100);
/// Time within which all must agree once all is quiet.
const QUIET: Duration = Duration::from_secs(60);
/// Datagrams under way at a time.
const MAX_NETWORK: usize = 64;

/// A fault planted in the model.
pub trait MemberMutation: std::fmt::Debug + Clone + 'static {
    /// Drops every table exchange.
    const NEVER_SYNC: bool = false;
    /// Lets a restarted member take its old incarnation again.
    const OLD_INCARNATION: bool = false;
}

impl MemberMutation for () {}

/// The test; `P` plants a fault.
#[derive(Debug)]
pub struct Members<P>(PhantomData<P>);

/// A step.
#[derive(Clone, Debug)]
pub enum Transition {
    Tick {
        times: u8,
    },
    Deliver {
        which: usize,
        again: bool,
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
    /// A restart that is over before anybody notices.
    Bounce {
        node: usize,
    },
    Freeze {
        node: usize,
    },
    Thaw {
        node: usize,
    },
    Cut {
        data_centre: u8,
    },
    Heal,
    Drain {
        node: usize,
    },
    Quiet,
}

impl Step for Transition {
    fn any() -> BoxedStrategy<Self> {
        let node = || 0..NODES;
        let which = || 0..MAX_NETWORK;
        prop_oneof![
            30 => (1..8_u8).prop_map(|times| Transition::Tick { times }),
            30 => (which(), prop::bool::weighted(0.1))
                .prop_map(|(which, again)| Transition::Deliver { which, again }),
            3 => which().prop_map(|which| Transition::Lose { which }),
            1 => Just(Transition::LoseAll),
            1 => node().prop_map(|node| Transition::Kill { node }),
            2 => node().prop_map(|node| Transition::Restart { node }),
            1 => node().prop_map(|node| Transition::Bounce { node }),
            1 => node().prop_map(|node| Transition::Freeze { node }),
            2 => node().prop_map(|node| Transition::Thaw { node }),
            1 => (0..3_u8).prop_map(|data_centre| Transition::Cut { data_centre }),
            2 => Just(Transition::Heal),
            1 => node().prop_map(|node| Transition::Drain { node }),
            1 => Just(Transition::Quiet),
        ]
        .boxed()
    }
}

#[derive(Debug)]
struct Node {
    detector: Option<Detector>,
    frozen: bool,
    boot: u64,
    newest: Incarnation,
}

#[derive(Clone, Debug)]
struct Packet {
    from: usize,
    to: usize,
    body: Body,
}

/// The system under test.
#[derive(Debug)]
pub struct World {
    now: Duration,
    nodes: Vec<Node>,
    network: Vec<Packet>,
    syncs: Vec<(usize, usize, Vec<DataCentre>)>,
    cut: Option<u8>,
    boots: u64,
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
        let node = |_| Node { detector: None, frozen: false, boot: 0, newest: Incarnation(0) };
        let mut world = Self {
            now: Duration::from_secs(1),
            nodes: (0..NODES).map(node).collect(),
            network: Vec::new(),
            syncs: Vec::new(),
            cut: None,
            boots: 0,
        };
        for node in 0..NODES {
            world.restart::<P>(node);
        }
        world
    }

    fn reachable(&self, from: usize, to: usize) -> bool {
        let crosses = |cut: u8| (data_centre(from) == cut) != (data_centre(to) == cut);
        self.cut.is_none_or(|cut| !crosses(cut))
    }

    fn runs(&self, node: usize) -> bool {
        self.nodes[node].detector.is_some() && !self.nodes[node].frozen
    }

    fn restart<P: MemberMutation>(&mut self, node: usize) {
        if self.nodes[node].detector.is_some() {
            return;
        }
        self.boots += 1;
        let boot = self.boots * 1_000;
        let mut record = record(node, boot);
        if P::OLD_INCARNATION {
            record.incarnation = Incarnation(1);
        }
        let detector = Detector::new(Options::default(), record, self.now, self.boots);
        self.nodes[node] =
            Node { detector: Some(detector), frozen: false, boot, newest: Incarnation(0) };
        // First contact comes from the store or the seeds.
        for contact in 0..NODES {
            if contact != node && self.reachable(node, contact) {
                self.syncs.push((node, contact, Vec::new()));
            }
        }
    }

    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, body } => {
                    if self.network.len() < MAX_NETWORK {
                        self.network.push(Packet { from, to: node_at(to), body });
                    }
                }
                Action::Sync { to, data_centres } => {
                    self.syncs.push((from, node_at(to), data_centres));
                }
            }
        }
    }

    fn tick<P: MemberMutation>(&mut self) {
        self.now += TICK;
        for node in 0..NODES {
            if self.runs(node)
                && let Some(detector) = &mut self.nodes[node].detector
            {
                let actions = detector.tick(self.now);
                self.perform(node, actions);
            }
        }
        self.exchange::<P>();
    }

    /// Table exchanges go over a connection, so they arrive or fail whole.
    fn exchange<P: MemberMutation>(&mut self) {
        for (from, to, places) in std::mem::take(&mut self.syncs) {
            if P::NEVER_SYNC || !self.reachable(from, to) || !self.runs(from) || !self.runs(to) {
                continue;
            }
            let now = self.now;
            let Some(asking) = &self.nodes[from].detector else {
                continue;
            };
            let request = asking.sync_request(1, name("fleet", 0), places);
            let Some(answering) = &mut self.nodes[to].detector else {
                continue;
            };
            let reply = answering.handle_sync_request(now, &request);
            let Some(asking) = &mut self.nodes[from].detector else {
                continue;
            };
            let records = asking.handle_sync_response(now, &reply);
            if let Some(answering) = &mut self.nodes[to].detector {
                answering.merge_records(now, &records);
            }
        }
    }

    fn deliver(&mut self, which: usize, again: bool) {
        if which >= self.network.len() {
            return;
        }
        let packet = self.network[which].clone();
        if !again {
            self.network.remove(which);
        }
        if !self.reachable(packet.from, packet.to) || !self.runs(packet.to) {
            return;
        }
        if let Some(detector) = &mut self.nodes[packet.to].detector {
            let from = address(packet.from);
            let actions = detector.receive(self.now, &vm(packet.from), from, &packet.body);
            self.perform(packet.to, actions);
        }
    }

    /// All works again: each member must know exactly who is alive.
    fn quiet<P: MemberMutation>(&mut self) {
        self.cut = None;
        for node in &mut self.nodes {
            node.frozen = false;
        }
        // Who was alone in its data centre finds the others by their entries in
        // the store; those of daemons that are gone have lapsed.
        let running = |node: &usize| self.nodes[*node].detector.is_some();
        for node in (0..NODES).filter(running) {
            let mut others = (1..NODES).map(|step| (node + step) % NODES);
            if let Some(contact) = others.find(running) {
                self.syncs.push((node, contact, Vec::new()));
            }
        }
        let end = self.now + QUIET;
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
                let runs = self.nodes[other].detector.is_some();
                assert_eq!(alive, runs, "vm{node} is wrong about vm{other}: {known:?}");
                if let (true, Some(known)) = (runs, known) {
                    let boot = self.nodes[other].boot;
                    assert_eq!(known.boot.0, boot, "vm{node} knows an old run of vm{other}");
                }
            }
        }
    }
}

impl<P: MemberMutation> StateMachineTest for Members<P> {
    type SystemUnderTest = World;
    type Reference = Steps<Transition>;

    fn init_test((): &()) -> World {
        World::new::<P>()
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        match transition {
            Transition::Tick { times } => (0..times).for_each(|_| world.tick::<P>()),
            Transition::Deliver { which, again } => world.deliver(which, again),
            Transition::Lose { which } => {
                if which < world.network.len() {
                    world.network.remove(which);
                }
            }
            Transition::LoseAll => world.network.clear(),
            Transition::Kill { node } => world.nodes[node].detector = None,
            Transition::Restart { node } => world.restart::<P>(node),
            Transition::Bounce { node } => {
                world.nodes[node].detector = None;
                world.restart::<P>(node);
            }
            Transition::Freeze { node } => world.nodes[node].frozen = true,
            Transition::Thaw { node } => world.nodes[node].frozen = false,
            Transition::Cut { data_centre } => world.cut = Some(data_centre),
            Transition::Heal => world.cut = None,
            Transition::Drain { node } => {
                let now = world.now;
                if world.runs(node)
                    && let Some(detector) = &mut world.nodes[node].detector
                {
                    let actions = detector.announce(now, |_| {});
                    world.perform(node, actions);
                }
            }
            Transition::Quiet => world.quiet::<P>(),
        }
        for node in &mut world.nodes {
            if let Some(detector) = &node.detector {
                let incarnation = detector.local_record().incarnation;
                assert!(incarnation >= node.newest, "an incarnation fell");
                assert_eq!(
                    detector.local_record().status,
                    Status::Alive,
                    "a member gave itself up"
                );
                node.newest = incarnation;
            }
        }
        world
    }
}
