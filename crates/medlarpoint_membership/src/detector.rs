//! The failure detector.
//!
//! Probing with indirect probes, suspicion and refutation after SWIM (Das,
//! Gupta, Motivala, 2002), with a local health guard: a daemon whose own
//! probes fail or whose clock jumps doubts itself before it doubts others.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{DataCentre, Name, Vm};
use medlarpoint_wire::{
    Body, Boot, Gossip, Incarnation, Record, Stage, Status, Summary, SyncReply, SyncRequest, Tip,
    View,
};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};

use crate::queue::Queue;
use crate::table::Merged;
use crate::{Options, Summaries, Table};

/// Records that fit beside the rest of a datagram.
const RECORDS_PER_DATAGRAM: usize = 4;
/// Members told at once of an urgent change of the own record.
const URGENT_FANOUT: usize = 6;
/// Probes per period that a data centre sends to members taken for dead.
const DEAD_RATE: f64 = 1.0;
/// Time after it went in which a member is likely to come back.
const RETURN_TIME: Duration = Duration::from_secs(30);
/// Highest factor by which a daemon in doubt of itself slows down.
const MAX_HEALTH: u32 = 4;
/// A gap between ticks of this many periods is taken for a local pause.
const PAUSE_PERIODS: u32 = 3;
/// Data centres with at most this many live members are also watched from
/// the others, since they may have nobody left to watch.
const SMALL_DATA_CENTRE: usize = 3;

/// Something for the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Content.
        body: Body,
    },
    /// Compare tables with a peer over a request.
    Sync {
        /// Receiver.
        to: SocketAddr,
        /// Data centres to compare; empty compares all.
        data_centres: Vec<DataCentre>,
    },
}

/// A change of the member table.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member is new, returned, or its liveness changed.
    StatusChanged {
        /// The member.
        vm: Vm,
        /// Liveness before; `None` when it was unknown.
        from: Option<Status>,
        /// Liveness now.
        to: Status,
    },
    /// A member runs anew, or its target changed.
    RecordChanged(Vm),
    /// A data centre has a higher version in force.
    VersionAdvanced(Summary),
    /// The local process was paused.
    Paused(Duration),
}

#[derive(Clone, Debug)]
struct Probe {
    seq: u64,
    vm: Vm,
    started: Duration,
    asked_others: bool,
}

#[derive(Clone, Debug)]
struct Errand {
    origin: SocketAddr,
    origin_seq: u64,
    started: Duration,
}

/// One member's view of the fleet.
#[derive(Debug)]
pub struct Detector {
    options: Options,
    me: Record,
    tip: Tip,
    table: Table,
    summaries: Summaries,
    queue: Queue,
    order: Vec<Vm>,
    probe: Option<Probe>,
    errands: IndexMap<u64, Errand>,
    remote: IndexMap<Vm, Duration>,
    seq: u64,
    health: u32,
    next_probe: Duration,
    last_tick: Duration,
    last_sync: Option<Duration>,
    mismatched: bool,
    /// The own record was renewed to answer a false one, and must be told.
    refuted: bool,
    rng: StdRng,
    events: Vec<Event>,
}

impl Detector {
    /// Creates a detector that knows only itself.
    pub fn new(options: Options, me: Record, now: Duration, seed: u64) -> Self {
        let mut detector = Self {
            options,
            me,
            tip: Tip::default(),
            table: Table::default(),
            summaries: Summaries::default(),
            queue: Queue::default(),
            order: Vec::new(),
            probe: None,
            errands: IndexMap::new(),
            remote: IndexMap::new(),
            seq: 0,
            health: 0,
            next_probe: now,
            last_tick: now,
            last_sync: None,
            mismatched: false,
            refuted: false,
            rng: StdRng::seed_from_u64(seed),
            events: Vec::new(),
        };
        detector.publish(now);
        detector
    }

    /// Returns the periods and limits.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the own record.
    pub fn local_record(&self) -> &Record {
        &self.me
    }

