//! Drives membership and propagation: datagrams, timers, pulls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarpoint_config::pull::Rank;
use medlarpoint_config::replica::Effect;
use medlarpoint_config::{Distance, Rejection};
use medlarpoint_membership::{
    Action, Event as MemberEvent, Role, StoreRead, broadcast, fallback, rank, ranked, readers,
};
use medlarpoint_model::{Delta, Region, Vm};
use medlarpoint_wire::{Body, Frame, Gossip, PROTOCOL_VERSION, PullResponse, Record, Tip, encode};
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

use crate::clock::wall_ms;
use crate::event::Event;
use crate::state::{Control, InForce, Shared, lock};
use crate::traffic::Counts;
use crate::{peer, services};

/// Time between ticks of the control plane.
const TICK: Duration = Duration::from_millis(100);
/// Time between lines about control traffic.
const TRAFFIC_PERIOD: Duration = Duration::from_secs(10);
/// Members of the own data centre told at once of a new version.
const ANNOUNCE_FANOUT: usize = 6;
/// Members that hold a role.
pub(crate) const ROLE_HOLDERS: usize = 2;
/// Largest datagram read, in bytes.
const RECEIVE_BYTES: usize = 2_048;

/// Sends and receives datagrams for the control plane.
#[derive(Debug)]
pub(crate) struct Driver {
    shared: Arc<Shared>,
    socket: UdpSocket,
}

impl Driver {
    pub(crate) fn new(shared: Arc<Shared>, socket: UdpSocket) -> Arc<Self> {
        Arc::new(Self { shared, socket })
    }

    /// Receives datagrams until the daemon closes.
    pub(crate) async fn receive(self: Arc<Self>) {
        let mut buffer = [0; RECEIVE_BYTES];
        loop {
            let received = tokio::select! {
                received = self.socket.recv_from(&mut buffer) => received,
                () = self.shared.lifecycle.wait_closed() => return,
            };
            // An error tells of an earlier datagram that nobody took.
            let Ok((size, from)) = received else {
                continue;
            };
            if self.shared.pool.partition().is_unreachable(from) {
                continue;
            }
            match Frame::decode(&buffer[..size], self.shared.fleet()) {
                Ok(frame) => self.take(from, &frame),
                Err(error) => {
                    let reason = error.to_string();
                    self.shared.emit(&Event::BadDatagram { from, reason });
                }
            }
        }
    }

    /// Ticks until the daemon closes.
    pub(crate) async fn tick(self: Arc<Self>) {
        let mut timer = tokio::time::interval(TICK);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut told = (self.shared.now(), self.shared.traffic.counts());
        loop {
            let now = self.shared.now();
            if now.saturating_sub(told.0) >= TRAFFIC_PERIOD {
                self.tell_traffic(&mut told, now);
            }
            tokio::select! {
                _ = timer.tick() => {}
                () = self.shared.lifecycle.wait_closed() => return,
            }
            let actions = {
                let mut control = lock(&self.shared.control);
                let now = self.shared.now();
                let actions = control.detector.tick(now);
                self.after(&mut control);
                self.report(&mut control);
                self.summarize(&mut control);
                actions
            };
            self.perform(actions);
            self.shared.pull.notify_one();
        }
    }

    fn tell_traffic(&self, told: &mut (Duration, Counts), now: Duration) {
        let reading = self.shared.traffic.counts();
        let Counts { near, region, remote, messages, pulls, .. } = reading.since(told.1);
        *told = (now, reading);
        self.shared.emit(&Event::ControlTraffic { near, region, remote, messages, pulls });
    }

    /// Pulls newer versions from peers until the daemon closes.
    pub(crate) async fn pull(self: Arc<Self>) {
        loop {
            let (next, wake) = {
                let mut control = lock(&self.shared.control);
                let now = self.shared.now();
                let peer = control.spreader.next_peer(now);
                let record = peer.as_ref().and_then(|vm| control.detector.table().get(vm));
                let record = record.map(|member| member.record.clone());
                if let (Some(vm), None) = (&peer, &record) {
                    control.spreader.on_finished(now, vm, false);
                }
                (record, control.spreader.next_wake())
            };
            if let Some(record) = next {
                self.pull_from(record).await;
                continue;
            }
            let wake = wake.unwrap_or(self.shared.now() + Duration::from_secs(1));
            tokio::select! {
                () = self.shared.pull.notified() => {}
                () = tokio::time::sleep_until(self.shared.clock.instant(wake)) => {}
                () = self.shared.lifecycle.wait_closed() => return,
            }
        }
    }

