//! Fuzzes commits, propagation and recovery of configuration against an oracle of
//! accepted versions.

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
    Change, CommitId, Key, Kind, Matcher, Name, PathPrefix, Policy, Resource, Route, Service,
    Snapshot, Version, Vm,
};
use medlarpoint_store::{Error, Expected, Item, Key as StoreKey, MemoryStore};
use medlarpoint_wire::{PullRequest, PullResponse};
use proptest_state_machine::StateMachineTest;

use oracle::Oracle;
use step::{Operation, StoreCondition, Transition};

use super::reference::Stateless;

/// Number of daemons in the model.
const NODES: usize = 5;
/// Limit on the number of rounds until all daemons are current once the faults
/// have ended.
const CONVERGENCE_ROUNDS: usize = 12;
/// Time that passes twice in each round; longer than any wait of the pull
/// scheduler.
const ROUND_INTERVAL: Duration = Duration::from_secs(3);

/// A mutation of the model, to show that the oracle detects it.
pub trait ConfigMutation: std::fmt::Debug + Clone + 'static {
    /// Applies any checkpoint, also an older one.
    const ACCEPT_OLD_CHECKPOINT: bool = false;
    /// Applies the first half of a delta.
    const APPLY_HALF_DELTA: bool = false;
    /// Reports an unknown outcome of a commit as rejected.
    const REPORT_UNKNOWN_AS_REJECTED: bool = false;
    /// Lets the store accept a write whatever revision it expects.
    const IGNORE_EXPECTED_REVISION: bool = false;
    /// Never pulls from a peer.
    const NEVER_PULL: bool = false;
}

/// No mutation.
impl ConfigMutation for () {}

/// State machine test of configuration; `P` is the mutation.
#[derive(Debug)]
pub struct Config<P>(PhantomData<P>);

#[derive(Debug)]
struct Node {
    replica: Replica,
    pulls: pull::Scheduler,
    captured_head: Option<Item>,
    highest_version: Version,
}

#[derive(Debug)]
struct RunningCommit {
    node: usize,
    proposal: Proposal,
    transaction: Transaction,
    action: Action,
}

#[derive(Clone, Debug)]
enum Message {
    Request { from: usize, to: usize, request: PullRequest },
    Response { from: usize, to: usize, response: PullResponse },
}

/// The system under test: daemons, a store and a network.
#[derive(Debug)]
pub struct World {
    now: Duration,
    store: MemoryStore,
    backup: Option<MemoryStore>,
    nodes: Vec<Node>,
    running: Vec<RunningCommit>,
    unresolved: Vec<Proposal>,
    delayed_writes: Vec<(StoreKey, Expected, bytes::Bytes)>,
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

fn change(operation: &Operation) -> Change {
    let delete = |kind, name| Change::Delete(Key { kind, name });
    match operation {
        Operation::PutService(s, policy) => {
            let policy = policy.then(|| name("p", *s % 2));
            Change::Put(Resource::Service(Service { name: name("s", *s), policy }))
        }
        Operation::PutRoute(r, s) => {
            let path_prefix = Some(PathPrefix::new(format!("/{r}")));
            Change::Put(Resource::Route(Route {
                matcher: Matcher { path_prefix, ..Matcher::default() },
                deadline_ms: 1_000,
                ..Route::new(name("r", *r), name("s", *s))
            }))
        }
        Operation::PutPolicy(p, share) => {
            let policy =
                Policy { name: name("p", *p), long_share_percent: *share, ..Policy::default() };
            Change::Put(Resource::Policy(policy))
        }
        Operation::DeleteService(s) => delete(Kind::Service, name("s", *s)),
        Operation::DeleteRoute(r) => delete(Kind::Route, name("r", *r)),
        Operation::DeletePolicy(p) => delete(Kind::Policy, name("p", *p)),
    }
}

impl World {
    fn new() -> Self {
        let node = |_| Node {
            replica: Replica::default(),
            pulls: pull::Scheduler::default(),
            captured_head: None,
            highest_version: Version::ZERO,
        };
        Self {
            now: Duration::ZERO,
            store: MemoryStore::default(),
            backup: None,
            nodes: (0..NODES).map(node).collect(),
            running: Vec::new(),
            unresolved: Vec::new(),
            delayed_writes: Vec::new(),
            network: Vec::new(),
            oracle: Oracle::default(),
            next_commit: 1,
        }
    }