    /// Returns the member table, which includes the own record.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the newest summaries.
    pub fn summaries(&self) -> &Summaries {
        &self.summaries
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Sets the version that probes carry.
    pub fn set_tip(&mut self, tip: Tip) {
        self.tip = tip;
    }

    /// Takes a summary made by this daemon or received by request.
    pub fn merge_summary(&mut self, summary: &Summary, now: Duration) {
        if self.summaries.merge(summary, now) {
            self.events.push(Event::VersionAdvanced(summary.clone()));
        }
    }

    /// Changes the own record and tells a few members at once.
    pub fn announce(&mut self, now: Duration, change: impl FnOnce(&mut Record)) -> Vec<Action> {
        change(&mut self.me);
        self.me.incarnation.0 += 1;
        self.publish(now);
        self.tell_urgently(now)
    }

    /// Leaves on purpose and tells a few members at once.
    pub fn leave(&mut self, now: Duration) -> Vec<Action> {
        if let Some(target) = &mut self.me.target {
            target.stage = Stage::Draining;
        }
        self.me.incarnation.0 += 1;
        self.me.status = Status::Left;
        self.publish(now);
        self.tell_urgently(now)
    }

    /// Advances time: probes, suspects, declares dead, forgets.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.guard_against_pause(now);
        self.check_probe(now, &mut actions);
        self.check_remote(now);
        self.expire_suspects(now);
        if std::mem::take(&mut self.refuted) {
            actions.extend(self.tell_urgently(now));
            actions.extend(self.tell_dead());
        }
        if now >= self.next_probe && self.me.status != Status::Left {
            let slow = self.options.period * self.health.div_ceil(2);
            self.next_probe = now + self.options.period + slow;
            self.start_probe(now, &mut actions);
            self.sample_others(now, &mut actions);
            self.try_dead(now, &mut actions);
            actions.extend(self.tell_returning(now));
            self.table.forget(now.saturating_sub(self.options.tombstone_retention));
        }
        actions
    }

    /// Takes a datagram that concerns membership. Other bodies are ignored.
    pub fn receive(
        &mut self,
        now: Duration,
        from: &Vm,
        address: SocketAddr,
        body: &Body,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match body {
            Body::Probe { seq, gossip } => {
                self.learn(now, from, address, gossip, &mut actions);
                let gossip = self.gossip(now, !gossip.views.is_empty());
                let body = Body::Ack { seq: *seq, gossip };
                actions.push(Action::Send { to: address, body });
            }
            Body::Ack { seq, gossip } => {
                self.learn(now, from, address, gossip, &mut actions);
                self.acknowledge(now, from, *seq, &mut actions);
            }
            Body::Indirect { seq, target } => {
                self.run_errand(now, address, *seq, target, &mut actions);
            }
            Body::Announce { .. }
            | Body::Fresh { .. }
            | Body::Report { .. }
            | Body::Receipt { .. } => {}
        }
        actions
    }

    /// Builds a table exchange.
    pub fn sync_request(
        &self,
        protocol: u16,
        fleet: Name,
        data_centres: Vec<DataCentre>,
    ) -> SyncRequest {
        let have = self.table.record_versions(&data_centres);
        SyncRequest { protocol, fleet, from: self.me.clone(), data_centres, have }
    }

    /// Answers a table exchange.
    pub fn handle_sync_request(&mut self, now: Duration, request: &SyncRequest) -> SyncReply {
        self.merge(now, &request.from);
        let mut reply = SyncReply::default();
        let have: IndexMap<&Vm, (Incarnation, Status)> =
            request.have.iter().map(|b| (&b.vm, (b.incarnation, b.status))).collect();
        for brief in self.table.record_versions(&request.data_centres) {
            let ours = (brief.incarnation, brief.status);
            let theirs = have.get(&brief.vm).copied();
            let Some(member) = self.table.get(&brief.vm) else {
                continue;
            };
            if theirs.is_none_or(|theirs| ours > theirs) {
                reply.newer.push(member.record.clone());
            }
        }
        for (vm, theirs) in have {
            let ours = self.table.get(vm).map(|m| (m.record.incarnation, m.record.status));
            let gone = matches!(theirs.1, Status::Dead | Status::Left);
            if ours.map_or(!gone, |ours| ours < theirs) {
                reply.wanted.push(vm.clone());
            }
        }
        reply
    }

    /// Takes the answer to a table exchange; returns the records the peer
    /// lacks.
    pub fn handle_sync_response(&mut self, now: Duration, reply: &SyncReply) -> Vec<Record> {
        for record in &reply.newer {
            self.merge(now, record);
        }
        let wanted = reply.wanted.iter().filter_map(|vm| self.table.get(vm));
        wanted.map(|member| member.record.clone()).collect()
    }

    /// Takes records from a peer.
    pub fn merge_records(&mut self, now: Duration, records: &[Record]) {
        for record in records {
            self.merge(now, record);
        }
    }

    fn publish(&mut self, now: Duration) {
        let me = self.me.clone();
        self.table.merge(&me, now);
        self.queue.push(me.vm);
    }