    async fn pull_from(&self, record: Record) {
        let have = self.shared.tip();
        let distance = self.shared.distance(&record);
        let answer = peer::pull(&self.shared, record.peer, distance, have).await;
        let success = match answer {
            Ok(update) => self.offer(record.vm.as_str(), update),
            Err(error) => {
                let reason = error.to_string();
                self.shared.emit(&Event::PullFailed { vm: record.vm.clone(), reason });
                false
            }
        };
        let now = self.shared.now();
        lock(&self.shared.control).spreader.on_finished(now, &record.vm, success);
    }

    /// Applies what a peer answered.
    pub(crate) fn offer(&self, from: &str, update: PullResponse) -> bool {
        let mut control = lock(&self.shared.control);
        let result = control.replica.apply(update);
        self.applied(&mut control, from, result)
    }

    /// Puts a newly applied version into force and tells others of it.
    pub(crate) fn applied(
        &self,
        control: &mut Control,
        from: &str,
        result: Result<Effect, Rejection>,
    ) -> bool {
        let deltas = match result {
            Ok(Effect::Applied(deltas)) => deltas,
            Ok(Effect::Unchanged) => return true,
            Err(reason) => {
                control.last_rejection = Some((wall_ms(), reason.clone()));
                self.shared.emit(&Event::Rejected { from: from.to_owned(), reason });
                return false;
            }
        };
        self.enforce(control, from, &deltas);
        true
    }

    fn enforce(&self, control: &mut Control, from: &str, deltas: &[Arc<Delta>]) {
        let snapshot = Arc::clone(control.replica.current());
        let version = snapshot.version;
        self.shared.in_force.store(Arc::new(InForce::new(snapshot)));
        control.applied_ms = wall_ms();
        control.history.add(deltas);
        let tip = control.replica.tip();
        control.detector.set_tip(tip);
        control.spreader.set_tip(tip);
        self.shared.emit(&Event::Applied { version, from: from.to_owned() });
        metrics::counter!("medlarpoint_versions_applied_total").increment(1);
        metrics::gauge!("medlarpoint_version").set(version.0 as f64);
        self.refresh_policy();
        self.announce(control, tip);
        self.report(control);
        self.shared.lifecycle.notify_change();
    }

    /// Gives the inbound proxy the policy of its target's service.
    pub(crate) fn refresh_policy(&self) {
        let target = lock(&self.shared.target).clone();
        let Some(target) = target else {
            return;
        };
        let (service, reports) = (target.service, target.occupant.is_some());
        let in_force = self.shared.in_force.load();
        let policy = in_force.snapshot.service(&service).and_then(|s| s.policy.as_ref());
        let policy = policy.and_then(|name| in_force.snapshot.policy(name));
        let mut policy = policy.cloned().unwrap_or_default();
        if reports {
            // It says itself how long it is cold, and callers see its latency.
            policy.ramp_ms = 0;
        }
        lock(&self.shared.intake).scheduler_mut().set_policy(policy);
    }

    /// Tells a few members: some near ones, and across each boundary those
    /// that fetch for the others, if this daemon is one of them.
    fn announce(&self, control: &Control, tip: Tip) {
        let me = control.detector.local_record();
        let table = control.detector.table();
        let near: Vec<&Record> = table.live_in(&me.data_centre).filter(|r| r.vm != me.vm).collect();
        let mut told: Vec<SocketAddr> =
            near.sample(&mut rand::rng(), ANNOUNCE_FANOUT).map(|record| record.peer).collect();
        if Self::order(control, Role::Relay) != Rank::Rest {
            for place in table.data_centres() {
                let other = table.live_in(&place).next();
                let same_region = other.is_some_and(|record| record.region == me.region);
                if same_region && place != me.data_centre {
                    told.extend(holders(table.live_in(&place), Role::Relay));
                }
            }
        }
        if Self::order(control, Role::Gateway) != Rank::Rest {
            for region in regions(control).into_iter().filter(|region| *region != me.region) {
                let members = table.live().filter(|record| record.region == region);
                told.extend(holders(members, Role::Gateway));
            }
        }
        for to in told {
            self.send(control, to, Body::Announce { tip });
        }
    }

