//! Quotas of workspaces: admits calls, and borrows and lends tokens.

mod admission;
mod datagram;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use medlarpoint_membership::allocator::{Allocators, Trust};
use medlarpoint_model::{Name, Version, Vm};
use medlarpoint_routing::quota::{
    ASK_INTERVAL, Allocator, Grant, Purse, Reach, Request, SETTLING_TIME,
};
use tokio::sync::Notify;

use crate::control::Driver;
use crate::event::Event;
use crate::state::{Control, Shared, lock};

pub(crate) use admission::admit_call;
pub(crate) use datagram::{grant_of, request_of};

/// Interval at which the roles and the quotas in force are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Calls of a workspace that were rejected since the last log line about it.
#[derive(Clone, Copy, Debug, Default)]
struct Unlogged {
    calls: u64,
    logged_at: Option<Duration>,
}

/// Tokens that this daemon borrows and lends.
#[derive(Debug)]
pub(crate) struct Quotas {
    purse: Mutex<Purse>,
    allocator: Mutex<Allocator>,
    /// Allocators as this daemon sees them; none if no workspace has a quota.
    view: ArcSwap<Allocators>,
    /// Whether the member table may be relied on.
    trust: Mutex<Trust>,
    /// Wakes the calls that wait for a token.
    granted: Notify,
    /// Wakes the task that asks for tokens.
    wanted: Notify,
    unlogged: Mutex<IndexMap<Name, Unlogged>>,
}

impl Quotas {
    pub(crate) fn new(boot: u64) -> Self {
        Self {
            purse: Mutex::new(Purse::new(boot)),
            allocator: Mutex::default(),
            view: ArcSwap::default(),
            trust: Mutex::default(),
            granted: Notify::new(),
            wanted: Notify::new(),
            unlogged: Mutex::default(),
        }
    }

    /// Records the members that have an entry in the store; `None` if it has not listed them.
    pub(crate) fn record_listing(
        &self,
        sent_at: Duration,
        now: Duration,
        registered: Option<Vec<Vm>>,
    ) {
        let mut trust = lock(&self.trust);
        match registered {
            Some(registered) => trust.on_listing(sent_at, now, registered),
            None => trust.on_listing_failed(),
        }
    }

    /// Returns the allocators, as this daemon sees them.
    pub(crate) fn allocators(&self) -> Vec<Vm> {
        self.view.load().holders.iter().map(|record| record.vm.clone()).collect()
    }
}

