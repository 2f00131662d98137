//! Fuzzes outbound and inbound proxies against an oracle that counts executions.

mod oracle;
mod step;
mod suspects;

use std::collections::{BTreeMap, HashMap};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use medlarpoint_model::{Class, Fingerprint, Idempotency, Name, Policy, Vm};
use medlarpoint_routing::{
    AttemptId, AttemptInfo, AttemptResult, AttemptStatus, Call, CallAction, CallEvent, Claim,
    ClaimResult, Completion, Constraints, Destination, FailurePoint, IdempotencyKey, Intake,
    IntakeAction, Reply, RequestLink, Selector, SuspectReport, Suspects, TargetRun, Verdict,
};
use proptest_state_machine::StateMachineTest;

use oracle::{Oracle, Request, Work};
use step::{StoreCondition, TargetOutcome, Transition};

use super::reference::Stateless;

/// Number of outbound proxies in the model.
const OUTBOUND: usize = 2;
/// Number of inbound proxies in the model, each with a target.
const INBOUND: usize = 3;
/// Number of slots of each target.
const SLOTS: u32 = 2;
/// Every so many requests, one has a large body.
const REQUESTS_PER_LARGE_BODY: usize = 3;
/// Size of a large request body, in bytes.
const LARGE_BODY_BYTES: usize = 60_000;
/// Rate of the link of an inbound proxy, in megabits per second.
const REQUEST_LINK_MEGABITS: f64 = 10.0;
/// Number of different idempotency keys.
const KEYS: u8 = 4;
/// Identity of the calls that crash each target that runs them.
const FATAL: Fingerprint = Fingerprint(u128::MAX);
/// Limit on the time from a status query to its response; later responses count
/// as unreachable.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// A mutation of the model, to show that the oracle detects it.
pub trait CallMutation: std::fmt::Debug + Clone + 'static {
    /// Treats an attempt whose connection broke as not run.
    const TREAT_SENT_AS_NOT_RUN: bool = false;
    /// Hands over keyed calls without claiming the key.
    const SKIP_CLAIM: bool = false;
    /// Reports a call whose target was lost as not run.
    const FALSE_NOT_RUN: bool = false;
    /// Ignores the boot id that an attempt is addressed to.
    const IGNORE_BOOT: bool = false;
    /// Accepts attempts while draining.
    const IGNORE_DRAIN: bool = false;
    /// Returns the response of another request.
    const SWAP_RESPONSES: bool = false;
    /// Forgets the calls under which targets have crashed.
    const FORGET_CRASHES: bool = false;
}

impl CallMutation for () {}

/// State machine test of calls; `P` is the mutation.
#[derive(Debug)]
pub struct Calls<P>(PhantomData<P>);

#[derive(Clone, Debug)]
enum Packet {
    /// An attempt, sent to an inbound proxy.
    Attempt {
        info: AttemptInfo,
        remaining: Duration,
    },
    /// Response of the inbound proxy; `origin` is the work that it belongs to.
    Response {
        result: AttemptResult,
        origin: Option<Work>,
    },
    Query {
        sent_at: Duration,
        queried_at: Duration,
    },
    Status {
        status: AttemptStatus,
        queried_at: Duration,
    },
    Cancel,
}

#[derive(Clone, Debug)]
struct Message {
    attempt: AttemptId,
    inbound: usize,
    packet: Packet,
}

#[derive(Debug)]
struct Inbound {
    boot: u64,
    intake: Intake<Work>,
    pending_claims: Vec<(AttemptId, IdempotencyKey)>,
    /// Attempts whose request body is being received.
    receiving: Vec<AttemptId>,
    running: Vec<AttemptId>,
    arrived_at: HashMap<AttemptId, Duration>,
    draining_since: Option<Duration>,
    suspects: Suspects,
    /// Calls that the present process of the target has begun.
    target_run: TargetRun,
}

#[derive(Clone, Debug)]
struct SentAttempt {
    request: usize,
    inbound: usize,
    at: Duration,
    /// Boot id that the attempt is addressed to.
    boot: u64,
    /// Whether the connection is closed, so that no response can arrive.
    disconnected: bool,
}