    /// Notes that this daemon has read the store, and tells all members.
    pub(crate) fn store_read(&self) {
        let mut control = lock(&self.shared.control);
        let now = self.shared.now();
        let seq = control.freshness.record_local(now);
        let me = control.detector.local_record();
        let reads = readers(control.detector.table().live(), ROLE_HOLDERS).contains(&&me.vm);
        if !reads && !fallback::broadcasts(Self::gateway_rank(&control)) {
            return;
        }
        let (origin, boot) = (me.vm.clone(), me.boot);
        self.pass_on(&control, &StoreRead { origin, boot, seq, age: Duration::ZERO });
    }

    /// Passes on to this daemon's part of the members that the store was read.
    fn pass_on(&self, control: &Control, reading: &StoreRead) {
        let tip = control.replica.tip();
        let table = control.detector.table();
        let me = &control.detector.local_record().vm;
        let members = table.live().map(|record| &record.vm);
        let next: Vec<SocketAddr> = broadcast::children(&reading.origin, me, members)
            .into_iter()
            .filter_map(|vm| table.get(vm).map(|member| member.record.peer))
            .collect();
        for to in next {
            let body = Body::Fresh {
                origin: reading.origin.clone(),
                boot: reading.boot,
                seq: reading.seq,
                tip,
                age_ms: reading.age.as_millis() as u64,
            };
            self.send(control, to, body);
        }
    }

    /// Returns this daemon's place among those that reach out for its region.
    pub(crate) fn gateway_rank(control: &Control) -> usize {
        let me = control.detector.local_record();
        let members = control.detector.table().live();
        let members = members.filter(|record| record.region == me.region);
        rank(Role::Gateway, &me.vm, members.map(|record| &record.vm))
    }

    /// Returns this daemon's place among those that fetch for others.
    pub(crate) fn order(control: &Control, role: Role) -> Rank {
        let me = control.detector.local_record();
        let table = control.detector.table();
        let place = match role {
            Role::Gateway => Self::gateway_rank(control),
            Role::Relay | Role::Reader | Role::Reporter => {
                rank(role, &me.vm, table.live_in(&me.data_centre).map(|record| &record.vm))
            }
        };
        match place {
            0 => Rank::First,
            1 => Rank::Second,
            _ => Rank::Rest,
        }
    }

    fn take(&self, from: SocketAddr, frame: &Frame) {
        let actions = {
            let mut control = lock(&self.shared.control);
            let now = self.shared.now();
            let actions = control.detector.receive(now, &frame.from, from, &frame.body);
            self.after(&mut control);
            match &frame.body {
                Body::Probe { gossip, .. } | Body::Ack { gossip, .. } => {
                    self.heard(&mut control, &frame.from, gossip);
                }
                Body::Announce { tip } => {
                    let gossip = Gossip { tip: *tip, ..Gossip::default() };
                    self.heard(&mut control, &frame.from, &gossip);
                }
                Body::Report { version, at_ms } => {
                    control.reporter.record(&frame.from, *version, *at_ms);
                    self.send(&control, from, Body::Receipt { version: *version });
                    self.summarize(&mut control);
                }
                Body::Fresh { origin, boot, seq, tip, age_ms } => {
                    let age = Duration::from_millis(*age_ms);
                    let reading = StoreRead { origin: origin.clone(), boot: *boot, seq: *seq, age };
                    let gossip = Gossip { tip: *tip, ..Gossip::default() };
                    self.heard(&mut control, &frame.from, &gossip);
                    if control.freshness.record_remote(now, &reading) {
                        self.pass_on(&control, &reading);
                    }
                }
                Body::Receipt { version } => control.reporter.on_ack(&frame.from, *version),
                Body::Indirect { .. } => {}
            }
            actions
        };
        self.perform(actions);
    }

