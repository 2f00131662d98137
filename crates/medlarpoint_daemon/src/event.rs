//! Numbered log events. Codes are stable and never reused.

use std::fmt;
use std::net::SocketAddr;

use medlarpoint_config::Rejection;
use medlarpoint_membership::departed::Basis;
use medlarpoint_model::{DataCentre, Fingerprint, Name, Version, Vm};
use medlarpoint_routing::{AttemptId, FailurePoint, Outcome};
use medlarpoint_store::Era;
use medlarpoint_wire::Status;

use crate::pipeline::{CancelReason, OffReason};

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Level {
    /// Normal operation.
    Info,
    /// A condition that an operator may want to look into.
    Warn,
    /// A condition that needs an operator's attention.
    Error,
}

/// Catalogue entry of an event.
#[derive(Clone, Copy, Debug)]
pub struct Description {
    /// Stable number.
    pub code: u16,
    /// Short name.
    pub name: &'static str,
    /// Severity.
    pub level: Level,
    /// Format string of the message, with field names in braces.
    pub text: &'static str,
    /// Description of when the event occurs and what to do about it.
    pub meaning: &'static str,
}

macro_rules! events {
    ($(
        $(#[doc = $doc:literal])+
        $code:literal $level:ident $name:ident { $($field:ident: $type:ty),* } => $text:literal;
    )+) => {
        /// An event that is written to the log.
        #[derive(Clone, Debug)]
        #[allow(missing_docs)]
        pub enum Event {
            $( $(#[doc = $doc])+ $name { $($field: $type),* }, )+
        }

        impl Event {
            /// Returns the stable number.
            pub fn code(&self) -> u16 {
                match self { $( Self::$name { .. } => $code, )+ }
            }

            /// Returns the short name.
            pub fn name(&self) -> &'static str {
                match self { $( Self::$name { .. } => stringify!($name), )+ }
            }

            /// Returns the severity.
            pub fn level(&self) -> Level {
                match self { $( Self::$name { .. } => Level::$level, )+ }
            }
        }

        impl fmt::Display for Event {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                match self { $( Self::$name { $($field),* } => write!(f, $text), )+ }
            }
        }

        /// All events, in the order of their declaration.
        pub const CATALOGUE: &[Description] = &[
            $( Description {
                code: $code,
                name: stringify!($name),
                level: Level::$level,
                text: $text,
                meaning: concat!($($doc),+),
            }, )+
        ];
    };
}

events! {
    /// The daemon is listening on its addresses. It serves callers after event 1002.
    1001 Info Started { vm: Vm, calls: SocketAddr, inbound: SocketAddr, peer: SocketAddr, api: SocketAddr }
        => "{vm} started: calls {calls}, inbound {inbound}, peer {peer}, api {api}";
    /// The daemon holds a version at least as new as that of every reachable peer.
    1002 Info Ready { version: Version } => "serving with {version}";
    /// A graceful shutdown began: new calls are rejected, and calls in flight finish first.
    1003 Info Stopping { unfinished: usize } => "stopping, {unfinished} calls in flight";
    /// The graceful shutdown is complete.
    1004 Info Stopped {} => "stopped";
    /// Calls were still in flight when the drain timeout expired. Raise `drain_timeout_ms` if they were aborted.
    1005 Warn DrainTimeout { unfinished: usize } => "drain timeout expired with {unfinished} calls in flight";
    /// Neither a peer nor the store is reachable, so the newest version is unknown and callers are not served. Check `seeds`, `store.endpoints` and the network.
    1006 Warn Waiting { reason: String } => "not serving yet: {reason}";
    /// The process did not run for a while, for example because the VM was frozen. Pending probes are dropped and suspicions extended, because responses may have arrived unread.
    1007 Warn Paused { ms: u128 } => "the process did not run for {ms} ms";
    /// The settings file was reloaded. Only `service` and `bounds` take effect without a restart.
    1008 Info Reloaded { changed: bool } => "settings reloaded, changed: {changed}";
    /// The settings file changed but is invalid; the current settings remain in use.
    1009 Error ReloadFailed { reason: String } => "settings not reloaded: {reason}";

    /// Requests of a connection are read one at a time from now on, because the read-ahead reader does not handle what the caller sent. Calls are served as without read-ahead.
    1101 Info ReadAheadOff { requests: u64, reason: OffReason } => "read-ahead off on a connection after {requests} requests: {reason}";
    /// A call that was started before its turn was cancelled. The caller has no response to it; it may send the request again.
    1102 Info EarlyCallCancelled { id: String, reason: CancelReason } => "call {id}, started before its turn, cancelled: {reason}";

    /// A newer version is in force on this daemon.
    2001 Info Applied { version: Version, from: String } => "{version} in force, from {from}";
    /// A peer or the store offered a version that fails a check; the version in force stays. `medlarpoint why --version` shows details.
    2002 Error Rejected { from: String, reason: Rejection } => "rejected a version from {from}: {reason}";
    /// The store holds an older version than the one in force, for example after a restore from a backup. A daemon that reads the store writes the newer version back.
    2003 Error StoreBehind { reason: Rejection } => "the store is behind: {reason}";
    /// The store holds the version in force again.
    2004 Info StoreRestored { version: Version } => "wrote {version} back to the store";
    /// An operator's change was committed through this daemon.
    2005 Info Committed { version: Version, author: String } => "{author} committed {version}";
    /// An operator's change was rejected; nothing changed.
    2006 Info CommitRefused { author: String, reason: String } => "rejected a change by {author}: {reason}";
    /// The outcome of an operator's change is unknown. The operator should resend it with the same commit id.
    2007 Warn CommitUnknown { author: String, commit: String } => "outcome of commit {commit} by {author} is unknown";
    /// Every live member of a data centre has the version in force.
    2008 Info InForce { data_centre: DataCentre, version: Version } => "{version} in force in {data_centre}";
    /// The configuration could not be fetched from a peer that announced a newer version. Another peer is tried.
    2009 Warn PullFailed { vm: Vm, reason: String } => "cannot fetch configuration from {vm}: {reason}";

    /// The configuration in the store cannot be read; the version in force stays.
    2010 Error Unreadable { reason: String } => "the configuration in the store cannot be read: {reason}";
    /// This daemon is not a reader and reads the store itself, because it has not learned of a recent enough read of another daemon.
    2011 Info ReadingStore { version: Version, age_ms: u64, rank: usize } => "reading the store with {version} in force: the last read known is {age_ms} ms old, rank {rank}";
    /// A member of another data centre has a newer version. This daemon pulls it after the wait, unless a nearer member has it before.
    2012 Info PullWaits { version: Version, vm: Vm, wait_ms: u64 } => "{version} announced by {vm}, pulled in {wait_ms} ms at the latest";

    /// The operator has ordered to move a service to a new version of its targets. Only a few targets of it get calls until it is judged good.
    2101 Info RolloutOrdered { service: Name, version: String, revision: u64, period_ms: u64, origin: String } => "order {revision} moves {service} to {version} within {period_ms} ms, from {origin}";
    /// The phase of an order is new to this daemon. Its calls follow the phase from now on.
    2102 Info RolloutPhase { service: Name, version: String, revision: u64, phase: &'static str, reason: String } => "order {revision} of {service} to {version} is {phase}: {reason}";
    /// This daemon decided on an order. The reason names the route and the counts of both versions. Look for MP7003 lines that name the new targets.
    2103 Warn RolloutDecided { service: Name, version: String, revision: u64, phase: &'static str, reason: String } => "decided that order {revision} of {service} to {version} is {phase}: {reason}";
    /// An order or a status in the store cannot be used. Nothing changes; correct the value of the key.
    2104 Error RolloutUnreadable { key: String, reason: String } => "the value of {key} cannot be used: {reason}";
    /// This daemon wrote the state of an order to the store.
    2105 Info RolloutWritten { service: Name, version: String, revision: u64, state: String } => "wrote that order {revision} of {service} to {version} is {state}";
    /// The state of an order could not be written. It is written again until it is; calls follow the decision meanwhile.
    2106 Warn RolloutUnwritten { service: Name, version: String, reason: String } => "cannot write the state of the order of {service} to {version}: {reason}";
    /// The target reports another version than others of its service. It gets calls once this daemon has asked for an order.
    2107 Info TargetHeld { service: Name, version: String } => "target of {service} in version {version} waits until it is known whether there is an order";
    /// The target has a version that was rolled back. It gets no calls.
    2108 Warn TargetBarred { service: Name, version: String } => "target of {service} in version {version} gets no calls: the version was rolled back";

    /// The status of a member changed.
    3001 Info Member { vm: Vm, status: Status } => "{vm} is {status}";
    /// A datagram was rejected: it is malformed, belongs to another fleet, or has an unsupported protocol version.
    3002 Warn BadDatagram { from: SocketAddr, reason: String } => "rejected a datagram from {from}: {reason}";
    /// A table exchange with a peer failed.
    3003 Warn SyncFailed { peer: SocketAddr, reason: String } => "table exchange with {peer} failed: {reason}";

    /// Control traffic sent in the last ten seconds, by distance of the receiver.
    3004 Info ControlTraffic { near: u64, region: u64, remote: u64, messages: u64, pulls: u64 } => "control traffic in the last 10 s: {near} B within the data centre, {region} B within the region, {remote} B to other regions, {messages} messages, {pulls} pulls";
    /// A record of a member cannot be right: no later one could replace it. It is ignored.
    3005 Warn BadRecord { vm: Vm } => "ignored a record of {vm} with an impossible incarnation";

    /// The store does not respond. Writes are rejected; reads and calls continue.
    4001 Warn StoreDown { reason: String } => "the store is not available: {reason}";
    /// The store responds again.
    4002 Info StoreUp {} => "the store is available again";

    /// The store no longer holds this daemon's entry; the daemon registers again.
    4003 Warn EntryLapsed {} => "the store no longer holds the entry of this daemon";
    /// The store entry of another daemon cannot be read and is ignored.
    4004 Warn BadEntry { key: String, reason: String } => "the store entry {key} cannot be read: {reason}";

    /// The store was restored from a copy, so that its revisions and leases are no longer those that it gave out before. Versions in force stay; watches and leases start again.
    4005 Warn StoreEraChanged { from: Era, to: Era } => "the store was restored from a copy: {from} became {to}";

    /// The store sent rows that cannot be read, and that another writer may have left there. They are skipped; all others are followed.
    4006 Warn RowsSkipped { rows: u64 } => "{rows} rows of the store cannot be read and are skipped";

    /// A target registered with its daemon.
    5001 Info TargetAnnounced { service: Name, slots: u32 } => "target of {service} with {slots} slots";
    /// The target accepts no new calls.
    5002 Info TargetDraining { service: Name } => "target of {service} is draining";
    /// The target refuses connections. It receives no calls until it accepts connections again.
    5003 Warn TargetDown { address: SocketAddr } => "target {address} refuses connections";
    /// The target accepts connections again and receives calls.
    5004 Info TargetUp { address: SocketAddr } => "target {address} accepts connections";
    /// Another process has become the target of this VM.
    5006 Info TargetReplaced { service: Name, instance: String, slots: u32 } => "process {instance} of {service} with {slots} slots is the new target";
    /// A report is malformed or names an unknown service; it is ignored.
    5007 Warn BadReport { instance: String, reason: String } => "rejected the report of {instance}: {reason}";
    /// A report arrived after a newer one and is ignored.
    5008 Info LateReport { instance: String, seq: u64 } => "report {seq} of {instance} arrived after a newer one";
    /// The target deregistered or reported that it is draining. It receives no new calls once this report is acknowledged.
    5009 Info TargetLeaving { instance: String } => "process {instance} is leaving";
    /// The target has not reported within the expected time. It receives no calls until its next report.
    5010 Warn TargetSilent { instance: String, ms: u128 } => "no report from {instance} for {ms} ms";

    /// The target takes no more than this many calls per second from all callers together. Calls beyond it wait or are rejected.
    5011 Warn TargetLimited { instance: String, per_second: f64 } => "process {instance} takes {per_second} calls per second";
    /// The target names no limit on its calls per second any more.
    5012 Info TargetUnlimited { instance: String } => "process {instance} names no limit any more";

    /// The process of the target ended without having said that it leaves, while it ran calls. Each of them may be the cause; the same call in several such lines is. `calls` lists their fingerprints, which are the same at each arrival of a call. A target that had answered no call since it was last replaced may be unable to run any.
    5013 Warn TargetEnded { instance: String, running: usize, had_answered: bool, calls: String } => "process {instance} ended while it ran {running} calls (had answered others: {had_answered}): {calls}";

    /// Targets have crashed under a call that another daemon tells of. After two crashes in a row the call is rejected for a time that grows with each further one; zero crashes mean that a target has answered it since.
    5014 Info SuspectKnown { call: Fingerprint, crashes: u32, origin: Vm } => "{crashes} targets crashed in a row under call {call}, reported by {origin}";
    /// A target has crashed under a call that this daemon's target was running, and under `crashes` in a row. A call that ran beside the cause has one crash and is cleared by its next response.
    5015 Warn SuspectRaised { call: Fingerprint, crashes: u32 } => "{crashes} targets crashed in a row under call {call}";
    /// This daemon's target has answered a call under which targets had crashed.
    5016 Info SuspectCleared { call: Fingerprint, crashes: u32 } => "call {call} was answered after {crashes} crashes in a row";

    /// A process said that it leaves, and others keep that, so that a restart of this daemon does not forget it. The report is acknowledged. `peers` counts those that had confirmed by then.
    5017 Info DepartureKept { instance: String, peers: usize, store: bool, took_ms: u64 } => "the departure of {instance} is kept by {peers} peers (store: {store}) after {took_ms} ms";
    /// A process said that it leaves, and neither the store nor enough peers could be told. It gets no calls, but its report is not acknowledged, and it sends another one.
    5018 Warn DepartureNotKept { instance: String, peers: usize, took_ms: u64 } => "the departure of {instance} is kept by {peers} peers only after {took_ms} ms: not acknowledged";
    /// A daemon that started knows which processes of its VM have left. From now on its target may get calls. `basis` says why the answers suffice: `keepers-and-store`, `keepers`, `target` (the process itself has answered, or started with the daemon), `settled-store` (the store has been responding for two seconds) or `expired`. `peers` counts the keepers that have answered; one that has just started does not count.
    5019 Info DeparturesLearned { peers: usize, store: bool, processes: usize, basis: Basis, uptime_ms: u64 } => "{peers} peers (store: {store}) know of {processes} departures from this VM, which suffices ({basis}) {uptime_ms} ms after the start";
    /// A process reported before the departures from its VM were known. It gets no calls until MP5019.
    5020 Info TargetDeferred { instance: String } => "process {instance} gets no calls before the departures from this VM are known";
    /// A departure that only peers had confirmed was stored later, for example after an outage of the store.
    5021 Info DepartureStored { instance: String, vm: Vm, age_ms: u64 } => "the departure of {instance} from {vm} was stored {age_ms} ms after it";

    /// The usable slots of the target were cut because its answers took much longer than their routes usually take, or because it rejected calls. They rise again as its answers allow. Written at most once a second with the cuts since the last line.
    5101 Warn PaceCut { cuts: u32, usable: u32, slots: u32 } => "usable slots cut {cuts} times, now {usable} of {slots}";
    /// All slots of the target are usable. Written at most once a second.
    5102 Info PaceFull { slots: u32 } => "all {slots} slots of the target are usable";
    /// A process became the target while `routing.target_pace` is on. A process that has run for longer than it takes to warm up starts with all its slots.
    5103 Info PaceStarted { instance: String, warm: bool, usable: u32, slots: u32 } => "process {instance} starts with {usable} of {slots} slots (warm: {warm})";

    /// The connection limit of a listener is reached; new connections are closed immediately.
    5005 Warn ConnectionLimit { listener: String, limit: usize } => "{listener} has reached its limit of {limit} connections";

    /// A call was rejected without having run; the response states when to retry.
    7001 Info CallRefused { id: String, route: String, service: String, point: FailurePoint, sent: u32, took_ms: u64, retry_ms: u64, version: Version }
        => "call {id} on {route} to {service} rejected at {point}: {sent} attempts, {took_ms} ms, retry in {retry_ms} ms, routed by {version}";
    /// A call failed or its outcome is unknown; the response states the outcome.
    7002 Warn CallFailed { id: String, route: String, service: String, outcome: Outcome, point: FailurePoint, sent: u32, took_ms: u64, version: Version }
        => "call {id} on {route} to {service} ended {outcome} at {point}: {sent} attempts, {took_ms} ms, routed by {version}";
    /// An attempt did not succeed; the call may continue with another attempt.
    7003 Info AttemptEnded { id: String, attempt: AttemptId, vm: Vm, point: FailurePoint, took_ms: u64 }
        => "call {id} attempt {attempt} at {vm} ended at {point} after {took_ms} ms";
    /// The inbound proxy rejected an attempt and did not hand it over to the target.
    7004 Info AttemptRefused { id: String, attempt: AttemptId, route: Name, rank: u8, point: FailurePoint, running: u32, queued: u32, slots: u32, per_second: String, receive_ms: u32, link_ms: u32, left_ms: u64 }
        => "call {id} attempt {attempt} on {route}, rank {rank}, rejected at {point}: {running} running, {queued} queued, {slots} slots, {per_second} per second, link free for requests in {receive_ms} ms, for responses in {link_ms} ms, {left_ms} ms left";
    /// An attempt was handed over to the target, but no usable response was received.
    7005 Warn AttemptLost { id: String, attempt: AttemptId, route: Name, point: FailurePoint, took_ms: u64, fingerprint: Fingerprint }
        => "call {id} attempt {attempt} on {route} lost at {point} after {took_ms} ms, fingerprint {fingerprint}";
    /// Log lines about calls were suppressed to keep logs small under load. The counters in the metrics are complete.
    7006 Info LinesLeftOut { lines: u64 } => "{lines} log lines about calls were suppressed";
    /// A call was not handed over, because targets have crashed under it. It is rejected until the time that the response states, then tried on one target.
    7008 Warn CallBackedOff { id: String, call: Fingerprint, crashes: u32, retry_ms: u64 } => "call {id} rejected after {crashes} crashes in a row under {call}, retry in {retry_ms} ms";
    /// No route matches a call, or this daemon cannot serve it.
    7007 Info CallUnroutable { id: String, reason: String, version: Version } => "call {id} not routed: {reason}, by {version}";

    /// A call was rejected with status 401: it carries no key, its credentials are malformed, or its key belongs to no workspace of the version in force. MP7102 shows when keys changed on this daemon.
    7101 Info KeyRejected { id: String, route: String, reason: String, version: Version } => "call {id} on {route} rejected for its key: {reason}, by {version}";
    /// A version with other keys is in force on this daemon. A key that moved to another workspace counts as added and as removed.
    7102 Info KeysChanged { version: Version, workspaces: usize, added: usize, removed: usize } => "{version} has {workspaces} workspaces, {added} keys added, {removed} removed";
    /// This daemon began to lend the tokens of workspaces with a quota. No token is lent in the first 0.8 s, since the previous allocator may still lend.
    7201 Info AllocatorBegan { workspaces: usize, reachable: u32, known: u32 } => "allocator of {workspaces} workspaces, {reachable} of {known} members reachable";
    /// This daemon no longer lends tokens of workspaces.
    7202 Info AllocatorEnded {} => "no longer an allocator";
    /// Calls of a workspace are rejected because its quota is used up. Logged at most once a second per workspace and daemon.
    7203 Info WorkspaceAtQuota { workspace: Name, rejected: u64, retry_ms: u64 } => "workspace {workspace} is at its quota: {rejected} calls rejected since the last such line, retry in {retry_ms} ms";
    /// A call was rejected by the quota of its workspace. The cause is `at-quota`, or `no-grant` if no allocator responded in time.
    7204 Info CallOverQuota { id: String, workspace: Name, cause: String, retry_ms: u64, allocator: String } => "call {id} of workspace {workspace} rejected: {cause}, retry in {retry_ms} ms, allocator {allocator}";

    /// A listener of the operators' API failed.
    6001 Error ApiFailed { reason: String } => "the operators' API failed: {reason}";
}
