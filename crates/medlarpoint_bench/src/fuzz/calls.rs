//! Outbound and inbound proxies against an oracle that counts executions.

mod oracle;
mod step;

use std::collections::{BTreeMap, HashMap};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use medlarpoint_model::{Class, Idempotency, Name, Policy, Vm};
use medlarpoint_routing::{
    AttemptId, AttemptInfo, AttemptResult, AttemptStatus, Call, CallAction, CallEvent, Claim,
    ClaimResult, Completion, Constraints, Destination, FailurePoint, IdempotencyKey, Intake,
    IntakeAction, Reply, Selector,
};
use proptest_state_machine::StateMachineTest;

use oracle::{Oracle, Request, Work};
use step::{End, Fate, Transition};

use super::steps::Steps;

/// Outbound proxies in the model.
const OUTBOUND: usize = 2;
/// Inbound proxies in the model, each with a target.
const INBOUND: usize = 3;
/// Slots of a target.
const SLOTS: u32 = 2;
/// Idempotency keys in use.
const KEYS: u8 = 4;
/// Longest time a question may be under way; later answers are ignored.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// A fault planted in the model to show that the oracle finds it.
pub trait CallMutation: std::fmt::Debug + Clone + 'static {
    /// Takes a broken connection for a proof that nothing ran.
    const TRUST_BROKEN: bool = false;
    /// Hands keyed calls over without a claim.
    const SKIP_CLAIM: bool = false;
    /// Says "not run" of a call whose target was lost.
    const FALSE_NOT_RUN: bool = false;
    /// Does not look at the run an attempt is meant for.
    const IGNORE_BOOT: bool = false;
    /// Goes on taking work while draining.
    const IGNORE_DRAIN: bool = false;
    /// Mixes up two answers.
    const SWAP_ANSWERS: bool = false;
}

impl CallMutation for () {}

/// The test; `P` plants a fault.
#[derive(Debug)]
pub struct Calls<P>(PhantomData<P>);

#[derive(Clone, Debug)]
enum Packet {
    /// An attempt on its way to an inbound proxy.
    Attempt {
        head: AttemptInfo,
        left: Duration,
    },
    /// What the inbound proxy says; the origin of an answer travels with it.
    Answer {
        verdict: AttemptResult,
        origin: Option<Work>,
    },
    Query {
        sent: Duration,
        asked: Duration,
    },
    Known {
        known: AttemptStatus,
        asked: Duration,
    },
    Cancel,
}

#[derive(Clone, Debug)]
struct Envelope {
    attempt: AttemptId,
    inbound: usize,
    packet: Packet,
}

#[derive(Debug)]
struct Inbound {
    boot: u64,
    intake: Intake<Work>,
    claiming: Vec<(AttemptId, IdempotencyKey)>,
    running: Vec<AttemptId>,
    arrived: HashMap<AttemptId, Duration>,
    draining_since: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Sent {
    request: usize,
    inbound: usize,
    at: Duration,
    /// Run the attempt was meant for.
    boot: u64,
    /// No answer can come back.
    mute: bool,
}

/// The system under test.
#[derive(Debug)]
pub struct World {
    now: Duration,
    requests: Vec<Request>,
    calls: BTreeMap<usize, Call>,
    sent: HashMap<AttemptId, Sent>,
    inbound: Vec<Inbound>,
    views: Vec<Vec<Destination>>,
    network: Vec<Envelope>,
    claims: HashMap<IdempotencyKey, (Claim, AttemptId)>,
    oracle: Oracle,
    attempts: u128,
    boots: u64,
}

fn name(text: &str) -> Name {
    text.parse().expect("a valid literal")
}

fn vm(inbound: usize) -> Vm {
    Vm(name(&format!("vm{inbound}")))
}

fn number(vm: &Vm) -> usize {
    vm.as_str().trim_start_matches("vm").parse().expect("a name of the model")
}

/// Chooses in order of the view, so that views decide where keys lead.
struct Chooser<'a> {
    view: &'a [Destination],
    offset: usize,
    attempts: &'a mut u128,
}

