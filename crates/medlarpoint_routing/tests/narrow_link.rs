//! Demand for uploads beyond the links of their targets.
//!
//! Five targets on links of 10 Mbit/s get 1.15 times the uploads that the links carry,
//! beside short calls. Uploads are admitted by the bytes of the link and by slots, so
//! that the links are used, short calls find room, and no upload is received in vain.

use std::collections::BTreeMap;
use std::time::Duration;

use medlarpoint_model::{Class, Name, Policy};
use medlarpoint_routing::{
    Admission, AttemptId, Decision, Rejection, RequestLink, Scheduler, Ticket,
};

const TARGETS: usize = 5;
const SLOTS: u32 = 12;
const LINK_MEGABITS: f64 = 10.0;
const UPLOAD_BYTES: usize = 60_000;
/// Uploads per second: 57 Mbit/s, for links of 50 Mbit/s.
const UPLOAD_RATE: f64 = 119.0;
/// Short calls per second.
const SHORT_RATE: f64 = 535.0;
const UPLOAD_TIME: Duration = Duration::from_millis(220);
const SHORT_TIME: Duration = Duration::from_millis(45);
const UPLOAD_USEFUL: Duration = Duration::from_millis(2_500);
const SHORT_USEFUL: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_secs(6);
const LENGTH: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Upload,
    Short,
}

#[derive(Clone, Debug)]
enum Event {
    Arrival(Kind),
    Received { target: usize, ticket: Ticket },
    Done { target: usize, attempt: AttemptId },
}

#[derive(Debug, Default)]
struct Tally {
    offered: u32,
    in_time: u32,
    late: u32,
    received: u32,
    rejected_after_receipt: u32,
}

struct World {
    now: Duration,
    targets: Vec<Scheduler>,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    calls: BTreeMap<AttemptId, (Kind, Duration)>,
    uploads: Tally,
    short: Tally,
    /// Longest time for which an admitted upload waits for the link.
    longest_wait: Duration,
}

fn route(kind: Kind) -> Name {
    let name = match kind {
        Kind::Upload => "upload",
        Kind::Short => "short",
    };
    name.parse().expect("a valid literal")
}

fn service_time(kind: Kind) -> Duration {
    match kind {
        Kind::Upload => UPLOAD_TIME,
        Kind::Short => SHORT_TIME,
    }
}

