//! The failure detector.
//!
//! Probing with indirect probes, suspicion and refutation as in SWIM (Das,
//! Gupta, Motivala, 2002), with a local health score: a daemon whose own probes
//! fail or whose clock jumps waits longer before it suspects others.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{DataCentre, Name, Vm};
use medlarpoint_wire::{
    Body, BootId, DataCentreSummary, Gossip, Incarnation, Readiness, Record, Status, SyncRequest,
    SyncResponse, TableDigest, Tip,
};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};

use crate::dissemination::Queue;
use crate::table::Merged;
use crate::{Options, Summaries, Table};

/// Maximum number of records in a datagram, so that it keeps room for its other
/// contents.
const RECORDS_PER_DATAGRAM: usize = 4;
/// Number of members that an urgent change of the local record is sent to at
/// once.
const URGENT_FANOUT: usize = 6;
/// Probes per period that a data centre sends to members it considers dead.
const DEAD_PROBE_RATE: f64 = 1.0;
/// Time after its departure within which a member is likely to return.
const RETURN_WINDOW: Duration = Duration::from_secs(30);
/// Limit of the local health score, which lengthens the suspicion timeout and the intervals.
const MAX_HEALTH_SCORE: u32 = 4;
/// Gap between ticks, in periods, from which the local process counts as having
/// been paused.
const PAUSE_THRESHOLD_PERIODS: u32 = 3;
/// Highest incarnation that is accepted. Incarnations start at a wall-clock time in
/// milliseconds and rise by one with each refutation, so that this one is never reached.
const MAX_INCARNATION: Incarnation = Incarnation(1 << 48);
/// Data centres with at most this many live members are also monitored from the
/// others, since they may have no member left to monitor the rest.
const SMALL_DATA_CENTRE: usize = 3;

/// Action for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Content of the datagram.
        body: Body,
    },
    /// Synchronise the member table with a peer by a sync request.
    Sync {
        /// Address of the peer.
        to: SocketAddr,
        /// Data centres to synchronise; empty for all.
        data_centres: Vec<DataCentre>,
    },
}

/// A change of the member table.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member is new or its liveness changed.
    StatusChanged {
        /// VM of the member.
        vm: Vm,
        /// Liveness before the change; `None` if the member was unknown.
        from: Option<Status>,
        /// Liveness after the change.
        to: Status,
    },
    /// A member restarted, or its target changed.
    RecordChanged(Vm),
    /// A newer version is in force in a data centre.
    VersionAdvanced(DataCentreSummary),
    /// The local process was paused for this long.
    Paused(Duration),
    /// A record cannot be right and was ignored.
    RecordIgnored(Vm),
}

#[derive(Clone, Debug)]
struct Probe {
    seq: u64,
    vm: Vm,
    started: Duration,
    indirect_requested: bool,
}

/// A probe sent on behalf of another member.
#[derive(Clone, Debug)]
struct RelayedProbe {
    origin: SocketAddr,
    origin_seq: u64,
    started: Duration,
}

/// State machine of the failure detector: the view that one member has of the
/// fleet.
#[derive(Debug)]
pub struct Detector {
    options: Options,
    local: Record,
    tip: Tip,
    table: Table,
    summaries: Summaries,
    queue: Queue,
    probe_order: Vec<Vm>,
    probe: Option<Probe>,
    relayed_probes: IndexMap<u64, RelayedProbe>,
    /// Unacknowledged probes to members of other data centres, with the time of the
    /// first.
    remote_probes: IndexMap<Vm, Duration>,
    seq: u64,
    /// Local health score: zero is healthy; each failed probe raises it.
    health_score: u32,
    next_probe: Duration,
    last_tick: Duration,
    last_sync: Option<Duration>,
    /// Whether the last comparison of table digests found a difference.
    digests_differed: bool,
    /// Whether the local record was renewed to refute a false one and must be
    /// sent out.
    refuted: bool,
    rng: StdRng,
    events: Vec<Event>,
}

impl Detector {
    /// Creates a detector whose table holds only the local record.
    pub fn new(options: Options, local: Record, now: Duration, seed: u64) -> Self {
        let mut detector = Self {
            options,
            local,
            tip: Tip::default(),
            table: Table::default(),
            summaries: Summaries::default(),
            queue: Queue::default(),
            probe_order: Vec::new(),
            probe: None,
            relayed_probes: IndexMap::new(),
            remote_probes: IndexMap::new(),
            seq: 0,
            health_score: 0,
            next_probe: now,
            last_tick: now,
            last_sync: None,
            digests_differed: false,
            refuted: false,
            rng: StdRng::seed_from_u64(seed),
            events: Vec::new(),
        };
        detector.enqueue_local_record(now);
        detector
    }