    fn tell_urgently(&mut self, now: Duration) -> Vec<Action> {
        let place = self.me.data_centre.clone();
        let mut near: Vec<SocketAddr> = self.peers_in(&place);
        near.shuffle(&mut self.rng);
        near.truncate(URGENT_FANOUT);
        let others = self.table.data_centres().into_iter().filter(|p| *p != place);
        for other in others.collect::<Vec<_>>() {
            near.extend(self.peers_in(&other).choose(&mut self.rng));
        }
        let actions = near.into_iter().map(|to| self.tell(to)).collect();
        self.last_tick = now;
        actions
    }

    fn peers_in(&self, place: &DataCentre) -> Vec<SocketAddr> {
        let others = self.table.live_in(place).filter(|record| record.vm != self.me.vm);
        others.map(|record| record.peer).collect()
    }

    fn guard_against_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap < self.options.period * PAUSE_PERIODS {
            return;
        }
        // Answers may be waiting unread: give everybody the time back.
        self.table.shift_suspects(gap);
        self.probe = None;
        self.remote.clear();
        self.errands.clear();
        self.health = MAX_HEALTH;
        self.events.push(Event::Paused(gap));
    }

    fn check_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        let age = now.saturating_sub(probe.started);
        let patience = 1 + self.health;
        if age >= self.options.timeout * patience && !probe.asked_others {
            probe.asked_others = true;
            let (seq, target) = (probe.seq, probe.vm.clone());
            self.ask_others(seq, &target, actions);
            return;
        }
        if age < self.options.period * patience {
            return;
        }
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.health = (self.health + 1).min(MAX_HEALTH);
        self.suspect(now, &probe.vm);
    }

    fn ask_others(&mut self, seq: u64, target: &Vm, actions: &mut Vec<Action>) {
        let place = self.me.data_centre.clone();
        let mut helpers: Vec<SocketAddr> = self
            .table
            .live_in(&place)
            .filter(|r| r.vm != self.me.vm && r.vm != *target && r.status == Status::Alive)
            .map(|record| record.peer)
            .collect();
        helpers.shuffle(&mut self.rng);
        for to in helpers.into_iter().take(self.options.indirect_probes) {
            let body = Body::Indirect { seq, target: target.clone() };
            actions.push(Action::Send { to, body });
        }
    }

    fn check_remote(&mut self, now: Duration) {
        let limit = self.options.period * 2 * (1 + self.health);
        let expired = |started: &Duration| now.saturating_sub(*started) >= limit;
        let silent: Vec<Vm> =
            self.remote.iter().filter(|(_, s)| expired(s)).map(|(vm, _)| vm.clone()).collect();
        for vm in silent {
            self.remote.swap_remove(&vm);
            let Some(place) = self.table.get(&vm).map(|m| m.record.data_centre.clone()) else {
                continue;
            };
            if self.table.live_in(&place).count() <= SMALL_DATA_CENTRE {
                self.suspect(now, &vm);
            }
        }
    }

    fn suspect(&mut self, now: Duration, vm: &Vm) {
        let Some(member) = self.table.get(vm) else {
            return;
        };
        if member.record.status != Status::Alive {
            return;
        }
        let record = Record { status: Status::Suspect, ..member.record.clone() };
        self.merge(now, &record);
    }

    fn expire_suspects(&mut self, now: Duration) {
        let members = self.table.live().count().max(1);
        let rounds = (usize::BITS - members.leading_zeros()).div_ceil(4).max(1);
        let limit = self.options.suspicion_timeout * rounds;
        let expired: Vec<Record> = self
            .table
            .members()
            .filter(|m| {
                m.record.status == Status::Suspect && now.saturating_sub(m.status_since) >= limit
            })
            .map(|m| Record { status: Status::Dead, ..m.record.clone() })
            .collect();
        for record in expired {
            self.merge(now, &record);
        }
    }

    fn start_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(record) = self.next_in_order() else {
            return;
        };
        let views = (self.seq + 1).is_multiple_of(self.options.probes_per_digest);
        actions.push(self.probe_at(now, record.peer, views));
        let vm = record.vm;
        self.probe = Some(Probe { seq: self.seq, vm, started: now, asked_others: false });
    }

    fn next_in_order(&mut self) -> Option<Record> {
        for _ in 0..2 {
            while let Some(vm) = self.order.pop() {
                let member = self.table.get(&vm);
                if let Some(member) = member.filter(|m| m.record.is_live()) {
                    return Some(member.record.clone());
                }
            }
            let place = self.me.data_centre.clone();
            let near = self.table.live_in(&place).filter(|r| r.vm != self.me.vm);
            self.order = near.map(|record| record.vm.clone()).collect();
            self.order.shuffle(&mut self.rng);
        }
        None
    }

    /// Probes a random member of each other data centre with a chance that
    /// makes the rate per data centre independent of its size.
    fn sample_others(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let place = self.me.data_centre.clone();
        let near = self.table.live_in(&place).count().max(1) as f64;
        for other in self.table.data_centres() {
            if other == place {
                continue;
            }
            let members: Vec<&Record> = self.table.live_in(&other).collect();
            let Some(record) = members.choose(&mut self.rng).map(|r| (*r).clone()) else {
                continue;
            };
            let same_region = record.region == self.me.region;
            let rate =
                if same_region { self.options.region_rate } else { self.options.remote_rate };
            if self.rng.random::<f64>() >= rate / near {
                continue;
            }
            actions.push(self.probe_at(now, record.peer, true));
            // The first probe that is not answered counts, not the last.
            self.remote.entry(record.vm).or_insert(now);
        }
    }

    /// Probes a member taken for dead, so that two sides that gave each other
    /// up find together again. The rate per data centre is independent of its
    /// size.
    fn try_dead(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let place = self.me.data_centre.clone();
        let near = self.table.live_in(&place).count().max(1) as f64;
        if self.rng.random::<f64>() >= DEAD_RATE / near {
            return;
        }
        let dead: Vec<SocketAddr> = self.dead().collect();
        let Some(to) = dead.choose(&mut self.rng).copied() else {
            return;
        };
        actions.push(self.probe_at(now, to, false));
    }

    /// Tells members that went a short while ago of the own record: one that
    /// is back may know nobody while the store is away. All members together
    /// tell each of them about once a period.
    fn tell_returning(&mut self, now: Duration) -> Vec<Action> {
        let live = self.table.live().count().max(1) as f64;
        let recent = now.saturating_sub(RETURN_TIME);
        let gone = self.table.members().filter(|m| !m.record.is_live() && m.status_since >= recent);
        let gone: Vec<SocketAddr> = gone.map(|member| member.record.peer).collect();
        let chosen: Vec<SocketAddr> =
            gone.into_iter().filter(|_| self.rng.random::<f64>() < 1.0 / live).collect();
        chosen.into_iter().map(|to| self.tell(to)).collect()
    }

    fn dead(&self) -> impl Iterator<Item = SocketAddr> {
        let members = self.table.members().map(|member| &member.record);
        members.filter(|record| record.status == Status::Dead).map(|record| record.peer)
    }

    /// Tells members taken for dead of the own record: they may have taken us
    /// for dead as well.
    fn tell_dead(&mut self) -> Vec<Action> {
        let mut dead: Vec<SocketAddr> = self.dead().collect();
        dead.shuffle(&mut self.rng);
        dead.truncate(URGENT_FANOUT);
        dead.into_iter().map(|to| self.tell(to)).collect()
    }

    fn tell(&mut self, to: SocketAddr) -> Action {
        let records = vec![self.me.clone()];
        let gossip = Gossip { tip: self.tip, records, ..Gossip::default() };
        self.send_probe(to, gossip)
    }

    /// Probes an address with the usual facts; the number of the probe is then
    /// in `seq`.
    fn probe_at(&mut self, now: Duration, to: SocketAddr, views: bool) -> Action {
        let gossip = self.gossip(now, views);
        self.send_probe(to, gossip)
    }

    fn send_probe(&mut self, to: SocketAddr, gossip: Gossip) -> Action {
        self.seq += 1;
        Action::Send { to, body: Body::Probe { seq: self.seq, gossip } }
    }

    fn gossip(&mut self, now: Duration, views: bool) -> Gossip {
        let members = self.table.live().count();
        let chosen = self.queue.take(RECORDS_PER_DATAGRAM, members);
        let records = chosen.iter().filter_map(|vm| self.table.get(vm));
        Gossip {
            tip: self.tip,
            records: records.map(|member| member.record.clone()).collect(),
            summaries: self.summaries.take(now, self.options.max_summary_age),
            views: if views { self.table.digests() } else { Vec::new() },
        }
    }

    fn learn(
        &mut self,
        now: Duration,
        from: &Vm,
        address: SocketAddr,
        gossip: &Gossip,
        actions: &mut Vec<Action>,
    ) {
        for record in &gossip.records {
            self.merge(now, record);
        }
        for summary in &gossip.summaries {
            self.merge_summary(summary, now);
        }
        self.remote.swap_remove(from);
        let known = self.table.get(from).is_some_and(|member| member.record.is_live());
        if !known {
            self.request_sync(now, address, Vec::new(), actions);
            return;
        }
        self.compare(now, address, &gossip.views, actions);
    }

    /// Asks for a table exchange when digests differ twice in a row, since a
    /// single difference is usually a change still on its way.
    fn compare(
        &mut self,
        now: Duration,
        address: SocketAddr,
        theirs: &[View],
        actions: &mut Vec<Action>,
    ) {
        if theirs.is_empty() {
            return;
        }
        let ours = self.table.digests();
        let differs = |view: &&View| !ours.contains(view);
        let mut places: Vec<DataCentre> =
            theirs.iter().filter(differs).map(|v| v.data_centre.clone()).collect();
        let missing = ours.iter().filter(|v| theirs.iter().all(|t| t.data_centre != v.data_centre));
        places.extend(missing.map(|view| view.data_centre.clone()));
        let twice = std::mem::replace(&mut self.mismatched, !places.is_empty());
        if twice && !places.is_empty() {
            self.request_sync(now, address, places, actions);
        }
    }

    fn request_sync(
        &mut self,
        now: Duration,
        to: SocketAddr,
        data_centres: Vec<DataCentre>,
        actions: &mut Vec<Action>,
    ) {
        let due = self
            .last_sync
            .is_none_or(|at| now.saturating_sub(at) >= self.options.min_sync_interval);
        if due {
            self.last_sync = Some(now);
            actions.push(Action::Sync { to, data_centres });
        }
    }

    fn acknowledge(&mut self, now: Duration, from: &Vm, seq: u64, actions: &mut Vec<Action>) {
        if self.probe.as_ref().is_some_and(|probe| probe.seq == seq) {
            self.probe = None;
            self.health = self.health.saturating_sub(1);
        }
        let Some(errand) = self.errands.swap_remove(&seq) else {
            return;
        };
        // The answer is passed on with the origin's number and the target's
        // record, so that the origin knows it lives.
        let record = self.table.get(from).map(|member| member.record.clone());
        let gossip =
            Gossip { tip: self.tip, records: record.into_iter().collect(), ..Gossip::default() };
        let body = Body::Ack { seq: errand.origin_seq, gossip };
        actions.push(Action::Send { to: errand.origin, body });
        let limit = self.options.period * MAX_HEALTH;
        self.errands.retain(|_, errand| now.saturating_sub(errand.started) < limit);
    }

    fn run_errand(
        &mut self,
        now: Duration,
        origin: SocketAddr,
        origin_seq: u64,
        target: &Vm,
        actions: &mut Vec<Action>,
    ) {
        let Some(to) = self.table.get(target).map(|member| member.record.peer) else {
            return;
        };
        actions.push(self.probe_at(now, to, false));
        self.errands.insert(self.seq, Errand { origin, origin_seq, started: now });
    }

    fn merge(&mut self, now: Duration, record: &Record) {
        if record.vm == self.me.vm {
            self.refute(now, record);
            return;
        }
        let old = self.table.get(&record.vm).map(|m| (m.record.boot, m.record.target.clone()));
        let from = match self.table.merge(record, now) {
            Merged::Nothing => return,
            Merged::New => None,
            Merged::Replaced(status) => Some(status),
        };
        self.queue.push(record.vm.clone());
        let vm = record.vm.clone();
        if from != Some(record.status) {
            self.events.push(Event::StatusChanged { vm: vm.clone(), from, to: record.status });
        }
        if old.is_some_and(|(boot, target)| boot != record.boot || target != record.target) {
            self.events.push(Event::RecordChanged(vm));
        }
    }

    /// Answers a record of this VM that is not its own: an earlier run's, or a
    /// false suspicion.
    fn refute(&mut self, now: Duration, record: &Record) {
        let own = record.incarnation == self.me.incarnation && record.status == self.me.status;
        if own || !record.replaces(&self.me) {
            return;
        }
        self.me.incarnation = Incarnation(record.incarnation.0 + 1);
        self.publish(now);
        self.refuted = true;
        if record.status == Status::Suspect && record.boot == self.me.boot {
            self.health = (self.health + 1).min(MAX_HEALTH);
        }
    }
}

impl Detector {
    /// Returns the incarnation a run starts with: its wall-clock start, so that
    /// it replaces the records of earlier runs.
    pub fn first_incarnation(boot: Boot) -> Incarnation {
        Incarnation(boot.0)
    }
}

#[cfg(test)]
mod tests;