impl Selector for Chooser<'_> {
    fn pick(&mut self, _: Duration, exclude: &[Vm], _: &[Vm]) -> Option<Destination> {
        let turn = self.view.iter().cycle().skip(self.offset).take(self.view.len());
        turn.into_iter().find(|choice| !exclude.contains(&choice.vm)).cloned()
    }

    fn locate(&mut self, _: Duration, vm: &Vm) -> Option<Destination> {
        self.view.iter().find(|choice| choice.vm == *vm).cloned()
    }

    fn spend_retry(&mut self) -> bool {
        true
    }

    fn spend_hedge(&mut self) -> bool {
        true
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
            views: vec![Vec::new(); OUTBOUND],
            network: Vec::new(),
            claims: HashMap::new(),
            oracle: Oracle::default(),
            attempts: 0,
            boots: 0,
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
        self.boots += 1;
        let policy = Policy { ramp_ms: 0, queue_per_slot: 2, ..Policy::default() };
        let mut intake = Intake::new(vm(index), self.boots, policy, self.now);
        intake.scheduler_mut().set_slots(SLOTS, self.now);
        Inbound {
            boot: self.boots,
            intake,
            claiming: Vec::new(),
            running: Vec::new(),
            arrived: HashMap::new(),
            draining_since: None,
        }
    }

    fn refresh(&mut self, outbound: usize) {
        let choice = |(index, inbound): (usize, &Inbound)| Destination {
            vm: vm(index),
            boot: inbound.boot,
            address: SocketAddr::from(([127, 0, 0, 1], index as u16)),
        };
        self.views[outbound] = self.inbound.iter().enumerate().map(choice).collect();
    }

    fn start(&mut self, step: &Transition) {
        let Transition::Start { outbound, key, repeatable, hedged, long } = step else {
            return;
        };
        let number = self.requests.len();
        let key = key.filter(|_| !repeatable);
        let key = key.map(|key| IdempotencyKey::new(&name("route"), "t", &key.to_string()));
        let deadline = self.now + Duration::from_secs(3);
        let work = key.map_or(Work::Single(number), Work::Keyed);
        let request = Request {
            number,
            work,
            repeatable: *repeatable,
            long: *long,
            outbound: *outbound,
            deadline,
        };
        self.requests.push(request);
        let terms = Constraints {
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
        let mut chooser = Chooser {
            view: &self.views[*outbound],
            offset: offset(work),
            attempts: &mut self.attempts,
        };
        let (call, actions) = Call::start(self.now, terms, &mut chooser);
        self.calls.insert(number, call);
        self.perform_call(number, actions);
    }

    fn event(&mut self, number: usize, event: CallEvent) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let request = &self.requests[number];
        let mut chooser = Chooser {
            view: &self.views[request.outbound],
            offset: offset(request.work),
            attempts: &mut self.attempts,
        };
        let actions = call.handle(self.now, event, &mut chooser);
        self.perform_call(number, actions);
    }

    fn perform_call(&mut self, number: usize, actions: Vec<CallAction>) {
        for action in actions {
            match action {
                CallAction::Send(attempt, choice) => self.send(number, attempt, &choice),
                CallAction::Query(attempt, _) => {
                    if let Some(sent) = self.sent.get(&attempt).cloned() {
                        let packet = Packet::Query { sent: sent.at, asked: self.now };
                        self.network.push(Envelope { attempt, inbound: sent.inbound, packet });
                    }
                }
                CallAction::Cancel(attempt) => {
                    if let Some(sent) = self.sent.get_mut(&attempt) {
                        sent.mute = true;
                        let (inbound, packet) = (sent.inbound, Packet::Cancel);
                        self.network.push(Envelope { attempt, inbound, packet });
                    }
                }
                CallAction::Finish(outcome) => {
                    let request = &self.requests[number];
                    self.oracle.told(request, outcome);
                    self.calls.remove(&number);
                }
            }
        }
    }

    fn send(&mut self, number: usize, attempt: AttemptId, choice: &Destination) {
        let request = &self.requests[number];
        let inbound = self::number(&choice.vm);
        let key = match request.work {
            Work::Keyed(key) => Some(key),
            Work::Single(_) => None,
        };
        let head = AttemptInfo {
            attempt,
            boot: choice.boot,
            class: if request.long { Class::Long } else { Class::Short },
            tenant: name("t"),
            weight: 1,
            rank: 1,
            route: "k".parse().expect("a valid literal"),
            useful_until: None,
            may_spill: false,
            deadline: Duration::ZERO,
            key,
            idempotency: Idempotency::Store,
        };
        let left = request.deadline.saturating_sub(self.now);
        let boot = choice.boot;
        let sent = Sent { request: number, inbound, at: self.now, boot, mute: false };
        self.sent.insert(attempt, sent);
        self.network.push(Envelope { attempt, inbound, packet: Packet::Attempt { head, left } });
    }

    fn deliver<P: CallMutation>(&mut self, which: usize, again: bool) {
        if which >= self.network.len() {
            return;
        }
        let envelope = self.network.remove(which);
        // An attempt is sent on one connection, so it cannot arrive twice.
        if again && !matches!(envelope.packet, Packet::Attempt { .. }) {
            self.network.push(envelope.clone());
        }
        let Envelope { attempt, inbound, packet } = envelope;
        let now = self.now;
        match packet {
            Packet::Attempt { mut head, left } => {
                head.deadline = now + left;
                let target = &mut self.inbound[inbound];
                if P::IGNORE_BOOT {
                    head.boot = target.boot;
                }
                if P::IGNORE_DRAIN {
                    target.intake.set_draining(false);
                }
                target.arrived.insert(attempt, now);
                let actions = target.intake.arrive(now, head);
                self.perform_intake::<P>(inbound, actions);
            }
            Packet::Answer { verdict, origin } => self.answer(attempt, verdict, origin),
            Packet::Query { sent, asked } => {
                let Some(boot) = self.sent.get(&attempt).map(|sent| sent.boot) else {
                    return;
                };
                let age = asked.saturating_sub(sent);
                let known = self.inbound[inbound].intake.query(now, attempt, boot, age);
                let packet = Packet::Known { known, asked };
                self.network.push(Envelope { attempt, inbound, packet });
            }
            Packet::Known { known, asked } => {
                let late = now.saturating_sub(asked) > QUERY_TIMEOUT;
                let known = if late { AttemptStatus::Unreachable } else { known };
                if let Some(sent) = self.sent.get(&attempt) {
                    let number = sent.request;
                    self.event(number, CallEvent::StatusReceived(attempt, known));
                }
            }
            Packet::Cancel => self.cancel::<P>(attempt, inbound),
        }
    }

    fn answer(&mut self, attempt: AttemptId, verdict: AttemptResult, origin: Option<Work>) {
        let Some(sent) = self.sent.get(&attempt) else {
            return;
        };
        if sent.mute {
            return;
        }
        let number = sent.request;
        if let (AttemptResult::Response, Some(origin)) = (&verdict, origin)
            && self.calls.contains_key(&number)
        {
            let work = self.requests[number].work;
            assert_eq!(origin, work, "an answer went to another request");
        }
        self.event(number, CallEvent::Responded(attempt, verdict));
    }

    fn cancel<P: CallMutation>(&mut self, attempt: AttemptId, inbound: usize) {
        let now = self.now;
        let actions = self.inbound[inbound].intake.cancel(now, attempt);
        for action in actions {
            if let IntakeAction::Abort { attempt } = action {
                self.inbound[inbound].running.retain(|running| *running != attempt);
                let ended = self.inbound[inbound].intake.completed(now, attempt, Completion::Lost);
                self.perform_intake::<P>(inbound, ended);
            }
        }
    }

    fn perform_intake<P: CallMutation>(
        &mut self,
        inbound: usize,
        actions: Vec<IntakeAction<Work>>,
    ) {
        for action in actions {
            match action {
                IntakeAction::Claim { attempt, key } => {
                    self.inbound[inbound].claiming.push((attempt, key));
                }
                IntakeAction::HandOver { attempt } => self.hand_over(inbound, attempt),
                IntakeAction::Abort { .. } => {}
                IntakeAction::Reply { attempt, reply } => {
                    let (verdict, origin) = verdict::<P>(reply);
                    let packet = Packet::Answer { verdict, origin };
                    self.network.push(Envelope { attempt, inbound, packet });
                }
            }
        }
    }

    fn hand_over(&mut self, inbound: usize, attempt: AttemptId) {
        let target = &mut self.inbound[inbound];
        let arrived = target.arrived.get(&attempt).copied().unwrap_or_default();
        if let Some(since) = target.draining_since {
            assert!(arrived <= since, "a draining target got new work");
        }
        target.running.push(attempt);
        assert!(target.running.len() <= SLOTS as usize, "a target got more than its slots");
    }

    fn claim<P: CallMutation>(&mut self, which: usize, fate: Fate) {
        let mut pending = Vec::new();
        for (index, inbound) in self.inbound.iter().enumerate() {
            pending.extend(inbound.claiming.iter().map(|(attempt, key)| (index, *attempt, *key)));
        }
        let Some((index, attempt, key)) = pending.get(which % pending.len().max(1)).copied() else {
            return;
        };
        let inbound = &mut self.inbound[index];
        inbound.claiming.retain(|(other, _)| *other != attempt);
        let mine = Claim { vm: vm(index), boot: inbound.boot };
        let result = match fate {
            Fate::Down => ClaimResult::Failed,
            Fate::Normal | Fate::Lost => {
                let holder = self.claims.entry(key).or_insert((mine, attempt));
                match (fate, holder.1 == attempt) {
                    (Fate::Lost, _) => ClaimResult::Failed,
                    (_, true) => ClaimResult::Acquired,
                    (_, false) => ClaimResult::HeldBy(holder.0.clone()),
                }
            }
        };
        let result = if P::SKIP_CLAIM { ClaimResult::Acquired } else { result };
        let actions = self.inbound[index].intake.claimed(self.now, attempt, result);
        self.perform_intake::<P>(index, actions);
    }

    fn finish<P: CallMutation>(&mut self, which: usize, end: End) {
        let mut running = Vec::new();
        for (index, inbound) in self.inbound.iter().enumerate() {
            running.extend(inbound.running.iter().map(|attempt| (index, *attempt)));
        }
        let Some((index, attempt)) = running.get(which % running.len().max(1)).copied() else {
            return;
        };
        self.inbound[index].running.retain(|other| *other != attempt);
        let Some(sent) = self.sent.get(&attempt).cloned() else {
            return;
        };
        let request = self.requests[sent.request].clone();
        let work =
            if P::SWAP_ANSWERS && which % 5 == 4 { Work::Single(usize::MAX) } else { request.work };
        let ended = match end {
            End::Refused => Completion::NotRun,
            End::Answered | End::Broken => {
                self.oracle.ran(&request);
                let kept = matches!(work, Work::Keyed(_)).then_some(work);
                if matches!(end, End::Answered) {
                    Completion::Responded(kept)
                } else {
                    Completion::Lost
                }
            }
        };
        if let Completion::Responded(_) = ended {
            let packet = Packet::Answer { verdict: AttemptResult::Response, origin: Some(work) };
            self.network.push(Envelope { attempt, inbound: index, packet });
        }
        let actions = self.inbound[index].intake.completed(self.now, attempt, ended);
        self.perform_intake::<P>(index, actions);
    }

    /// Ends the connection of an attempt under way; what was sent may arrive.
    fn cut<P: CallMutation>(&mut self, which: usize, arrives: bool, notice: bool) {
        let mut open: Vec<AttemptId> =
            self.sent.iter().filter(|(_, sent)| !sent.mute).map(|(id, _)| *id).collect();
        open.sort_unstable();
        let Some(attempt) = open.iter().rev().nth(which).copied() else {
            return;
        };
        let Some(sent) = self.sent.get_mut(&attempt) else {
            return;
        };
        sent.mute = true;
        let number = sent.request;
        if !arrives {
            self.network.retain(|envelope| {
                envelope.attempt != attempt || !matches!(envelope.packet, Packet::Attempt { .. })
            });
        }
        if notice {
            let point = if P::TRUST_BROKEN { FailurePoint::Connect } else { FailurePoint::Sent };
            self.event(number, CallEvent::Failed(attempt, point));
        }
    }

    fn restart(&mut self, index: usize) {
        // What runs at the target goes on and ends unseen.
        let running = std::mem::take(&mut self.inbound[index].running);
        for attempt in running {
            if let Some(sent) = self.sent.get_mut(&attempt) {
                sent.mute = true;
                let request = self.requests[sent.request].clone();
                self.oracle.ran(&request);
            }
        }
        self.inbound[index] = self.new_inbound(index);
        for sent in self.sent.values_mut().filter(|sent| sent.inbound == index) {
            sent.mute = true;
        }
    }

    fn drain(&mut self, index: usize, on: bool) {
        let inbound = &mut self.inbound[index];
        inbound.intake.set_draining(on);
        inbound.draining_since = match (on, inbound.draining_since) {
            (true, Some(since)) => Some(since),
            (true, None) => Some(self.now),
            (false, _) => None,
        };
    }

    fn pass<P: CallMutation>(&mut self, time: Duration) {
        self.now += time;
        let due: Vec<usize> = self
            .calls
            .iter()
            .filter(|(_, call)| call.next_wake() <= self.now)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            self.event(number, CallEvent::Wake);
        }
        for index in 0..INBOUND {
            let actions = self.inbound[index].intake.sweep(self.now);
            self.perform_intake::<P>(index, actions);
        }
        let overdue = self.calls.keys().any(|number| self.requests[*number].deadline < self.now);
        assert!(!overdue, "a call is not over though its deadline has passed");
    }

    /// Everything works again: nothing may be left over.
    fn quiet<P: CallMutation>(&mut self) {
        for _ in 0..40 {
            while !self.network.is_empty() {
                self.deliver::<P>(0, false);
            }
            self.claim::<P>(0, Fate::Normal);
            self.finish::<P>(0, End::Answered);
            self.pass::<P>(Duration::from_millis(300));
        }
        assert!(self.calls.is_empty(), "calls are left over though all is quiet");
        for inbound in &self.inbound {
            let left = inbound.intake.unfinished();
            assert_eq!(left, 0, "attempts are left over though all is quiet");
            let load = inbound.intake.load(self.now);
            assert_eq!((load.running, load.queued), (0, 0), "slots are left over");
        }
    }
}

fn offset(work: Work) -> usize {
    match work {
        Work::Keyed(key) => key.0 as usize % INBOUND,
        Work::Single(number) => number % INBOUND,
    }
}

fn verdict<P: CallMutation>(reply: Reply<Work>) -> (AttemptResult, Option<Work>) {
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
    type Reference = Steps<Transition>;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        match transition {
            Transition::Start { .. } => world.start(&transition),
            Transition::Deliver { which, again } => world.deliver::<P>(which, again),
            Transition::Break { which, arrives } => world.cut::<P>(which, arrives, true),
            Transition::Silence { which, arrives } => world.cut::<P>(which, arrives, false),
            Transition::Claim { which, fate } => world.claim::<P>(which, fate),
            Transition::Finish { which, end } => world.finish::<P>(which, end),
            Transition::Restart { inbound } => world.restart(inbound),
            Transition::Drain { inbound, on } => world.drain(inbound, on),
            Transition::Refresh { outbound } => world.refresh(outbound),
            Transition::Pass { ms } => world.pass::<P>(Duration::from_millis(ms.into())),
            Transition::Quiet => world.quiet::<P>(),
        }
        world
    }
}