    /// Returns the options of the detector.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the record of the local member.
    pub fn local_record(&self) -> &Record {
        &self.local
    }

    /// Returns the member table, which includes the local record.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the newest summary of each data centre.
    pub fn summaries(&self) -> &Summaries {
        &self.summaries
    }

    /// Returns and clears the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Sets the version that is announced in gossip.
    pub fn set_tip(&mut self, tip: Tip) {
        self.tip = tip;
    }

    /// Merges a summary that was computed by this daemon or received.
    pub fn merge_summary(&mut self, summary: &DataCentreSummary, now: Duration) {
        if self.summaries.merge(summary, now) {
            self.events.push(Event::VersionAdvanced(summary.clone()));
        }
    }

    /// Changes the local record and sends it to a few members at once.
    pub fn announce(&mut self, now: Duration, change: impl FnOnce(&mut Record)) -> Vec<Action> {
        change(&mut self.local);
        self.local.incarnation.0 += 1;
        self.enqueue_local_record(now);
        self.send_record_urgently(now)
    }

    /// Leaves the fleet for a graceful shutdown and sends the local record to a
    /// few members at once.
    pub fn leave(&mut self, now: Duration) -> Vec<Action> {
        if let Some(target) = &mut self.local.target {
            target.readiness = Readiness::Draining;
        }
        self.local.incarnation.0 += 1;
        self.local.status = Status::Left;
        self.enqueue_local_record(now);
        self.send_record_urgently(now)
    }

