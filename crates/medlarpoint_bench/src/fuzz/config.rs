//! Commits, propagation and recovery against an oracle of accepted versions.

mod oracle;
mod step;

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use medlarpoint_config::commit::{Action, Outcome, Response, Transaction};
use medlarpoint_config::pull::{self, Rank};
use medlarpoint_config::{
    Distance, Edit, Head, Precondition, Proposal, Replica, Restore, checkpoint_key, head_key,
};
use medlarpoint_model::{
    Change, CommitId, Key, Kind, Matcher, Name, Policy, Resource, Route, Service, Snapshot,
    Version, Vm,
};
use medlarpoint_store::{Error, Expected, Item, Key as StoreKey, MemoryStore};
use medlarpoint_wire::{PullRequest, PullResponse};
use proptest_state_machine::StateMachineTest;

use oracle::Oracle;
use step::{Fate, Op, Transition};

use super::steps::Steps;

/// Daemons in the model.
const NODES: usize = 5;
/// Rounds within which all daemons must be current once all is quiet.
const QUIET_ROUNDS: usize = 12;
/// Time that passes in a quiet round; longer than any wait of the spreader.
const QUIET_STEP: Duration = Duration::from_secs(3);

/// A fault planted in the model to show that the oracle finds it.
pub trait ConfigMutation: std::fmt::Debug + Clone + 'static {
    /// Takes any checkpoint, older ones too.
    const FORGET_ORDER: bool = false;
    /// Applies the first half of a delta.
    const APPLY_HALF: bool = false;
    /// Reports an unknown outcome as refused.
    const REFUSE_UNKNOWN: bool = false;
    /// Lets the store take a write whatever its condition.
    const IGNORE_CONDITION: bool = false;
    /// Never pulls from a peer.
    const NEVER_PULL: bool = false;
}

/// No planted fault.
impl ConfigMutation for () {}

/// The test without state of its own; `P` plants a fault.
#[derive(Debug)]
pub struct Config<P>(PhantomData<P>);

#[derive(Debug)]
struct Node {
    replica: Replica,
    spreader: pull::Scheduler,
    captured: Option<Item>,
    highest: Version,
}

#[derive(Debug)]
struct Running {
    node: usize,
    proposal: Proposal,
    attempt: Transaction,
    action: Action,
}

#[derive(Clone, Debug)]
enum Message {
    Pull { from: usize, to: usize, pull: PullRequest },
    Update { from: usize, to: usize, update: PullResponse },
}

/// The system under test: daemons, a store and a network.
#[derive(Debug)]
pub struct World {
    now: Duration,
    table: MemoryStore,
    backup: Option<MemoryStore>,
    nodes: Vec<Node>,
    running: Vec<Running>,
    unknown: Vec<Proposal>,
    late: Vec<(StoreKey, Expected, bytes::Bytes)>,
    network: Vec<Message>,
    oracle: Oracle,
    next_commit: u128,
}

fn name(prefix: &str, number: u8) -> Name {
    format!("{prefix}{number}").parse().expect("a valid literal")
}

fn vm(node: usize) -> Vm {
    Vm(name("vm", node as u8))
}

fn change(op: &Op) -> Change {
    let key = |kind, name| Change::Delete(Key { kind, name });
    match op {
        Op::PutService(s, policy) => {
            let policy = policy.then(|| name("p", *s % 2));
            Change::Put(Resource::Service(Service { name: name("s", *s), policy }))
        }
        Op::PutRoute(r, s) => {
            let path_prefix = Some(format!("/{r}"));
            Change::Put(Resource::Route(Route {
                matcher: Matcher { path_prefix, ..Matcher::default() },
                deadline_ms: 1_000,
                ..Route::new(name("r", *r), name("s", *s))
            }))
        }
        Op::PutPolicy(p, share) => {
            let policy =
                Policy { name: name("p", *p), long_share_percent: *share, ..Policy::default() };
            Change::Put(Resource::Policy(policy))
        }
        Op::DeleteService(s) => key(Kind::Service, name("s", *s)),
        Op::DeleteRoute(r) => key(Kind::Route, name("r", *r)),
        Op::DeletePolicy(p) => key(Kind::Policy, name("p", *p)),
    }
}

impl World {
    fn new() -> Self {
        let node = |_| Node {
            replica: Replica::default(),
            spreader: pull::Scheduler::default(),
            captured: None,
            highest: Version::ZERO,
        };
        Self {
            now: Duration::ZERO,
            table: MemoryStore::default(),
            backup: None,
            nodes: (0..NODES).map(node).collect(),
            running: Vec::new(),
            unknown: Vec::new(),
            late: Vec::new(),
            network: Vec::new(),
            oracle: Oracle::default(),
            next_commit: 1,
        }
    }