/// The system under test.
#[derive(Debug)]
pub struct World {
    now: Duration,
    requests: Vec<Request>,
    calls: BTreeMap<usize, Call>,
    sent: HashMap<AttemptId, SentAttempt>,
    inbound: Vec<Inbound>,
    destinations: Vec<Vec<Destination>>,
    /// What each outbound proxy knows of crashes.
    outbound_suspects: Vec<Suspects>,
    /// Reports that the other daemons have not received yet.
    reports: Vec<(Fingerprint, SuspectReport)>,
    network: Vec<Message>,
    claims: HashMap<IdempotencyKey, (Claim, AttemptId)>,
    oracle: Oracle,
    attempt_count: u128,
    boot_count: u64,
}

fn name(text: &str) -> Name {
    text.parse().expect("a valid literal")
}

fn vm(inbound: usize) -> Vm {
    Vm(name(&format!("vm{inbound}")))
}

fn inbound_index(vm: &Vm) -> usize {
    vm.as_str().trim_start_matches("vm").parse().expect("a VM name of the model")
}

/// Selects destinations in a fixed order that starts at `offset`, so that a key
/// always starts at the same one.
struct FixedSelector<'a> {
    destinations: &'a [Destination],
    offset: usize,
    attempts: &'a mut u128,
    suspects: &'a Suspects,
    fingerprint: Fingerprint,
}