impl World {
    fn new() -> Self {
        let policy = Policy::default();
        let target = || {
            let mut target = Scheduler::new(SLOTS, policy.clone());
            target.set_request_link(RequestLink::new(Some(LINK_MEGABITS)));
            target
        };
        Self {
            now: Duration::ZERO,
            targets: (0..TARGETS).map(|_| target()).collect(),
            events: BTreeMap::new(),
            sequence: 0,
            calls: BTreeMap::new(),
            uploads: Tally::default(),
            short: Tally::default(),
            longest_wait: Duration::ZERO,
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn schedule_arrivals(&mut self, kind: Kind, rate: f64) {
        let count = (LENGTH.as_secs_f64() * rate) as u32;
        for index in 0..count {
            let at = Duration::from_secs_f64(f64::from(index) / rate);
            self.schedule(at, Event::Arrival(kind));
        }
    }

    fn run(mut self) -> Self {
        self.schedule_arrivals(Kind::Upload, UPLOAD_RATE);
        self.schedule_arrivals(Kind::Short, SHORT_RATE);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            match event {
                Event::Arrival(kind) => self.arrive(kind),
                Event::Received { target, ticket } => self.receive(target, ticket),
                Event::Done { target, attempt } => self.finish(target, attempt),
            }
        }
        self
    }

    fn tally(&mut self, kind: Kind) -> &mut Tally {
        match kind {
            Kind::Upload => &mut self.uploads,
            Kind::Short => &mut self.short,
        }
    }

    fn ticket(&self, kind: Kind) -> Ticket {
        let (body_bytes, useful, rank) = match kind {
            Kind::Upload => (UPLOAD_BYTES, UPLOAD_USEFUL, 2),
            Kind::Short => (0, SHORT_USEFUL, 1),
        };
        Ticket {
            attempt: AttemptId(u128::from(self.sequence)),
            class: Class::Short,
            tenant: "t".parse().expect("a valid literal"),
            in_workspace: false,
            weight: 1,
            rank,
            route: route(kind),
            body_bytes,
            useful_until: Some(self.now + useful),
            may_spill: true,
            suspect: false,
            expected: None,
            arrived: self.now,
            deadline: self.now + TIMEOUT,
        }
    }

    /// Offers a call to the targets, those with the shortest wait first.
    fn arrive(&mut self, kind: Kind) {
        self.sequence += 1;
        self.tally(kind).offered += 1;
        let ticket = self.ticket(kind);
        let mut order: Vec<usize> = (0..TARGETS).collect();
        order.sort_by_key(|target| {
            let load = self.targets[*target].load(self.now);
            match kind {
                Kind::Upload => load.receive_ms,
                Kind::Short => load.running + load.queued,
            }
        });
        for target in order {
            let (admission, displaced) = self.targets[target].arrive(self.now, ticket.clone());
            self.apply(target, displaced.into_iter().collect());
            match admission {
                Admission::Rejected(Rejection::Busy, _) => {}
                Admission::Rejected(..) => return,
                Admission::Run => return self.start(target, kind, ticket.attempt),
                Admission::Queued => {
                    self.calls.insert(ticket.attempt, (kind, self.now));
                    return;
                }
                Admission::Receive(start) => {
                    self.uploads.received += 1;
                    self.longest_wait = self.longest_wait.max(start.saturating_sub(self.now));
                    let transfer = UPLOAD_BYTES as f64 * 8.0 / (LINK_MEGABITS * 1e6);
                    let received_at = start + Duration::from_secs_f64(transfer);
                    self.schedule(received_at, Event::Received { target, ticket });
                    return;
                }
            }
        }
    }

    fn receive(&mut self, target: usize, ticket: Ticket) {
        let attempt = ticket.attempt;
        let arrived = ticket.arrived;
        self.targets[target].request_link_mut().body_ended(ticket.body_bytes);
        let ticket = Ticket { body_bytes: 0, may_spill: false, ..ticket };
        let (admission, displaced) = self.targets[target].arrive(self.now, ticket);
        self.apply(target, displaced.into_iter().collect());
        self.calls.insert(attempt, (Kind::Upload, arrived));
        match admission {
            Admission::Run => self.start(target, Kind::Upload, attempt),
            Admission::Queued => {}
            Admission::Receive(_) | Admission::Rejected(..) => {
                self.uploads.rejected_after_receipt += 1;
            }
        }
    }

    fn start(&mut self, target: usize, kind: Kind, attempt: AttemptId) {
        self.calls.entry(attempt).or_insert((kind, self.now));
        self.schedule(self.now + service_time(kind), Event::Done { target, attempt });
    }

    fn finish(&mut self, target: usize, attempt: AttemptId) {
        let (kind, arrived) = self.calls.remove(&attempt).expect("a call that runs");
        let useful = match kind {
            Kind::Upload => UPLOAD_USEFUL,
            Kind::Short => SHORT_USEFUL,
        };
        let in_time = self.now <= arrived + useful;
        let tally = self.tally(kind);
        if in_time {
            tally.in_time += 1;
        } else {
            tally.late += 1;
        }
        let took = Some(service_time(kind));
        let decisions = self.targets[target].release(self.now, Class::Short, &route(kind), took);
        self.apply(target, decisions);
    }

    fn apply(&mut self, target: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Run(attempt) => {
                    let (kind, _) = self.calls[&attempt];
                    self.start(target, kind, attempt);
                }
                Decision::Rejected(attempt, ..) => {
                    let (kind, _) = self.calls.remove(&attempt).expect("a queued call");
                    self.tally(kind).rejected_after_receipt += u32::from(kind == Kind::Upload);
                }
            }
        }
    }
}

#[test]
fn uploads_beyond_the_links_leave_room_for_short_calls() {
    let world = World::new().run();
    let World { uploads, short, longest_wait, .. } = world;
    assert_eq!(uploads.rejected_after_receipt, 0, "{uploads:?}");
    assert_eq!(uploads.late, 0, "{uploads:?}");
    assert!(longest_wait < UPLOAD_USEFUL, "{longest_wait:?}");
    // The links carry 0.87 of the demand, and 0.85 of that is left to uploads.
    assert!(f64::from(uploads.in_time) >= 0.7 * f64::from(uploads.offered), "{uploads:?}");
    let megabits = f64::from(uploads.received) * UPLOAD_BYTES as f64 * 8.0 / 1e6;
    let carried = (LENGTH + longest_wait).as_secs_f64() * LINK_MEGABITS * TARGETS as f64;
    assert!(megabits <= 0.9 * carried, "{megabits} of {carried} Mbit");
    assert!(f64::from(short.in_time) >= 0.99 * f64::from(short.offered), "{short:?}");
}