    fn heard(&self, control: &mut Control, from: &Vm, gossip: &Gossip) {
        if gossip.tip.version <= control.replica.current().version {
            return;
        }
        let Some(member) = control.detector.table().get(from) else {
            return;
        };
        let distance = self.shared.distance(&member.record);
        let order = match distance {
            Distance::Near => Rank::First,
            Distance::Region => Self::order(control, Role::Relay),
            Distance::Remote => Self::order(control, Role::Gateway),
        };
        let now = self.shared.now();
        control.spreader.add_candidate(now, from, gossip.tip, distance, order);
        self.shared.pull.notify_one();
    }

    /// Takes the events of the detector.
    pub(crate) fn after(&self, control: &mut Control) {
        let mut members_changed = false;
        for event in control.detector.take_events() {
            match event {
                MemberEvent::StatusChanged { vm, to, .. } => {
                    members_changed = true;
                    self.shared.emit(&Event::Member { vm, status: to });
                }
                MemberEvent::RecordChanged(vm) => {
                    members_changed = true;
                    control.reporter.on_restart(&vm);
                }
                MemberEvent::VersionAdvanced(summary) => {
                    let place = &summary.data_centre;
                    let (version, since) = (summary.version, summary.since_ms);
                    if !control.history.record_in_force(place, version, since).is_empty() {
                        let event = Event::InForce { data_centre: place.clone(), version };
                        self.shared.emit(&event);
                    }
                    self.shared.lifecycle.notify_change();
                }
                MemberEvent::Paused(gap) => {
                    self.shared.emit(&Event::Paused { ms: gap.as_millis() });
                }
            }
        }
        if members_changed {
            services::refresh(&self.shared, control);
            self.shared.lifecycle.notify_change();
        }
    }

    /// Changes the own record and tells others at once.
    pub(crate) fn update_record(&self, change: impl FnOnce(&mut Record)) {
        let actions = {
            let mut control = lock(&self.shared.control);
            let now = self.shared.now();
            let actions = control.detector.announce(now, change);
            services::refresh(&self.shared, &control);
            actions
        };
        self.perform(actions);
        self.shared.lifecycle.notify_change();
    }

    /// Tells others that this daemon leaves.
    pub(crate) fn leave(&self) {
        let actions = {
            let mut control = lock(&self.shared.control);
            let now = self.shared.now();
            control.detector.leave(now)
        };
        self.perform(actions);
    }

    pub(crate) fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, body } => {
                    let control = lock(&self.shared.control);
                    self.send(&control, to, body);
                }
                Action::Sync { to, data_centres } => {
                    let shared = Arc::clone(&self.shared);
                    tokio::spawn(async move {
                        if let Err(error) = peer::sync(&shared, to, data_centres).await {
                            let reason = error.to_string();
                            shared.emit(&Event::SyncFailed { peer: to, reason });
                        }
                    });
                }
            }
        }
    }

    pub(crate) fn send(&self, control: &Control, to: SocketAddr, body: Body) {
        let frame = Frame {
            protocol: PROTOCOL_VERSION,
            fleet: self.shared.fleet().clone(),
            from: self.shared.settings.options.vm.clone(),
            body,
        };
        let Ok(bytes) = encode(&frame) else {
            return;
        };
        if self.shared.pool.partition().is_unreachable(to) {
            return;
        }
        // A datagram that cannot be sent is like one that is lost.
        if self.socket.try_send_to(&bytes, to).is_ok() {
            self.shared.traffic.record_sent(self.shared.distance_of(control, to), bytes.len());
        }
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Marks this daemon as serving.
    pub(crate) fn set_ready(&self) {
        {
            let mut control = lock(&self.shared.control);
            control.waiting = None;
            if control.applied_ms == 0 {
                control.applied_ms = wall_ms();
            }
        }
        self.shared.emit(&Event::Ready { version: self.shared.version() });
        self.shared.lifecycle.mark_ready();
    }
}

fn holders<'a>(members: impl Iterator<Item = &'a Record>, role: Role) -> Vec<SocketAddr> {
    let members: Vec<&Record> = members.collect();
    let chosen = ranked(role, members.iter().map(|record| &record.vm), ROLE_HOLDERS);
    members.iter().filter(|r| chosen.contains(&&r.vm)).map(|record| record.peer).collect()
}

fn regions(control: &Control) -> Vec<Region> {
    let mut regions: Vec<Region> =
        control.detector.table().live().map(|record| record.region.clone()).collect();
    regions.sort_unstable();
    regions.dedup();
    regions
}