impl Selector for FixedSelector<'_> {
    fn pick(&mut self, _: Duration, exclude: &[Vm], _: &[Vm]) -> Option<Destination> {
        let candidates =
            self.destinations.iter().cycle().skip(self.offset).take(self.destinations.len());
        candidates.into_iter().find(|destination| !exclude.contains(&destination.vm)).cloned()
    }

    fn locate(&mut self, _: Duration, vm: &Vm) -> Option<Destination> {
        self.destinations.iter().find(|destination| destination.vm == *vm).cloned()
    }

    fn spend_retry(&mut self) -> bool {
        true
    }

    fn spend_hedge(&mut self) -> bool {
        true
    }

    fn crash_backoff(&mut self, now: Duration) -> Option<Duration> {
        match self.suspects.verdict(now, self.fingerprint) {
            Verdict::Run => None,
            Verdict::Backoff(retry_after) => Some(retry_after),
        }
    }

    fn new_attempt_id(&mut self) -> AttemptId {
        *self.attempts += 1;
        AttemptId(*self.attempts)
    }
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Duration::from_secs(100),
            requests: Vec::new(),
            calls: BTreeMap::new(),
            sent: HashMap::new(),
            inbound: Vec::new(),
            destinations: vec![Vec::new(); OUTBOUND],
            outbound_suspects: vec![Suspects::default(); OUTBOUND],
            reports: Vec::new(),
            network: Vec::new(),
            claims: HashMap::new(),
            oracle: Oracle::default(),
            attempt_count: 0,
            boot_count: 0,
        };
        for index in 0..INBOUND {
            let inbound = world.new_inbound(index);
            world.inbound.push(inbound);
        }
        for outbound in 0..OUTBOUND {
            world.refresh(outbound);
        }
        world
    }

    fn new_inbound(&mut self, index: usize) -> Inbound {
        self.boot_count += 1;
        let policy = Policy { queue_per_slot: 2, ..Policy::default() };
        let mut intake = Intake::new(vm(index), self.boot_count, policy);
        intake.scheduler_mut().set_slots(SLOTS, self.now);
        intake.scheduler_mut().set_request_link(RequestLink::new(Some(REQUEST_LINK_MEGABITS)));
        Inbound {
            boot: self.boot_count,
            intake,
            pending_claims: Vec::new(),
            receiving: Vec::new(),
            running: Vec::new(),
            arrived_at: HashMap::new(),
            draining_since: None,
            // A daemon that starts asks a peer.
            suspects: self.outbound_suspects[0].clone(),
            target_run: TargetRun::default(),
        }
    }

    fn refresh(&mut self, outbound: usize) {
        let destination = |(index, inbound): (usize, &Inbound)| Destination {
            vm: vm(index),
            boot: inbound.boot,
            address: SocketAddr::from(([127, 0, 0, 1], index as u16)),
        };
        self.destinations[outbound] = self.inbound.iter().enumerate().map(destination).collect();
    }

    fn start(&mut self, step: &Transition) {
        let Transition::Start { outbound, key, repeatable, hedged, long, fatal } = step else {
            return;
        };
        let number = self.requests.len();
        let key = key.filter(|_| !repeatable);
        let key = key.map(|key| IdempotencyKey::new(&name("route"), "t", &key.to_string()));
        let deadline = self.now + Duration::from_secs(3);
        let work = key.map_or(Work::Single(number), Work::Keyed);
        let request = Request {
            fingerprint: if *fatal { FATAL } else { Fingerprint(number as u128) },
            number,
            work,
            repeatable: *repeatable,
            long: *long,
            outbound: *outbound,
            deadline,
        };
        self.requests.push(request);
        let constraints = Constraints {
            repeatable: *repeatable,
            keyed: key.is_some(),
            max_target_attempts: 3,
            may_retry: true,
            deadline,
            useful_until: None,
            min_attempt_time: Duration::ZERO,
            hedge_after: hedged.then_some(Duration::from_millis(200)),
            query_after: Duration::from_millis(500),
        };
        let mut selector = FixedSelector {
            destinations: &self.destinations[*outbound],
            offset: offset(work),
            attempts: &mut self.attempt_count,
            suspects: &self.outbound_suspects[*outbound],
            fingerprint: self.requests[number].fingerprint,
        };
        let (call, actions) = Call::start(self.now, constraints, &mut selector);
        self.calls.insert(number, call);
        self.execute_call_actions(number, actions);
    }

    fn handle_event(&mut self, number: usize, event: CallEvent) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let request = &self.requests[number];
        let mut selector = FixedSelector {
            destinations: &self.destinations[request.outbound],
            offset: offset(request.work),
            attempts: &mut self.attempt_count,
            suspects: &self.outbound_suspects[request.outbound],
            fingerprint: request.fingerprint,
        };
        let actions = call.handle(self.now, event, &mut selector);
        self.execute_call_actions(number, actions);
    }

    fn execute_call_actions(&mut self, number: usize, actions: Vec<CallAction>) {
        for action in actions {
            match action {
                CallAction::Send(attempt, destination) => self.send(number, attempt, &destination),
                CallAction::Query(attempt, _) => {
                    if let Some(sent) = self.sent.get(&attempt).cloned() {
                        let packet = Packet::Query { sent_at: sent.at, queried_at: self.now };
                        self.network.push(Message { attempt, inbound: sent.inbound, packet });
                    }
                }
                CallAction::Cancel(attempt) => {
                    if let Some(sent) = self.sent.get_mut(&attempt) {
                        sent.disconnected = true;
                        let (inbound, packet) = (sent.inbound, Packet::Cancel);
                        self.network.push(Message { attempt, inbound, packet });
                    }
                }
                CallAction::Finish(result) => {
                    let request = &self.requests[number];
                    self.oracle.record_result(request, result);
                    self.calls.remove(&number);
                }
            }
        }
    }

    fn send(&mut self, number: usize, attempt: AttemptId, destination: &Destination) {
        let request = &self.requests[number];
        let inbound = inbound_index(&destination.vm);
        let key = match request.work {
            Work::Keyed(key) => Some(key),
            Work::Single(_) => None,
        };
        let info = AttemptInfo {
            attempt,
            boot: destination.boot,
            class: if request.long { Class::Long } else { Class::Short },
            tenant: name("t"),
            in_workspace: false,
            weight: 1,
            rank: 1,
            route: "k".parse().expect("a valid literal"),
            body_bytes: if number.is_multiple_of(REQUESTS_PER_LARGE_BODY) {
                LARGE_BODY_BYTES
            } else {
                0
            },
            useful_until: None,
            may_spill: false,
            suspect: false,
            expected: None,
            deadline: Duration::ZERO,
            key,
            idempotency: Idempotency::Store,
        };
        let remaining = request.deadline.saturating_sub(self.now);
        let boot = destination.boot;
        let sent =
            SentAttempt { request: number, inbound, at: self.now, boot, disconnected: false };
        self.sent.insert(attempt, sent);
        self.network.push(Message {
            attempt,
            inbound,
            packet: Packet::Attempt { info, remaining },
        });
    }

    fn deliver<P: CallMutation>(&mut self, which: usize, duplicate: bool) {
        if which >= self.network.len() {
            return;
        }
        let message = self.network.remove(which);
        // An attempt is sent on one connection and cannot be duplicated.
        if duplicate && !matches!(message.packet, Packet::Attempt { .. }) {
            self.network.push(message.clone());
        }
        let Message { attempt, inbound, packet } = message;
        let now = self.now;
        match packet {
            Packet::Attempt { mut info, remaining } => {
                info.deadline = now + remaining;
                let target = &mut self.inbound[inbound];
                if P::IGNORE_BOOT {
                    info.boot = target.boot;
                }
                if P::IGNORE_DRAIN {
                    target.intake.set_draining(false);
                }
                target.arrived_at.insert(attempt, now);
                let actions = target.intake.arrive(now, info);
                self.execute_intake_actions::<P>(inbound, actions);
            }
            Packet::Response { result, origin } => self.deliver_response(attempt, result, origin),
            Packet::Query { sent_at, queried_at } => {
                let Some(boot) = self.sent.get(&attempt).map(|sent| sent.boot) else {
                    return;
                };
                let age = queried_at.saturating_sub(sent_at);
                let status = self.inbound[inbound].intake.query(now, attempt, boot, age);
                let packet = Packet::Status { status, queried_at };
                self.network.push(Message { attempt, inbound, packet });
            }
            Packet::Status { status, queried_at } => {
                let late = now.saturating_sub(queried_at) > QUERY_TIMEOUT;
                let status = if late { AttemptStatus::Unreachable } else { status };
                if let Some(sent) = self.sent.get(&attempt) {
                    let number = sent.request;
                    self.handle_event(number, CallEvent::StatusReceived(attempt, status));
                }
            }
            Packet::Cancel => self.cancel::<P>(attempt, inbound),
        }
    }

    fn deliver_response(
        &mut self,
        attempt: AttemptId,
        result: AttemptResult,
        origin: Option<Work>,
    ) {
        let Some(sent) = self.sent.get(&attempt) else {
            return;
        };
        if sent.disconnected {
            return;
        }
        let number = sent.request;
        if let (AttemptResult::Response, Some(origin)) = (&result, origin)
            && self.calls.contains_key(&number)
        {
            let work = self.requests[number].work;
            assert_eq!(origin, work, "a response went to another request");
        }
        self.handle_event(number, CallEvent::Responded(attempt, result));
    }

    fn cancel<P: CallMutation>(&mut self, attempt: AttemptId, inbound: usize) {
        let now = self.now;
        let actions = self.inbound[inbound].intake.cancel(now, attempt);
        for action in actions {
            let IntakeAction::Abort { attempt } = action else {
                self.execute_intake_actions::<P>(inbound, vec![action]);
                continue;
            };
            self.inbound[inbound].running.retain(|running| *running != attempt);
            let actions = self.inbound[inbound].intake.completed(now, attempt, Completion::Lost);
            self.execute_intake_actions::<P>(inbound, actions);
        }
    }

    fn execute_intake_actions<P: CallMutation>(
        &mut self,
        inbound: usize,
        actions: Vec<IntakeAction<Work>>,
    ) {
        for action in actions {
            match action {
                IntakeAction::Claim { attempt, key } => {
                    self.inbound[inbound].pending_claims.push((attempt, key));
                }
                IntakeAction::Receive { attempt, .. } => {
                    self.inbound[inbound].receiving.push(attempt);
                }
                IntakeAction::HandOver { attempt } => self.hand_over::<P>(inbound, attempt),
                IntakeAction::Abort { .. } => {}
                IntakeAction::Reply { attempt, reply } => {
                    let (result, origin) = attempt_result::<P>(reply);
                    let packet = Packet::Response { result, origin };
                    self.network.push(Message { attempt, inbound, packet });
                }
            }
        }
    }

    fn hand_over<P: CallMutation>(&mut self, inbound: usize, attempt: AttemptId) {
        if !self.begin_run::<P>(inbound, attempt) {
            return;
        }
        let target = &mut self.inbound[inbound];
        let arrived_at = target.arrived_at.get(&attempt).copied().unwrap_or_default();
        if let Some(since) = target.draining_since {
            assert!(arrived_at <= since, "a draining target got a new attempt");
        }
        target.running.push(attempt);
        assert!(
            target.running.len() <= SLOTS as usize,
            "a target runs more attempts than it has slots"
        );
    }

    fn claim<P: CallMutation>(&mut self, which: usize, condition: StoreCondition) {
        let mut pending = Vec::new();
        for (index, inbound) in self.inbound.iter().enumerate() {
            pending.extend(
                inbound.pending_claims.iter().map(|(attempt, key)| (index, *attempt, *key)),
            );
        }
        let Some((index, attempt, key)) = pending.get(which % pending.len().max(1)).copied() else {
            return;
        };
        let inbound = &mut self.inbound[index];
        inbound.pending_claims.retain(|(other, _)| *other != attempt);
        let own_claim = Claim { vm: vm(index), boot: inbound.boot };
        let result = match condition {
            StoreCondition::Unavailable => ClaimResult::Failed,
            StoreCondition::Normal | StoreCondition::ResponseLost => {
                let holder = self.claims.entry(key).or_insert((own_claim, attempt));
                match (condition, holder.1 == attempt) {
                    (StoreCondition::ResponseLost, _) => ClaimResult::Failed,
                    (_, true) => ClaimResult::Acquired,
                    (_, false) => ClaimResult::HeldBy(holder.0.clone()),
                }
            }
        };
        let result = if P::SKIP_CLAIM { ClaimResult::Acquired } else { result };
        let actions = self.inbound[index].intake.claimed(self.now, attempt, result);
        self.execute_intake_actions::<P>(index, actions);
    }

    fn finish<P: CallMutation>(&mut self, which: usize, outcome: TargetOutcome) {
        let mut running = Vec::new();
        for (index, inbound) in self.inbound.iter().enumerate() {
            running.extend(inbound.running.iter().map(|attempt| (index, *attempt)));
        }
        let Some((index, attempt)) = running.get(which % running.len().max(1)).copied() else {
            return;
        };
        let Some(sent) = self.sent.get(&attempt).cloned() else {
            return;
        };
        let request = self.requests[sent.request].clone();
        if request.fingerprint == FATAL {
            self.crash::<P>(index);
            return;
        }
        self.inbound[index].running.retain(|other| *other != attempt);
        self.end_run(index, attempt, request.fingerprint, outcome);
        let work = if P::SWAP_RESPONSES && which % 5 == 4 {
            Work::Single(usize::MAX)
        } else {
            request.work
        };
        let completion = match outcome {
            TargetOutcome::Rejected => Completion::Rejected,
            TargetOutcome::Responded | TargetOutcome::ConnectionLost => {
                self.oracle.record_run(&request);
                let saved = matches!(work, Work::Keyed(_)).then_some(work);
                if matches!(outcome, TargetOutcome::Responded) {
                    Completion::Responded(saved)
                } else {
                    Completion::Lost
                }
            }
        };
        if let Completion::Responded(_) = completion {
            let packet = Packet::Response { result: AttemptResult::Response, origin: Some(work) };
            self.network.push(Message { attempt, inbound: index, packet });
        }
        let actions = self.inbound[index].intake.completed(self.now, attempt, completion);
        self.execute_intake_actions::<P>(index, actions);
    }

    /// Breaks the connection of an attempt in flight. The attempt is still delivered
    /// if `arrives`; the outbound proxy learns of the break if `notify`.
    fn disconnect<P: CallMutation>(&mut self, which: usize, arrives: bool, notify: bool) {
        let mut open: Vec<AttemptId> =
            self.sent.iter().filter(|(_, sent)| !sent.disconnected).map(|(id, _)| *id).collect();
        open.sort_unstable();
        let Some(attempt) = open.iter().rev().nth(which).copied() else {
            return;
        };
        let Some(sent) = self.sent.get_mut(&attempt) else {
            return;
        };
        sent.disconnected = true;
        let number = sent.request;
        if !arrives {
            self.network.retain(|message| {
                message.attempt != attempt || !matches!(message.packet, Packet::Attempt { .. })
            });
        }
        if notify {
            let point =
                if P::TREAT_SENT_AS_NOT_RUN { FailurePoint::Connect } else { FailurePoint::Sent };
            self.handle_event(number, CallEvent::Failed(attempt, point));
        }
    }

    fn restart(&mut self, index: usize) {
        // Running calls go on at the target, but their responses are lost.
        let running = std::mem::take(&mut self.inbound[index].running);
        for attempt in running {
            if let Some(sent) = self.sent.get_mut(&attempt) {
                sent.disconnected = true;
                let request = self.requests[sent.request].clone();
                self.oracle.record_run(&request);
            }
        }
        self.inbound[index] = self.new_inbound(index);
        for sent in self.sent.values_mut().filter(|sent| sent.inbound == index) {
            sent.disconnected = true;
        }
    }

    fn drain(&mut self, index: usize, draining: bool) {
        let inbound = &mut self.inbound[index];
        inbound.intake.set_draining(draining);
        inbound.draining_since = match (draining, inbound.draining_since) {
            (true, Some(since)) => Some(since),
            (true, None) => Some(self.now),
            (false, _) => None,
        };
    }

    fn advance<P: CallMutation>(&mut self, time: Duration) {
        self.now += time;
        self.deliver_reports();
        let due: Vec<usize> = self
            .calls
            .iter()
            .filter(|(_, call)| call.next_wake() <= self.now)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            self.handle_event(number, CallEvent::Wake);
        }
        for index in 0..INBOUND {
            let actions = self.inbound[index].intake.sweep(self.now);
            self.execute_intake_actions::<P>(index, actions);
            self.end_bodies::<P>(index);
        }
        let overdue = self.calls.keys().any(|number| self.requests[*number].deadline < self.now);
        assert!(!overdue, "a call is not finished though its deadline has passed");
    }

    /// Ends the request bodies that are being received: those of attempts whose
    /// connection broke are truncated, the others are complete.
    fn end_bodies<P: CallMutation>(&mut self, index: usize) {
        for attempt in std::mem::take(&mut self.inbound[index].receiving) {
            let disconnected = self.sent.get(&attempt).is_some_and(|sent| sent.disconnected);
            let intake = &mut self.inbound[index].intake;
            let actions = if disconnected {
                intake.body_lost(self.now, attempt)
            } else {
                intake.body_received(self.now, attempt)
            };
            self.execute_intake_actions::<P>(index, actions);
        }
    }

    /// Ends all faults and checks that no call, attempt or slot remains in use.
    fn quiesce<P: CallMutation>(&mut self) {
        for _ in 0..40 {
            while !self.network.is_empty() {
                self.deliver::<P>(0, false);
            }
            self.claim::<P>(0, StoreCondition::Normal);
            self.finish::<P>(0, TargetOutcome::Responded);
            self.advance::<P>(Duration::from_millis(300));
        }
        assert!(self.calls.is_empty(), "unfinished calls remain after all faults ended");
        for inbound in &self.inbound {
            let unfinished = inbound.intake.unfinished();
            assert_eq!(unfinished, 0, "unfinished attempts remain after all faults ended");
            let load = inbound.intake.load(self.now);
            assert_eq!((load.running, load.queued), (0, 0), "slots are still occupied");
        }
    }
}