    fn now_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    fn propose(&mut self, node: usize, ops: &[Op], checked: bool) {
        let base = Arc::clone(self.nodes[node].replica.current());
        let mut edits: Vec<Edit> = Vec::new();
        for op in ops {
            let change = change(op);
            let key = change.key();
            let entry = base.entries.get(&key);
            let precondition = match entry {
                _ if !checked => Precondition::Any,
                None => Precondition::Absent,
                Some(entry) => Precondition::Changed(entry.changed),
            };
            edits.retain(|edit| edit.change.key() != key);
            edits.push(Edit { change, precondition });
        }
        let proposal = Proposal {
            commit: CommitId(self.next_commit),
            author: format!("operator {node}"),
            at_ms: self.now_ms(),
            since: base.version,
            resent: false,
            edits,
        };
        self.next_commit += 1;
        self.start(node, proposal);
    }

    fn start(&mut self, node: usize, proposal: Proposal) {
        if self.running.len() >= 3 {
            return;
        }
        let base = Arc::clone(self.nodes[node].replica.current());
        let (attempt, action) = Transaction::new(proposal.clone(), base);
        self.running.push(Running { node, proposal, attempt, action });
    }

    /// Makes a store call, as its fate has it.
    fn call<P: ConfigMutation>(&mut self, action: &Action, fate: Fate) -> Response {
        let lost = || Error::Unknown("lost".to_owned());
        let down = || Error::Unavailable("down".to_owned());
        match action {
            Action::Get(key) => Response::Get(match fate {
                Fate::Normal => Ok(self.table.get(key)),
                Fate::Down => Err(down()),
                Fate::LostBefore | Fate::LostAfter | Fate::Delayed => Err(lost()),
            }),
            Action::Put { key, expected, value } => Response::Put(match fate {
                Fate::Down => Err(down()),
                Fate::LostBefore => Err(lost()),
                Fate::Delayed => {
                    self.late.push((key.clone(), *expected, value.clone()));
                    Err(lost())
                }
                Fate::Normal | Fate::LostAfter => {
                    let result = self.write::<P>(key, *expected, value.clone());
                    if fate == Fate::LostAfter { Err(lost()) } else { result }
                }
            }),
            Action::Done(_) => Response::Get(Ok(None)),
        }
    }

    fn write<P: ConfigMutation>(
        &mut self,
        key: &StoreKey,
        expected: Expected,
        value: bytes::Bytes,
    ) -> Result<medlarpoint_store::Revision, Error> {
        let current = self.table.get(key).map(|item| item.revision);
        let expected = match (P::IGNORE_CONDITION, current) {
            (true, Some(revision)) => Expected::Revision(revision),
            (true, None) => Expected::Absent,
            (false, _) => expected,
        };
        let result = self.table.put(key, expected, value, None);
        self.observe();
        result.map_err(Error::from)
    }

    fn observe(&mut self) {
        if let Some(item) = self.table.get(&head_key()) {
            let head = Head::decode(&item.value).expect("the head can be read");
            self.oracle.observe(&head);
        }
    }

    fn advance<P: ConfigMutation>(&mut self, index: usize, fate: Fate) {
        if index >= self.running.len() {
            return;
        }
        let action = self.running[index].action.clone();
        let reply = self.call::<P>(&action, fate);
        let next = self.running[index].attempt.step(reply);
        match next {
            Action::Done(outcome) => {
                let done = self.running.swap_remove(index);
                self.conclude::<P>(done, outcome);
            }
            next => self.running[index].action = next,
        }
    }

    fn conclude<P: ConfigMutation>(&mut self, done: Running, outcome: Outcome) {
        let id = done.proposal.commit;
        match outcome {
            Outcome::Committed { delta, garbage } => {
                let known = self.oracle.commits.contains(&id);
                assert!(known, "a commit was reported that never took effect");
                for key in garbage {
                    if let Some(item) = self.table.get(&key) {
                        let expected = Expected::Revision(item.revision);
                        let _ = self.table.delete(&key, expected);
                    }
                }
                let update = PullResponse::Deltas(vec![delta]);
                self.offer::<P>(done.node, update);
            }
            Outcome::Unchanged(_) => {}
            Outcome::Refused(_) => self.refused(id),
            Outcome::Unknown(_) if P::REFUSE_UNKNOWN => self.refused(id),
            Outcome::Unknown(_) => self.unknown.push(done.proposal),
        }
    }

    fn refused(&mut self, id: CommitId) {
        assert!(!self.oracle.commits.contains(&id), "a commit that took effect was refused");
        self.oracle.refused.insert(id);
    }