    fn now_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    fn propose(&mut self, node: usize, operations: &[Operation], conditional: bool) {
        let base = Arc::clone(self.nodes[node].replica.current());
        let mut edits: Vec<Edit> = Vec::new();
        for operation in operations {
            let change = change(operation);
            let key = change.key();
            let entry = base.entries.get(&key);
            let precondition = match entry {
                _ if !conditional => Precondition::Any,
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
        let (transaction, action) = Transaction::new(proposal.clone(), base);
        self.running.push(RunningCommit { node, proposal, transaction, action });
    }

    /// Makes a store request under a condition of the store.
    fn call_store<P: ConfigMutation>(
        &mut self,
        action: &Action,
        condition: StoreCondition,
    ) -> Response {
        let lost = || Error::Unknown("lost".to_owned());
        let down = || Error::Unavailable("down".to_owned());
        match action {
            Action::Get(key) => Response::Get(match condition {
                StoreCondition::Normal => Ok(self.store.get(key)),
                StoreCondition::Unavailable => Err(down()),
                StoreCondition::RequestLost
                | StoreCondition::ResponseLost
                | StoreCondition::Delayed => Err(lost()),
            }),
            Action::Put { key, expected, value } => Response::Put(match condition {
                StoreCondition::Unavailable => Err(down()),
                StoreCondition::RequestLost => Err(lost()),
                StoreCondition::Delayed => {
                    self.delayed_writes.push((key.clone(), *expected, value.clone()));
                    Err(lost())
                }
                StoreCondition::Normal | StoreCondition::ResponseLost => {
                    let result = self.write::<P>(key, *expected, value.clone());
                    if condition == StoreCondition::ResponseLost { Err(lost()) } else { result }
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
        let current = self.store.get(key).map(|item| item.revision);
        let expected = match (P::IGNORE_EXPECTED_REVISION, current) {
            (true, Some(revision)) => Expected::Revision(revision),
            (true, None) => Expected::Absent,
            (false, _) => expected,
        };
        let result = self.store.put(key, expected, value, None);
        self.observe();
        result.map_err(Error::from)
    }

    fn observe(&mut self) {
        if let Some(item) = self.store.get(&head_key()) {
            let head = Head::decode(&item.value).expect("the head decodes");
            self.oracle.observe(&head);
        }
    }

    fn advance<P: ConfigMutation>(&mut self, index: usize, condition: StoreCondition) {
        if index >= self.running.len() {
            return;
        }
        let action = self.running[index].action.clone();
        let response = self.call_store::<P>(&action, condition);
        let next = self.running[index].transaction.step(response);
        match next {
            Action::Done(outcome) => {
                let done = self.running.swap_remove(index);
                self.finish_commit::<P>(done, outcome);
            }
            next => self.running[index].action = next,
        }
    }

    fn finish_commit<P: ConfigMutation>(&mut self, done: RunningCommit, outcome: Outcome) {
        let id = done.proposal.commit;
        match outcome {
            Outcome::Committed { delta, garbage } => {
                let took_effect = self.oracle.commits.contains(&id);
                assert!(took_effect, "a commit was reported that never took effect");
                for key in garbage {
                    if let Some(item) = self.store.get(&key) {
                        let expected = Expected::Revision(item.revision);
                        let _ = self.store.delete(&key, expected);
                    }
                }
                let response = PullResponse::Deltas(vec![delta]);
                self.apply_response::<P>(done.node, response);
            }
            Outcome::Unchanged(_) => {}
            Outcome::Rejected(_) => self.record_rejection(id),
            Outcome::Unknown(_) if P::REPORT_UNKNOWN_AS_REJECTED => self.record_rejection(id),
            Outcome::Unknown(_) => self.unresolved.push(done.proposal),
        }
    }

    fn record_rejection(&mut self, id: CommitId) {
        assert!(!self.oracle.commits.contains(&id), "a commit that took effect was rejected");
        self.oracle.rejected.insert(id);
    }

    fn read_head(&mut self, node: usize, item: Option<Item>) {
        let Some(item) = item else {
            return;
        };
        let head = Head::decode(&item.value).expect("the head decodes");
        let replica = &mut self.nodes[node].replica;
        let Ok(effect) = replica.apply_head(&head) else {
            return;
        };
        if effect.is_none() {
            let key = checkpoint_key(head.checkpoint);
            // A deleted checkpoint means that a newer head exists.
            if let Some(item) = self.store.get(&key) {
                let base: Snapshot =
                    rmp_serde::from_slice(&item.value).expect("the checkpoint decodes");
                let _ = replica.apply_head_from(&head, &base);
            }
        }
        self.record_tip(node);
    }

    fn apply_response<P: ConfigMutation>(&mut self, node: usize, response: PullResponse) {
        let replica = &mut self.nodes[node].replica;
        if P::ACCEPT_OLD_CHECKPOINT && matches!(response, PullResponse::Checkpoint(_)) {
            *replica = Replica::default();
        }
        let response =
            if P::APPLY_HALF_DELTA { first_half(replica.current(), response) } else { response };
        let _ = replica.apply(response);
        self.record_tip(node);
    }

    fn record_tip(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        let tip = node.replica.tip();
        assert!(tip.version >= node.highest_version, "a daemon moved back to an older version");
        node.highest_version = tip.version;
        node.pulls.set_tip(tip);
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
        let rank = match to % 3 {
            0 => Rank::First,
            1 => Rank::Second,
            _ => Rank::Rest,
        };
        self.nodes[to].pulls.add_candidate(self.now, &vm(from), tip, distance, rank);
    }

    fn send_pull<P: ConfigMutation>(&mut self, node: usize) {
        if P::NEVER_PULL {
            return;
        }
        let Some(peer) = self.nodes[node].pulls.next_peer(self.now) else {
            return;
        };
        let to = (0..NODES).find(|other| vm(*other) == peer).expect("a known peer");
        let have = self.nodes[node].replica.tip();
        self.network.push(Message::Request { from: node, to, request: PullRequest { have } });
    }

    fn deliver<P: ConfigMutation>(&mut self, which: usize, duplicate: bool) {
        if which >= self.network.len() {
            return;
        }
        let message = self.network[which].clone();
        if !duplicate {
            self.network.remove(which);
        }
        match message {
            Message::Request { from, to, request } => {
                let response = self.nodes[to].replica.respond(&request);
                if self.network.len() < 16 {
                    self.network.push(Message::Response { from: to, to: from, response });
                }
            }
            Message::Response { from, to, response } => {
                self.apply_response::<P>(to, response);
                self.nodes[to].pulls.on_finished(self.now, &vm(from), true);
            }
        }
    }

    fn corrupt(&mut self, which: usize) {
        if let Some(Message::Response { response, .. }) = self.network.get_mut(which) {
            *response = corrupted(response);
        }
    }

    fn restart(&mut self, node: usize) {
        self.nodes[node] = Node {
            replica: Replica::default(),
            pulls: pull::Scheduler::default(),
            captured_head: None,
            highest_version: Version::ZERO,
        };
        // A daemon catches up before it serves, from a peer or the store.
        self.read_head(node, self.store.get(&head_key()));
    }

    /// Restores an old backup of the store, and checks that a daemon that has the
    /// newest version writes it back before the next commit.
    fn restore<P: ConfigMutation>(&mut self, node: usize) {
        let newest = self.oracle.newest();
        let Some(backup) = self.backup.clone() else {
            return;
        };
        if self.nodes[node].replica.current().version < newest || !self.running.is_empty() {
            return;
        }
        self.store.restore(backup);
        let (mut restore, first) = Restore::new(&self.nodes[node].replica);
        let mut action = Some(first);
        while let Some(next) = action {
            let response = self.call_store::<P>(&next, StoreCondition::Normal);
            action = restore.step(response);
        }
        let item = self.store.get(&head_key());
        let head = item.map(|item| Head::decode(&item.value).expect("the head decodes"));
        let version = head.map(|head| head.version).unwrap_or_default();
        assert_eq!(version, newest, "an accepted version reverted with the store");
    }

    /// Ends all faults and checks that all daemons get the newest version.
    fn converge<P: ConfigMutation>(&mut self) {
        self.delayed_writes.clear();
        self.network.clear();
        for _ in 0..CONVERGENCE_ROUNDS {
            self.now += ROUND_INTERVAL;
            while !self.running.is_empty() {
                self.advance::<P>(0, StoreCondition::Normal);
            }
            self.read_head(0, self.store.get(&head_key()));
            for node in 1..NODES {
                self.announce(node - 1, node);
            }
            // An announced version may be pulled after the wait for its rank.
            self.now += ROUND_INTERVAL;
            for node in 1..NODES {
                self.send_pull::<P>(node);
            }
            while !self.network.is_empty() {
                self.deliver::<P>(0, false);
            }
        }
        let newest = self.oracle.newest();
        for node in &self.nodes {
            let version = node.replica.current().version;
            assert_eq!(version, newest, "a daemon is not current after all faults ended");
        }
    }

    fn check(&self) {
        for node in &self.nodes {
            self.oracle.check(node.replica.current());
        }
    }
}

/// Returns the base with the first half of the applicable delta, as an
/// implementation without atomic updates would apply it.
fn first_half(base: &Snapshot, response: PullResponse) -> PullResponse {
    let PullResponse::Deltas(deltas) = &response else {
        return response;
    };
    let Some(delta) = deltas.iter().find(|delta| delta.base == base.version) else {
        return response;
    };
    let half = delta.changes.len() / 2;
    if half == 0 {
        return response;
    }
    PullResponse::Checkpoint(Arc::new(base.edit(&delta.changes[..half])))
}

/// Returns a response with a missing or an extra change, as a faulty peer would
/// send it.
fn corrupted(response: &PullResponse) -> PullResponse {
    match response {
        PullResponse::Deltas(deltas) => {
            let mut deltas = deltas.clone();
            if let Some(last) = deltas.last_mut() {
                let mut delta = (**last).clone();
                let extra = change(&Operation::PutRoute(3, 2));
                if delta.changes.pop().is_none_or(|old| old == extra) {
                    delta.changes.push(change(&Operation::DeleteService(0)));
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
    type Reference = Stateless<Transition>;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        match transition {
            Transition::Propose { node, operations, conditional } => {
                world.propose(node, &operations, conditional);
            }
            Transition::Store { transaction, condition } => {
                world.advance::<P>(transaction, condition);
            }
            Transition::TimeOut { transaction } => {
                if transaction < world.running.len() {
                    let done = world.running.swap_remove(transaction);
                    let outcome = done.transaction.on_timeout();
                    world.finish_commit::<P>(done, outcome);
                }
            }
            Transition::Resend { node } => {
                if let Some(mut proposal) = world.unresolved.pop() {
                    proposal.resent = true;
                    world.start(node, proposal);
                }
            }
            Transition::Burst { node, count } => {
                for step in 0..count {
                    world.read_head(node, world.store.get(&head_key()));
                    world.propose(node, &[Operation::PutPolicy(1, step + 1)], false);
                    while !world.running.is_empty() {
                        world.advance::<P>(0, StoreCondition::Normal);
                    }
                }
            }
            Transition::DeliverDelayed { which } => {
                if which < world.delayed_writes.len() {
                    let (key, expected, value) = world.delayed_writes.remove(which);
                    let _ = world.write::<P>(&key, expected, value);
                }
            }
            Transition::ReadHead { node } => {
                world.read_head(node, world.store.get(&head_key()));
            }
            Transition::CaptureHead { node } => {
                world.nodes[node].captured_head = world.store.get(&head_key());
            }
            Transition::ApplyCapturedHead { node } => {
                let captured_head = world.nodes[node].captured_head.take();
                world.read_head(node, captured_head);
            }
            Transition::Announce { from, to } => world.announce(from, to),
            Transition::Pull { node } => world.send_pull::<P>(node),
            Transition::Respond { which } => {
                if matches!(world.network.get(which), Some(Message::Request { .. })) {
                    world.deliver::<P>(which, false);
                }
            }
            Transition::Deliver { which, duplicate } => world.deliver::<P>(which, duplicate),
            Transition::Lose { which } => {
                if which < world.network.len() {
                    world.network.remove(which);
                }
            }
            Transition::Corrupt { which } => world.corrupt(which),
            Transition::Advance { ms } => world.now += Duration::from_millis(ms.into()),
            Transition::Restart { node } => world.restart(node),
            Transition::Backup => world.backup = Some(world.store.clone()),
            Transition::RestoreBackup { node } => world.restore::<P>(node),
            Transition::Converge => world.converge::<P>(),
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }
}