fn offset(work: Work) -> usize {
    match work {
        Work::Keyed(key) => key.0 as usize % INBOUND,
        Work::Single(number) => number % INBOUND,
    }
}

fn attempt_result<P: CallMutation>(reply: Reply<Work>) -> (AttemptResult, Option<Work>) {
    let retry_after = Duration::from_millis(100);
    match reply {
        Reply::NotRun { point, retry_after, .. } => {
            (AttemptResult::NotRun { point, retry_after }, None)
        }
        Reply::Replay(work) => (AttemptResult::Response, Some(work)),
        Reply::Ran => (AttemptResult::Ran, None),
        Reply::Unknown(FailurePoint::TargetLost) if P::FALSE_NOT_RUN => {
            (AttemptResult::NotRun { point: FailurePoint::TargetConnect, retry_after }, None)
        }
        Reply::Unknown(point) => (AttemptResult::Unknown(point), None),
        Reply::ClaimedBy(claim) => (AttemptResult::ClaimedBy(claim), None),
    }
}

impl<P: CallMutation> StateMachineTest for Calls<P> {
    type SystemUnderTest = World;
    type Reference = Stateless<Transition>;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        match transition {
            Transition::Start { .. } => world.start(&transition),
            Transition::Deliver { which, duplicate } => world.deliver::<P>(which, duplicate),
            Transition::Disconnect { which, arrives } => {
                world.disconnect::<P>(which, arrives, true);
            }
            Transition::Stall { which, arrives } => world.disconnect::<P>(which, arrives, false),
            Transition::Claim { which, condition } => world.claim::<P>(which, condition),
            Transition::Finish { which, outcome } => world.finish::<P>(which, outcome),
            Transition::Restart { inbound } => world.restart(inbound),
            Transition::Drain { inbound, on } => world.drain(inbound, on),
            Transition::RefreshDestinations { outbound } => world.refresh(outbound),
            Transition::Advance { ms } => world.advance::<P>(Duration::from_millis(ms.into())),
            Transition::Quiesce => world.quiesce::<P>(),
        }
        world
    }
}