    fn read(&mut self, node: usize, item: Option<Item>) {
        let Some(item) = item else {
            return;
        };
        let head = Head::decode(&item.value).expect("the head can be read");
        let replica = &mut self.nodes[node].replica;
        let Ok(offer) = replica.apply_head(&head) else {
            return;
        };
        if offer.is_none() {
            let key = checkpoint_key(head.checkpoint);
            // A checkpoint that is gone means that there is a newer head.
            if let Some(item) = self.table.get(&key) {
                let base: Snapshot = rmp_serde::from_slice(&item.value).expect("a checkpoint");
                let _ = replica.apply_head_from(&head, &base);
            }
        }
        self.note(node);
    }

    fn offer<P: ConfigMutation>(&mut self, node: usize, update: PullResponse) {
        let replica = &mut self.nodes[node].replica;
        if P::FORGET_ORDER && matches!(update, PullResponse::Checkpoint(_)) {
            *replica = Replica::default();
        }
        let update = if P::APPLY_HALF { halve(replica.current(), update) } else { update };
        let _ = replica.apply(update);
        self.note(node);
    }

    fn note(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        let tip = node.replica.tip();
        assert!(tip.version >= node.highest, "a daemon moved back to an older version");
        node.highest = tip.version;
        node.spreader.set_tip(tip);
    }

    fn announce(&mut self, from: usize, to: usize) {
        if from == to {
            return;
        }
        let tip = self.nodes[from].replica.tip();
        let distance = match from.abs_diff(to) {
            1 => Distance::Near,
            2 => Distance::Region,
            _ => Distance::Remote,
        };
        let order = match to % 3 {
            0 => Rank::First,
            1 => Rank::Second,
            _ => Rank::Rest,
        };
        self.nodes[to].spreader.add_candidate(self.now, &vm(from), tip, distance, order);
    }

    fn ask<P: ConfigMutation>(&mut self, node: usize) {
        if P::NEVER_PULL {
            return;
        }
        let Some(peer) = self.nodes[node].spreader.next_peer(self.now) else {
            return;
        };
        let to = (0..NODES).find(|other| vm(*other) == peer).expect("a known peer");
        let have = self.nodes[node].replica.tip();
        self.network.push(Message::Pull { from: node, to, pull: PullRequest { have } });
    }

    fn deliver<P: ConfigMutation>(&mut self, which: usize, again: bool) {
        if which >= self.network.len() {
            return;
        }
        let message = self.network[which].clone();
        if !again {
            self.network.remove(which);
        }
        match message {
            Message::Pull { from, to, pull } => {
                let update = self.nodes[to].replica.respond(&pull);
                if self.network.len() < 16 {
                    self.network.push(Message::Update { from: to, to: from, update });
                }
            }
            Message::Update { from, to, update } => {
                self.offer::<P>(to, update);
                self.nodes[to].spreader.on_finished(self.now, &vm(from), true);
            }
        }
    }

    fn tamper(&mut self, which: usize) {
        if let Some(Message::Update { update, .. }) = self.network.get_mut(which) {
            *update = tampered(update);
        }
    }

    fn restart(&mut self, node: usize) {
        self.nodes[node] = Node {
            replica: Replica::default(),
            spreader: pull::Scheduler::default(),
            captured: None,
            highest: Version::ZERO,
        };
        // Catching up before serving: a peer's version, or the store's.
        self.read(node, self.table.get(&head_key()));
    }

    /// An old backup is put back, and a reader with the newest version sees it
    /// before an operator does.
    fn restore<P: ConfigMutation>(&mut self, node: usize) {
        let newest = self.oracle.newest();
        let Some(backup) = self.backup.clone() else {
            return;
        };
        if self.nodes[node].replica.current().version < newest || !self.running.is_empty() {
            return;
        }
        self.table.restore(backup);
        let (mut restore, first) = Restore::new(&self.nodes[node].replica);
        let mut action = Some(first);
        while let Some(next) = action {
            let reply = self.call::<P>(&next, Fate::Normal);
            action = restore.step(reply);
        }
        let item = self.table.get(&head_key());
        let head = item.map(|item| Head::decode(&item.value).expect("the head can be read"));
        let version = head.map(|head| head.version).unwrap_or_default();
        assert_eq!(version, newest, "an accepted version reverted with the store");
    }

