//! Exchanges with other daemons what is known of calls that crash targets.
//!
//! A change is broadcast at once. Probes and their acknowledgements repeat it, so that a
//! lost datagram delays it only, and a daemon that starts asks a peer.

use std::sync::Arc;
use std::time::Duration;

use medlarpoint_model::{Fingerprint, Vm};
use medlarpoint_routing::{SuspectReport, Suspicion};
use medlarpoint_wire::{Body, Suspect};

use crate::control::Driver;
use crate::event::Event;
use crate::state::{Control, Shared, lock};

/// Number of calls that a probe or an acknowledgement tells of.
const CALLS_PER_PROBE: usize = 2;
/// Number of calls that a broadcast tells of, so that it fits into a datagram.
const CALLS_PER_BROADCAST: usize = 24;
/// Limit on the calls that a daemon that starts is told of.
pub(crate) const CALLS_PER_RESPONSE: usize = 1_024;
/// Interval between sweeps of the calls that are remembered.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Converts a report to the form in which daemons exchange it.
pub(crate) fn encode((call, report): (Fingerprint, SuspectReport)) -> Suspect {
    let Suspicion { acquittals, crashes } = report.suspicion;
    Suspect { call, acquittals, crashes, age_ms: report.age.as_millis() as u64 }
}

/// Merges what another daemon knows. Returns the calls about which it was news.
pub(crate) fn merge(shared: &Shared, suspects: &[Suspect]) -> Vec<Suspect> {
    let now = shared.now();
    let mut known = lock(&shared.suspects);
    let mut is_news = |suspect: &&Suspect| {
        let Suspect { call, acquittals, crashes, age_ms } = **suspect;
        let suspicion = Suspicion { acquittals, crashes };
        let report = SuspectReport { suspicion, age: Duration::from_millis(age_ms) };
        known.merge(now, call, report)
    };
    let news: Vec<Suspect> = suspects.iter().filter(|suspect| is_news(suspect)).copied().collect();
    metrics::gauge!("medlarpoint_suspect_calls").set(known.len() as f64);
    news
}

/// Adds a few calls to a probe or its acknowledgement.
pub(crate) fn add_to_gossip(shared: &Shared, body: &mut Body) {
    let (Body::Probe { gossip, .. } | Body::Ack { gossip, .. }) = body else {
        return;
    };
    let now = shared.now();
    let reports = lock(&shared.suspects).take_gossip(now, CALLS_PER_PROBE);
    gossip.suspects = reports.into_iter().map(encode).collect();
}

/// Broadcasts changes until the daemon closes.
pub(crate) async fn run(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    loop {
        tokio::select! {
            () = shared.suspects_changed.notified() => broadcast_changes(&driver),
            () = tokio::time::sleep(SWEEP_INTERVAL) => {
                let now = shared.now();
                lock(&shared.suspects).sweep(now);
            }
            () = shared.lifecycle.wait_closed() => return,
        }
    }
}

fn broadcast_changes(driver: &Driver) {
    let shared = driver.shared();
    let changed = {
        let now = shared.now();
        lock(&shared.suspects).take_changed(now)
    };
    let suspects: Vec<Suspect> = changed.into_iter().map(encode).collect();
    let control = lock(&shared.control);
    for part in suspects.chunks(CALLS_PER_BROADCAST) {
        forward(driver, &control, &shared.settings.options.vm, part);
    }
}

/// Handles a broadcast: passes what is news on to this daemon's children in its tree.
pub(crate) fn receive(driver: &Driver, control: &Control, origin: &Vm, suspects: &[Suspect]) {
    let news = merge(driver.shared(), suspects);
    for suspect in &news {
        driver.shared().emit_call(&Event::SuspectKnown {
            call: suspect.call,
            crashes: suspect.crashes,
            origin: origin.clone(),
        });
    }
    if !news.is_empty() {
        forward(driver, control, origin, &news);
    }
}

fn forward(driver: &Driver, control: &Control, origin: &Vm, suspects: &[Suspect]) {
    let children = control.broadcast_children(origin);
    for to in children {
        let body = Body::Suspects { origin: origin.clone(), suspects: suspects.to_vec() };
        driver.send(control, to, body);
    }
}