/// Lends and borrows tokens until the daemon closes.
pub(crate) async fn run(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    let mut timer = tokio::time::interval(CHECK_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut applied = Applied::default();
    let mut asked_at = shared.now();
    loop {
        tokio::select! {
            _ = timer.tick() => {
                update_roles(&shared, &mut applied);
                if shared.now() >= asked_at + ASK_INTERVAL {
                    asked_at = shared.now();
                    ask(&driver);
                }
            }
            () = shared.quotas.wanted.notified() => {
                let next = lock(&shared.quotas.purse).next_ask();
                tokio::time::sleep_until(shared.clock.instant(next)).await;
                if lock(&shared.quotas.purse).may_ask_for_waiting(shared.now()) {
                    asked_at = shared.now();
                    ask(&driver);
                }
            }
            () = shared.lifecycle.wait_closed() => return,
        }
    }
}

/// What the workspaces that this daemon is responsible for were determined from.
#[derive(Clone, Copy, Debug, Default)]
struct Applied {
    version: Version,
    may_lend: bool,
}

/// Updates the allocators, and the workspaces that this daemon is responsible for.
fn update_roles(shared: &Shared, applied: &mut Applied) {
    let quotas = &shared.quotas;
    let in_force = shared.in_force.load_full();
    let version = in_force.snapshot.version;
    let now = shared.now();
    let (mut view, mut may_lend) = (Allocators::default(), false);
    if in_force.snapshot.workspaces().any(|workspace| workspace.quota.is_some()) {
        let control = lock(&shared.control);
        let own_vm = &control.detector.local_record().vm;
        let table = control.detector.table();
        view = Allocators::of(table, own_vm, now, SETTLING_TIME);
        may_lend = lock(&quotas.trust).may_lend(table, own_vm);
    }
    let (before, after) = {
        let mut allocator = lock(&quotas.allocator);
        let before = allocator.len();
        allocator.set_reach(now, Reach { reachable: view.reachable, known: view.known });
        let changed = view.holders != quotas.view.load().holders;
        if changed || applied.version != version || applied.may_lend != may_lend {
            *applied = Applied { version, may_lend };
            let own_vm = &shared.settings.options.vm;
            let workspaces = in_force.snapshot.workspaces();
            let own = workspaces.filter_map(|workspace| {
                let quota = workspace.quota?;
                let is_own = may_lend && view.holder(&workspace.name)?.vm == *own_vm;
                is_own.then_some((&workspace.name, quota))
            });
            allocator.set_quotas(now, own);
        }
        (before, allocator.len())
    };
    if before == 0 && after > 0 {
        let (reachable, known) = (view.reachable, view.known);
        shared.emit(&Event::AllocatorBegan { workspaces: after, reachable, known });
    } else if before > 0 && after == 0 {
        shared.emit(&Event::AllocatorEnded {});
    }
    if before != after {
        metrics::gauge!("medlarpoint_quota_lent_workspaces").set(after as f64);
        shared.lifecycle.notify_change();
    }
    quotas.view.store(Arc::new(view));
}

/// Sends the requests that are due.
fn ask(driver: &Driver) {
    let shared = driver.shared();
    let quotas = &shared.quotas;
    let view = quotas.view.load_full();
    let (now, own_vm) = (shared.now(), &shared.settings.options.vm);
    let (requests, expired) = {
        let mut purse = lock(&quotas.purse);
        let holder = |workspace: &Name| view.holder(workspace).map(|record| &record.vm);
        (purse.requests(now, view.known, holder), purse.take_expired())
    };
    for (workspace, tokens) in expired {
        count_tokens(&workspace, "expired", tokens);
    }
    for (vm, request) in requests {
        if vm == own_vm {
            if let Some(grant) = lend(shared, vm, &request) {
                on_grant(shared, &grant);
            }
        } else if let Some(record) = view.holders.iter().find(|record| record.vm == *vm) {
            let control = lock(&shared.control);
            driver.send(&control, record.peer, datagram::request_body(&request));
        }
    }
}

/// Answers a request of another daemon.
pub(crate) fn on_request(
    driver: &Driver,
    control: &Control,
    from: &Vm,
    address: SocketAddr,
    request: &Request,
) {
    if let Some(grant) = lend(driver.shared(), from, request) {
        driver.send(control, address, datagram::grant_body(&grant));
    }
}

fn lend(shared: &Shared, from: &Vm, request: &Request) -> Option<Grant> {
    let now = shared.now();
    let grant = lock(&shared.quotas.allocator).lend(now, from, request)?;
    for loan in &grant.loans {
        let want = request.wants.iter().find(|want| want.workspace == loan.workspace);
        let wanted = want.map_or(0, |want| want.tokens);
        count_tokens(&loan.workspace, "granted", u64::from(loan.tokens));
        let refused = wanted.saturating_sub(loan.tokens);
        count_tokens(&loan.workspace, "refused", u64::from(refused));
    }
    Some(grant)
}

/// Takes the tokens that an allocator has lent, and wakes the calls that wait for them.
pub(crate) fn on_grant(shared: &Shared, grant: &Grant) {
    let now = shared.now();
    lock(&shared.quotas.purse).receive(now, grant);
    shared.quotas.granted.notify_waiters();
}

fn count_tokens(workspace: &Name, event: &'static str, tokens: u64) {
    if tokens > 0 {
        let workspace = workspace.to_string();
        metrics::counter!("medlarpoint_quota_tokens_total", "workspace" => workspace, "event" => event)
            .increment(tokens);
    }
}