    /// Everything works again: all daemons must get the newest version.
    fn quiet<P: ConfigMutation>(&mut self) {
        self.late.clear();
        self.network.clear();
        for _ in 0..QUIET_ROUNDS {
            self.now += QUIET_STEP;
            while !self.running.is_empty() {
                self.advance::<P>(0, Fate::Normal);
            }
            self.read(0, self.table.get(&head_key()));
            for node in 1..NODES {
                self.announce(node - 1, node);
            }
            // What was announced may be pulled after the wait of its order.
            self.now += QUIET_STEP;
            for node in 1..NODES {
                self.ask::<P>(node);
            }
            while !self.network.is_empty() {
                self.deliver::<P>(0, false);
            }
        }
        let newest = self.oracle.newest();
        for node in &self.nodes {
            let version = node.replica.current().version;
            assert_eq!(version, newest, "a daemon is not current though all is quiet");
        }
    }

    fn check(&self) {
        for node in &self.nodes {
            self.oracle.check(node.replica.current());
        }
    }
}

/// Half of an update's last delta, as a careless implementation would apply it.
fn halve(base: &Snapshot, update: PullResponse) -> PullResponse {
    let PullResponse::Deltas(deltas) = &update else {
        return update;
    };
    let Some(delta) = deltas.iter().find(|delta| delta.base == base.version) else {
        return update;
    };
    let half = delta.changes.len() / 2;
    if half == 0 {
        return update;
    }
    PullResponse::Checkpoint(Arc::new(base.edit(&delta.changes[..half])))
}

/// An update with a missing or doubled change, as a faulty peer would send it.
fn tampered(update: &PullResponse) -> PullResponse {
    match update {
        PullResponse::Deltas(deltas) => {
            let mut deltas = deltas.clone();
            if let Some(last) = deltas.last_mut() {
                let mut delta = (**last).clone();
                let extra = change(&Op::PutRoute(3, 2));
                if delta.changes.pop().is_none_or(|old| old == extra) {
                    delta.changes.push(change(&Op::DeleteService(0)));
                } else {
                    delta.changes.push(extra);
                }
                *last = Arc::new(delta);
            }
            PullResponse::Deltas(deltas)
        }
        PullResponse::Checkpoint(snapshot) => {
            let mut snapshot = Snapshot::clone(snapshot);
            snapshot.entries.pop();
            PullResponse::Checkpoint(Arc::new(snapshot))
        }
        PullResponse::UpToDate => PullResponse::UpToDate,
    }
}

impl<P: ConfigMutation> StateMachineTest for Config<P> {
    type SystemUnderTest = World;
    type Reference = Steps<Transition>;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        match transition {
            Transition::Propose { node, ops, checked } => world.propose(node, &ops, checked),
            Transition::Store { attempt, fate } => world.advance::<P>(attempt, fate),
            Transition::GiveUp { attempt } => {
                if attempt < world.running.len() {
                    let done = world.running.swap_remove(attempt);
                    let outcome = done.attempt.on_timeout();
                    world.conclude::<P>(done, outcome);
                }
            }
            Transition::Resend { node } => {
                if let Some(mut proposal) = world.unknown.pop() {
                    proposal.resent = true;
                    world.start(node, proposal);
                }
            }
            Transition::Burst { node, count } => {
                for step in 0..count {
                    world.read(node, world.table.get(&head_key()));
                    world.propose(node, &[Op::PutPolicy(1, step + 1)], false);
                    while !world.running.is_empty() {
                        world.advance::<P>(0, Fate::Normal);
                    }
                }
            }
            Transition::ArriveLate { which } => {
                if which < world.late.len() {
                    let (key, expected, value) = world.late.remove(which);
                    let _ = world.write::<P>(&key, expected, value);
                }
            }
            Transition::Read { node } => {
                world.read(node, world.table.get(&head_key()));
            }
            Transition::Capture { node } => {
                world.nodes[node].captured = world.table.get(&head_key());
            }
            Transition::Resume { node } => {
                let captured = world.nodes[node].captured.take();
                world.read(node, captured);
            }
            Transition::Announce { from, to } => world.announce(from, to),
            Transition::Ask { node } => world.ask::<P>(node),
            Transition::Answer { which } => {
                if matches!(world.network.get(which), Some(Message::Pull { .. })) {
                    world.deliver::<P>(which, false);
                }
            }
            Transition::Deliver { which, again } => world.deliver::<P>(which, again),
            Transition::Lose { which } => {
                if which < world.network.len() {
                    world.network.remove(which);
                }
            }
            Transition::Tamper { which } => world.tamper(which),
            Transition::Pass { ms } => world.now += Duration::from_millis(ms.into()),
            Transition::Restart { node } => world.restart(node),
            Transition::Backup => world.backup = Some(world.table.clone()),
            Transition::RestoreBackup { node } => world.restore::<P>(node),
            Transition::Quiet => world.quiet::<P>(),
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }
}