    /// Runs what is due: sends probes, suspects members, declares them dead and
    /// drops expired tombstones.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now);
        self.check_probe(now, &mut actions);
        self.expire_remote_probes(now);
        self.expire_suspects(now);
        if std::mem::take(&mut self.refuted) {
            actions.extend(self.send_record_urgently(now));
            actions.extend(self.send_record_to_dead());
        }
        if now >= self.next_probe && self.local.status != Status::Left {
            let slow = self.options.period * self.health_score.div_ceil(2);
            self.next_probe = now + self.options.period + slow;
            self.start_probe(now, &mut actions);
            self.probe_other_data_centres(now, &mut actions);
            self.probe_dead_member(now, &mut actions);
            actions.extend(self.send_record_to_departed(now));
            self.table.drop_tombstones(now.saturating_sub(self.options.tombstone_retention));
        }
        actions
    }

    /// Handles a datagram. Bodies that do not concern membership are ignored.
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
                self.merge_gossip(now, from, address, gossip, &mut actions);
                let gossip = self.gossip(now, !gossip.table_digests.is_empty());
                let body = Body::Ack { seq: *seq, gossip };
                actions.push(Action::Send { to: address, body });
            }
            Body::Ack { seq, gossip } => {
                self.merge_gossip(now, from, address, gossip, &mut actions);
                self.handle_ack(now, from, *seq, &mut actions);
            }
            Body::Indirect { seq, target } => {
                self.relay_probe(now, address, *seq, target, &mut actions);
            }
            Body::Announce { .. }
            | Body::Fresh { .. }
            | Body::Report { .. }
            | Body::Suspects { .. }
            | Body::QuotaRequest { .. }
            | Body::QuotaGrant { .. }
            | Body::Rollouts { .. }
            | Body::RolloutReport { .. }
            | Body::Receipt { .. } => {}
        }
        actions
    }

    /// Builds a sync request for some data centres, or for all if none is named.
    pub fn sync_request(
        &self,
        protocol: u16,
        fleet: Name,
        data_centres: Vec<DataCentre>,
    ) -> SyncRequest {
        let have = self.table.record_versions(&data_centres);
        SyncRequest { protocol, fleet, from: self.local.clone(), data_centres, have }
    }

    /// Handles a sync request and returns the response to it.
    pub fn handle_sync_request(&mut self, now: Duration, request: &SyncRequest) -> SyncResponse {
        self.merge_record(now, &request.from);
        let mut reply = SyncResponse::default();
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
            let departed = matches!(theirs.1, Status::Dead | Status::Left);
            if ours.map_or(!departed, |ours| ours < theirs) {
                reply.wanted.push(vm.clone());
            }
        }
        reply
    }

    /// Handles the response to a sync request and returns the records that the
    /// peer lacks.
    pub fn handle_sync_response(&mut self, now: Duration, reply: &SyncResponse) -> Vec<Record> {
        for record in &reply.newer {
            self.merge_record(now, record);
        }
        let wanted = reply.wanted.iter().filter_map(|vm| self.table.get(vm));
        wanted.map(|member| member.record.clone()).collect()
    }

    /// Merges records received from a peer.
    pub fn merge_records(&mut self, now: Duration, records: &[Record]) {
        for record in records {
            self.merge_record(now, record);
        }
    }

    fn enqueue_local_record(&mut self, now: Duration) {
        let local = self.local.clone();
        self.table.merge(&local, now);
        self.queue.push(local.vm);
    }

    fn send_record_urgently(&mut self, now: Duration) -> Vec<Action> {
        let data_centre = self.local.data_centre.clone();
        let mut receivers: Vec<SocketAddr> = self.peers_in(&data_centre);
        receivers.shuffle(&mut self.rng);
        receivers.truncate(URGENT_FANOUT);
        let others = self.table.data_centres().into_iter().filter(|other| *other != data_centre);
        for other in others.collect::<Vec<_>>() {
            receivers.extend(self.peers_in(&other).choose(&mut self.rng));
        }
        let actions = receivers.into_iter().map(|to| self.record_probe(to)).collect();
        self.last_tick = now;
        actions
    }

    fn peers_in(&self, data_centre: &DataCentre) -> Vec<SocketAddr> {
        let others = self.table.live_in(data_centre).filter(|record| record.vm != self.local.vm);
        others.map(|record| record.peer).collect()
    }

    fn detect_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap < self.options.period * PAUSE_THRESHOLD_PERIODS {
            return;
        }
        // Responses may have arrived during the pause and not been read yet, so
        // the deadlines of suspected members are extended by the gap.
        self.table.shift_suspects(gap);
        self.probe = None;
        self.remote_probes.clear();
        self.relayed_probes.clear();
        self.health_score = MAX_HEALTH_SCORE;
        self.events.push(Event::Paused(gap));
    }

    fn check_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        let age = now.saturating_sub(probe.started);
        let timeout_factor = 1 + self.health_score;
        if age >= self.options.timeout * timeout_factor && !probe.indirect_requested {
            probe.indirect_requested = true;
            let (seq, target) = (probe.seq, probe.vm.clone());
            self.request_indirect_probes(seq, &target, actions);
            return;
        }
        if age < self.options.period * timeout_factor {
            return;
        }
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        self.suspect(now, &probe.vm);
    }

    fn request_indirect_probes(&mut self, seq: u64, target: &Vm, actions: &mut Vec<Action>) {
        let data_centre = self.local.data_centre.clone();
        let mut proxies: Vec<SocketAddr> = self
            .table
            .live_in(&data_centre)
            .filter(|r| r.vm != self.local.vm && r.vm != *target && r.status == Status::Alive)
            .map(|record| record.peer)
            .collect();
        proxies.shuffle(&mut self.rng);
        for to in proxies.into_iter().take(self.options.indirect_probes) {
            let body = Body::Indirect { seq, target: target.clone() };
            actions.push(Action::Send { to, body });
        }
    }

    fn expire_remote_probes(&mut self, now: Duration) {
        let limit = self.options.period * 2 * (1 + self.health_score);
        let expired = |started: &Duration| now.saturating_sub(*started) >= limit;
        let unresponsive: Vec<Vm> = self
            .remote_probes
            .iter()
            .filter(|(_, s)| expired(s))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in unresponsive {
            self.remote_probes.swap_remove(&vm);
            let Some(data_centre) = self.table.get(&vm).map(|m| m.record.data_centre.clone())
            else {
                continue;
            };
            if self.table.live_in(&data_centre).count() <= SMALL_DATA_CENTRE {
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
        self.merge_record(now, &record);
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
            self.merge_record(now, &record);
        }
    }

    fn start_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(record) = self.next_probe_target() else {
            return;
        };
        let digests = (self.seq + 1).is_multiple_of(self.options.probes_per_digest);
        actions.push(self.build_probe(now, record.peer, digests));
        let vm = record.vm;
        self.probe = Some(Probe { seq: self.seq, vm, started: now, indirect_requested: false });
    }

    fn next_probe_target(&mut self) -> Option<Record> {
        for _ in 0..2 {
            while let Some(vm) = self.probe_order.pop() {
                let member = self.table.get(&vm);
                if let Some(member) = member.filter(|m| m.record.is_live()) {
                    return Some(member.record.clone());
                }
            }
            let data_centre = self.local.data_centre.clone();
            let members = self.table.live_in(&data_centre).filter(|r| r.vm != self.local.vm);
            self.probe_order = members.map(|record| record.vm.clone()).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }

    /// Probes a random member of each other data centre, with a probability that
    /// makes the probe rate of a data centre independent of its size.
    fn probe_other_data_centres(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let data_centre = self.local.data_centre.clone();
        let local_members = self.table.live_in(&data_centre).count().max(1) as f64;
        for other in self.table.data_centres() {
            if other == data_centre {
                continue;
            }
            let members: Vec<&Record> = self.table.live_in(&other).collect();
            let Some(record) = members.choose(&mut self.rng).map(|r| (*r).clone()) else {
                continue;
            };
            let same_region = record.region == self.local.region;
            let rate =
                if same_region { self.options.region_rate } else { self.options.remote_rate };
            if self.rng.random::<f64>() >= rate / local_members {
                continue;
            }
            actions.push(self.build_probe(now, record.peer, true));
            // The time of the first unacknowledged probe counts, not of the last.
            self.remote_probes.entry(record.vm).or_insert(now);
        }
    }

    /// Probes a random dead member, so that two partitions that declared each
    /// other dead merge again. The probe rate of a data centre is independent of
    /// its size.
    fn probe_dead_member(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let data_centre = self.local.data_centre.clone();
        let local_members = self.table.live_in(&data_centre).count().max(1) as f64;
        if self.rng.random::<f64>() >= DEAD_PROBE_RATE / local_members {
            return;
        }
        let dead: Vec<SocketAddr> = self.dead().collect();
        let Some(to) = dead.choose(&mut self.rng).copied() else {
            return;
        };
        actions.push(self.build_probe(now, to, false));
    }

    /// Sends the local record to members that left or died recently: a member
    /// that has returned may not know any other while the store is unavailable.
    /// All members together send to each of them about once per period.
    fn send_record_to_departed(&mut self, now: Duration) -> Vec<Action> {
        let live = self.table.live().count().max(1) as f64;
        let earliest = now.saturating_sub(RETURN_WINDOW);
        let departed =
            self.table.members().filter(|m| !m.record.is_live() && m.status_since >= earliest);
        let departed: Vec<SocketAddr> = departed.map(|member| member.record.peer).collect();
        let chosen: Vec<SocketAddr> =
            departed.into_iter().filter(|_| self.rng.random::<f64>() < 1.0 / live).collect();
        chosen.into_iter().map(|to| self.record_probe(to)).collect()
    }

    fn dead(&self) -> impl Iterator<Item = SocketAddr> {
        let members = self.table.members().map(|member| &member.record);
        members.filter(|record| record.status == Status::Dead).map(|record| record.peer)
    }

    /// Sends the local record to dead members, which may consider this member
    /// dead as well.
    fn send_record_to_dead(&mut self) -> Vec<Action> {
        let mut dead: Vec<SocketAddr> = self.dead().collect();
        dead.shuffle(&mut self.rng);
        dead.truncate(URGENT_FANOUT);
        dead.into_iter().map(|to| self.record_probe(to)).collect()
    }

    fn record_probe(&mut self, to: SocketAddr) -> Action {
        let records = vec![self.local.clone()];
        let gossip = Gossip { tip: self.tip, records, ..Gossip::default() };
        self.send_probe(to, gossip)
    }

    /// Builds a probe with the regular gossip; its sequence number is then in
    /// `seq`.
    fn build_probe(&mut self, now: Duration, to: SocketAddr, digests: bool) -> Action {
        let gossip = self.gossip(now, digests);
        self.send_probe(to, gossip)
    }

    fn send_probe(&mut self, to: SocketAddr, gossip: Gossip) -> Action {
        self.seq += 1;
        Action::Send { to, body: Body::Probe { seq: self.seq, gossip } }
    }

    fn gossip(&mut self, now: Duration, digests: bool) -> Gossip {
        let members = self.table.live().count();
        let chosen = self.queue.take(RECORDS_PER_DATAGRAM, members);
        let records = chosen.iter().filter_map(|vm| self.table.get(vm));
        Gossip {
            tip: self.tip,
            records: records.map(|member| member.record.clone()).collect(),
            summaries: self.summaries.take(now, self.options.max_summary_age),
            table_digests: if digests { self.table.digests() } else { Vec::new() },
            suspects: Vec::new(),
            rollouts: Vec::new(),
        }
    }

    fn merge_gossip(
        &mut self,
        now: Duration,
        from: &Vm,
        address: SocketAddr,
        gossip: &Gossip,
        actions: &mut Vec<Action>,
    ) {
        for record in &gossip.records {
            self.merge_record(now, record);
        }
        for summary in &gossip.summaries {
            self.merge_summary(summary, now);
        }
        self.remote_probes.swap_remove(from);
        let known = self.table.get(from).is_some_and(|member| member.record.is_live());
        if !known {
            self.request_sync(now, address, Vec::new(), actions);
            return;
        }
        self.compare_digests(now, address, &gossip.table_digests, actions);
    }

    /// Requests a sync if digests differ twice in a row, since a single
    /// difference is usually a change that is still being disseminated.
    fn compare_digests(
        &mut self,
        now: Duration,
        address: SocketAddr,
        theirs: &[TableDigest],
        actions: &mut Vec<Action>,
    ) {
        if theirs.is_empty() {
            return;
        }
        let ours = self.table.digests();
        let differs = |view: &&TableDigest| !ours.contains(view);
        let mut differing: Vec<DataCentre> =
            theirs.iter().filter(differs).map(|v| v.data_centre.clone()).collect();
        let missing = ours.iter().filter(|v| theirs.iter().all(|t| t.data_centre != v.data_centre));
        differing.extend(missing.map(|view| view.data_centre.clone()));
        let differed_before = std::mem::replace(&mut self.digests_differed, !differing.is_empty());
        if differed_before && !differing.is_empty() {
            self.request_sync(now, address, differing, actions);
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

    fn handle_ack(&mut self, now: Duration, from: &Vm, seq: u64, actions: &mut Vec<Action>) {
        if self.probe.as_ref().is_some_and(|probe| probe.seq == seq) {
            self.probe = None;
            self.health_score = self.health_score.saturating_sub(1);
        }
        let Some(relayed) = self.relayed_probes.swap_remove(&seq) else {
            return;
        };
        // The ack is forwarded with the sequence number of the origin and the
        // record of the probed member, so that the origin sees it as alive.
        let record = self.table.get(from).map(|member| member.record.clone());
        let gossip =
            Gossip { tip: self.tip, records: record.into_iter().collect(), ..Gossip::default() };
        let body = Body::Ack { seq: relayed.origin_seq, gossip };
        actions.push(Action::Send { to: relayed.origin, body });
        let limit = self.options.period * MAX_HEALTH_SCORE;
        self.relayed_probes.retain(|_, relayed| now.saturating_sub(relayed.started) < limit);
    }

    fn relay_probe(
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
        actions.push(self.build_probe(now, to, false));
        self.relayed_probes.insert(self.seq, RelayedProbe { origin, origin_seq, started: now });
    }

    fn merge_record(&mut self, now: Duration, record: &Record) {
        if record.incarnation > MAX_INCARNATION {
            self.events.push(Event::RecordIgnored(record.vm.clone()));
            return;
        }
        if record.vm == self.local.vm {
            self.refute(now, record);
            return;
        }
        let old = self.table.get(&record.vm).map(|m| (m.record.boot, m.record.target.clone()));
        let from = match self.table.merge(record, now) {
            Merged::Unchanged => return,
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

    /// Refutes a record of this VM that differs from the local one: it is from
    /// an earlier run, or a false suspicion.
    fn refute(&mut self, now: Duration, record: &Record) {
        let own =
            record.incarnation == self.local.incarnation && record.status == self.local.status;
        if own || !record.replaces(&self.local) {
            return;
        }
        self.local.incarnation = Incarnation(record.incarnation.0 + 1);
        self.enqueue_local_record(now);
        self.refuted = true;
        if record.status == Status::Suspect && record.boot == self.local.boot {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        }
    }
}

impl Detector {
    /// Returns the first incarnation of a run: its wall-clock start time, so that
    /// its record replaces those of earlier runs.
    pub fn first_incarnation(boot: BootId) -> Incarnation {
        Incarnation(boot.0)
    }
}

#[cfg(test)]
mod tests;
