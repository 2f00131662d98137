//! Connects membership and configuration propagation to datagrams, timers and pulls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarpoint_config::pull::Rank;
use medlarpoint_config::replica::Effect;
use medlarpoint_config::{Distance, Rejection};
use medlarpoint_membership::{Action, Event as MemberEvent, Role, StoreRead, fallback, readers};
use medlarpoint_model::{Delta, Vm};
use medlarpoint_wire::{Body, Frame, Gossip, PROTOCOL_VERSION, PullResponse, Record, Tip, encode};
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

use crate::clock::wall_ms;
use crate::event::Event;
use crate::state::{Control, InForce, Shared, lock};
use crate::traffic::Counts;
use crate::{peer, quota, roles, rollouts, services, suspects, workspace};

/// Interval between ticks of the control plane.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between log lines about control traffic.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Number of members of the local data centre to which a new version is announced.
const ANNOUNCE_FANOUT: usize = 6;
/// Size limit of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

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
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let received = tokio::select! {
                received = self.socket.recv_from(&mut buffer) => received,
                () = self.shared.lifecycle.wait_closed() => return,
            };
            // The error concerns an earlier datagram that was not delivered.
            let Ok((size, from)) = received else {
                continue;
            };
            if self.shared.pool.partition().is_unreachable(from) {
                continue;
            }
            match Frame::decode(&buffer[..size], self.shared.fleet()) {
                Ok(frame) => self.handle_frame(from, &frame),
                Err(error) => {
                    let reason = error.to_string();
                    self.shared.emit(&Event::BadDatagram { from, reason });
                }
            }
        }
    }

    /// Runs the periodic work of the control plane until the daemon closes.
    pub(crate) async fn tick(self: Arc<Self>) {
        let mut timer = tokio::time::interval(TICK_INTERVAL);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last_logged = (self.shared.now(), self.shared.traffic.counts());
        loop {
            let now = self.shared.now();
            if now.saturating_sub(last_logged.0) >= TRAFFIC_LOG_INTERVAL {
                self.log_traffic(&mut last_logged, now);
            }
            tokio::select! {
                _ = timer.tick() => {}
                () = self.shared.lifecycle.wait_closed() => return,
            }
            let actions = {
                let mut control = lock(&self.shared.control);
                let now = self.shared.now();
                let actions = control.detector.tick(now);
                let read_age = control.freshness.age(now).as_secs_f64();
                metrics::gauge!("medlarpoint_store_read_age").set(read_age);
                if self.may_be_outdated(&control, now) {
                    control.pulls.expedite(now);
                }
                self.handle_member_events(&mut control);
                self.send_reports(&mut control);
                self.summarize(&mut control);
                actions
            };
            self.perform(actions);
            self.shared.pull_wakeup.notify_one();
        }
    }

    fn log_traffic(&self, last_logged: &mut (Duration, Counts), now: Duration) {
        let counts = self.shared.traffic.counts();
        let Counts { near, region, remote, messages, pulls, .. } = counts.since(last_logged.1);
        *last_logged = (now, counts);
        self.shared.emit(&Event::ControlTraffic { near, region, remote, messages, pulls });
    }

    /// Pulls newer versions from peers until the daemon closes.
    pub(crate) async fn pull(self: Arc<Self>) {
        loop {
            let (next, wake) = {
                let mut control = lock(&self.shared.control);
                let now = self.shared.now();
                let peer = control.pulls.next_peer(now);
                let record = peer.as_ref().and_then(|vm| control.detector.table().get(vm));
                let record = record.map(|member| member.record.clone());
                if let (Some(vm), None) = (&peer, &record) {
                    control.pulls.on_finished(now, vm, false);
                }
                (record, control.pulls.next_wake())
            };
            if let Some(record) = next {
                // A task of its own, so that a peer that does not respond delays no other.
                let driver = Arc::clone(&self);
                tokio::spawn(async move { driver.pull_from(record).await });
                continue;
            }
            let wake = wake.unwrap_or(self.shared.now() + Duration::from_secs(1));
            tokio::select! {
                () = self.shared.pull_wakeup.notified() => {}
                () = tokio::time::sleep_until(self.shared.clock.instant(wake)) => {}
                () = self.shared.lifecycle.wait_closed() => return,
            }
        }
    }

    async fn pull_from(&self, record: Record) {
        let have = self.shared.tip();
        let distance = self.shared.distance(&record);
        let response = peer::pull(&self.shared, record.peer, distance, have).await;
        let success = match response {
            Ok(response) => self.apply_response(record.vm.as_str(), response),
            Err(error) => {
                let reason = error.to_string();
                self.shared.emit(&Event::PullFailed { vm: record.vm.clone(), reason });
                false
            }
        };
        let now = self.shared.now();
        lock(&self.shared.control).pulls.on_finished(now, &record.vm, success);
        self.shared.pull_wakeup.notify_one();
    }

    /// Applies a peer's response to a pull. Returns whether it was accepted.
    pub(crate) fn apply_response(&self, from: &str, response: PullResponse) -> bool {
        let mut control = lock(&self.shared.control);
        let result = control.replica.apply(response);
        self.on_apply_result(&mut control, from, result)
    }

    /// Puts a newly applied version into force and announces it, or records why it
    /// was rejected. Returns whether it was accepted.
    pub(crate) fn on_apply_result(
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
        self.put_into_force(control, from, &deltas);
        true
    }

    fn put_into_force(&self, control: &mut Control, from: &str, deltas: &[Arc<Delta>]) {
        let snapshot = Arc::clone(control.replica.current());
        let version = snapshot.version;
        let in_force = Arc::new(InForce::new(snapshot));
        let previous = self.shared.in_force.swap(Arc::clone(&in_force));
        control.applied_ms = wall_ms();
        control.history.add(deltas);
        let tip = control.replica.tip();
        control.detector.set_tip(tip);
        control.pulls.set_tip(tip);
        control.freshness.set_version(version);
        self.shared.emit(&Event::Applied { version, from: from.to_owned() });
        workspace::report_key_changes(&self.shared, &previous, &in_force);
        metrics::counter!("medlarpoint_versions_applied_total").increment(1);
        metrics::gauge!("medlarpoint_version").set(version.0 as f64);
        self.refresh_policy();
        self.announce(control, tip);
        self.send_reports(control);
        self.shared.lifecycle.notify_change();
    }

    /// Applies the policy of the target's service to the inbound scheduler.
    pub(crate) fn refresh_policy(&self) {
        let target = lock(&self.shared.target).clone();
        let Some(target) = target else {
            return;
        };
        let service = target.service;
        let in_force = self.shared.in_force.load();
        let policy = in_force.snapshot.service(&service).and_then(|s| s.policy.as_ref());
        let policy = policy.and_then(|name| in_force.snapshot.policy(name));
        let policy = policy.cloned().unwrap_or_default();
        lock(&self.shared.intake).scheduler_mut().set_policy(policy);
    }

    /// Announces a version to a sample of the local data centre. A relay also announces
    /// it to the relays of the other data centres in its region, and a gateway to the
    /// gateways of the other regions.
    fn announce(&self, control: &Control, tip: Tip) {
        let own_record = control.detector.local_record();
        let table = control.detector.table();
        let local: Vec<&Record> =
            table.live_in(&own_record.data_centre).filter(|r| r.vm != own_record.vm).collect();
        let mut recipients: Vec<SocketAddr> =
            local.sample(&mut rand::rng(), ANNOUNCE_FANOUT).map(|record| record.peer).collect();
        if roles::rank_in(control, Role::Relay) != Rank::Rest {
            for data_centre in table.data_centres() {
                let member = table.live_in(&data_centre).next();
                let same_region = member.is_some_and(|record| record.region == own_record.region);
                if same_region && data_centre != own_record.data_centre {
                    recipients.extend(roles::holders(table.live_in(&data_centre), Role::Relay));
                }
            }
        }
        if roles::rank_in(control, Role::Gateway) != Rank::Rest {
            for region in
                roles::regions(control).into_iter().filter(|region| *region != own_record.region)
            {
                let members = table.live().filter(|record| record.region == region);
                recipients.extend(roles::holders(members, Role::Gateway));
            }
        }
        for to in recipients {
            self.send(control, to, Body::Announce { tip });
        }
    }

    /// Records that this daemon has read the store. Starts a broadcast of the store
    /// read if this daemon is a reader or a fallback that broadcasts.
    pub(crate) fn on_store_read(&self) {
        let mut control = lock(&self.shared.control);
        let now = self.shared.now();
        let seq = control.freshness.record_local(now);
        let own_record = control.detector.local_record();
        let is_reader =
            readers(control.detector.table().live(), roles::HOLDERS).contains(&&own_record.vm);
        if !is_reader && !fallback::broadcasts(roles::gateway_rank(&control)) {
            return;
        }
        let (origin, boot) = (own_record.vm.clone(), own_record.boot);
        let version = control.replica.current().version;
        let read = StoreRead { origin, boot, seq, age: Duration::ZERO, version };
        self.forward_store_read(&control, &read);
    }

    /// Forwards a store read to this daemon's children in the broadcast tree.
    fn forward_store_read(&self, control: &Control, read: &StoreRead) {
        let tip = control.replica.tip();
        for to in control.broadcast_children(&read.origin) {
            let body = Body::Fresh {
                origin: read.origin.clone(),
                boot: read.boot,
                seq: read.seq,
                tip,
                age_ms: read.age.as_millis() as u64,
                read_version: Some(read.version),
            };
            self.send(control, to, body);
        }
    }

    /// Returns whether the version in force was not known to be the newest for so long
    /// that the first daemons read the store themselves.
    fn may_be_outdated(&self, control: &Control, now: Duration) -> bool {
        control.freshness.age(now) >= fallback::max_read_age(self.shared.propagation(), 0)
    }

    fn handle_frame(&self, from: SocketAddr, frame: &Frame) {
        let actions = {
            let mut control = lock(&self.shared.control);
            let now = self.shared.now();
            let actions = control.detector.receive(now, &frame.from, from, &frame.body);
            self.handle_member_events(&mut control);
            match &frame.body {
                Body::Probe { gossip, .. } | Body::Ack { gossip, .. } => {
                    suspects::merge(&self.shared, &gossip.suspects);
                    rollouts::receive_gossip(&self.shared, &control, &gossip.rollouts);
                    self.add_pull_candidate(&mut control, &frame.from, gossip);
                }
                Body::Announce { tip } => {
                    let gossip = Gossip { tip: *tip, ..Gossip::default() };
                    self.add_pull_candidate(&mut control, &frame.from, &gossip);
                }
                Body::Report { version, at_ms } => {
                    control.reporter.record(&frame.from, *version, *at_ms);
                    self.send(&control, from, Body::Receipt { version: *version });
                    self.summarize(&mut control);
                }
                Body::Fresh { origin, boot, seq, tip, age_ms, read_version } => {
                    let age = Duration::from_millis(*age_ms);
                    let version = read_version.unwrap_or(tip.version);
                    let origin = origin.clone();
                    let read = StoreRead { origin, boot: *boot, seq: *seq, age, version };
                    let gossip = Gossip { tip: *tip, ..Gossip::default() };
                    self.add_pull_candidate(&mut control, &frame.from, &gossip);
                    if control.freshness.record_remote(now, &read) {
                        self.forward_store_read(&control, &read);
                    }
                }
                Body::Suspects { origin, suspects } => {
                    suspects::receive(self, &control, origin, suspects);
                }
                Body::QuotaRequest { boot, seq, known, wants } => {
                    let request = quota::request_of(*boot, *seq, *known, wants);
                    quota::on_request(self, &control, &frame.from, from, &request);
                }
                Body::QuotaGrant { boot, seq, loans } => {
                    quota::on_grant(&self.shared, &quota::grant_of(*boot, *seq, loans));
                }
                Body::Rollouts { origin, rollouts } => {
                    rollouts::receive(self, &control, origin, rollouts);
                }
                Body::RolloutReport { service, revision, boot, settled, routes } => {
                    let report = rollouts::decode_report(*boot, *settled, routes);
                    let order = (service, *revision);
                    rollouts::receive_report(self, &control, &frame.from, order, &report);
                }
                Body::Receipt { version } => control.reporter.on_ack(&frame.from, *version),
                Body::Indirect { .. } => {}
            }
            actions
        };
        self.perform(actions);
    }

    /// Adds a member that has a newer version to the candidates for a pull.
    fn add_pull_candidate(&self, control: &mut Control, from: &Vm, gossip: &Gossip) {
        if gossip.tip.version <= control.replica.current().version {
            return;
        }
        let Some(member) = control.detector.table().get(from) else {
            return;
        };
        let distance = self.shared.distance(&member.record);
        let now = self.shared.now();
        let rank = match distance {
            _ if self.may_be_outdated(control, now) => Rank::First,
            Distance::Near => Rank::First,
            Distance::Region => roles::rank_in(control, Role::Relay),
            Distance::Remote => roles::rank_in(control, Role::Gateway),
        };
        let wait = control.pulls.add_candidate(now, from, gossip.tip, distance, rank);
        if let Some(wait) = wait {
            let (version, wait_ms) = (gossip.tip.version, wait.as_millis() as u64);
            self.shared.emit(&Event::PullWaits { version, vm: from.clone(), wait_ms });
        }
        self.shared.pull_wakeup.notify_one();
    }

    /// Handles the events of the failure detector.
    pub(crate) fn handle_member_events(&self, control: &mut Control) {
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
                    let data_centre = &summary.data_centre;
                    let (version, since_ms) = (summary.version, summary.since_ms);
                    if !control.history.record_in_force(data_centre, version, since_ms).is_empty() {
                        let event = Event::InForce { data_centre: data_centre.clone(), version };
                        self.shared.emit(&event);
                    }
                    self.shared.lifecycle.notify_change();
                }
                MemberEvent::RecordIgnored(vm) => self.shared.emit(&Event::BadRecord { vm }),
                MemberEvent::Paused(pause) => {
                    self.shared.emit(&Event::Paused { ms: pause.as_millis() });
                }
            }
        }
        if members_changed {
            services::refresh(&self.shared, control);
            self.shared.lifecycle.notify_change();
        }
    }

    /// Changes the local record and announces it at once.
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

    /// Announces that this daemon leaves the fleet.
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

    pub(crate) fn send(&self, control: &Control, to: SocketAddr, mut body: Body) {
        suspects::add_to_gossip(&self.shared, &mut body);
        rollouts::add_to_gossip(&self.shared, &mut body);
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
        // A datagram that cannot be sent counts as lost, like one dropped by the network.
        if self.socket.try_send_to(&bytes, to).is_ok() {
            self.shared.traffic.record_sent(self.shared.distance_of(control, to), bytes.len());
        }
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Marks this daemon as ready to serve callers.
    pub(crate) fn set_ready(&self) {
        {
            let mut control = lock(&self.shared.control);
            control.not_ready_reason = None;
            if control.applied_ms == 0 {
                control.applied_ms = wall_ms();
            }
        }
        self.shared.emit(&Event::Ready { version: self.shared.version() });
        self.shared.lifecycle.mark_ready();
    }
}
