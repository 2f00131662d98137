//! Numbered log events. Codes are stable and never reused.

use std::fmt;
use std::net::SocketAddr;

use medlarpoint_config::Rejection;
use medlarpoint_model::{DataCentre, Name, Version, Vm};
use medlarpoint_routing::{AttemptId, FailurePoint, Outcome};
use medlarpoint_wire::Status;

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Level {
    /// Ordinary course of events.
    Info,
    /// Something an operator may want to look at.
    Warn,
    /// Something an operator has to look at.
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
    /// Message with its fields in braces.
    pub text: &'static str,
    /// When it occurs and what to do.
    pub meaning: &'static str,
}

macro_rules! events {
    ($(
        $(#[doc = $doc:literal])+
        $code:literal $level:ident $name:ident { $($field:ident: $type:ty),* } => $text:literal;
    )+) => {
        /// Something worth a line in the log.
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

        /// All events, in order of their numbers.
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
    /// The daemon listens on its addresses. It serves callers once event 1002 follows.
    1001 Info Started { vm: Vm, calls: SocketAddr, inbound: SocketAddr, peer: SocketAddr, api: SocketAddr }
        => "{vm} started: calls {calls}, inbound {inbound}, peer {peer}, api {api}";
    /// The daemon holds a version at least as new as that of every peer it can reach.
    1002 Info Ready { version: Version } => "serving with {version}";
    /// A planned stop began: new work is refused and work in flight ends first.
    1003 Info Stopping { unfinished: usize } => "stopping, {unfinished} calls in flight";
    /// The planned stop is over.
    1004 Info Stopped {} => "stopped";
    /// Work was still in flight when the drain timeout ran out. Raise `drain_timeout_ms` if it was cut off.
    1005 Warn DrainTimeout { unfinished: usize } => "drain timeout with {unfinished} calls in flight";
    /// Neither a peer nor the store can be reached, so the newest version is not known and no caller is served. Check `seeds`, `store.endpoints` and the network.
    1006 Warn Waiting { reason: String } => "not serving yet: {reason}";
    /// The process did not run for a while. Its own doubts go before doubts of others.
    1007 Warn Paused { ms: u128 } => "the process was paused for {ms} ms";
    /// The settings file was read again. Only `service` and `bounds` take effect without a start.
    1008 Info Reloaded { changed: bool } => "settings read again, changed: {changed}";
    /// The settings file changed but has a fault; the settings in use stay.
    1009 Error ReloadFailed { reason: String } => "settings not taken: {reason}";

    /// A newer version is in force on this daemon.
    2001 Info Applied { version: Version, from: String } => "{version} in force, from {from}";
    /// A version was offered that fails a check; the version in force stays. `medlarpoint why --version` tells more.
    2002 Error Rejected { from: String, reason: Rejection } => "refused a version from {from}: {reason}";
    /// The store offers an older version than is in force, for example after a restore from a backup. A reader writes the newer one back.
    2003 Error StoreBehind { reason: Rejection } => "the store has fallen behind: {reason}";
    /// The store holds the version in force again.
    2004 Info StoreRestored { version: Version } => "wrote {version} back to the store";
    /// An operator's change was committed through this daemon.
    2005 Info Committed { version: Version, author: String } => "{author} committed {version}";
    /// An operator's change was refused; nothing changed.
    2006 Info CommitRefused { author: String, reason: String } => "refused a change by {author}: {reason}";
    /// It is not known whether an operator's change took effect. The operator should resend it with the same commit id.
    2007 Warn CommitUnknown { author: String, commit: String } => "outcome of commit {commit} by {author} is unknown";
    /// A data centre has a version in force on each of its live members.
    2008 Info InForce { data_centre: DataCentre, version: Version } => "{version} in force in {data_centre}";
    /// A peer that announced a version could not be asked for it. Another one is tried.
    2009 Warn PullFailed { vm: Vm, reason: String } => "cannot fetch configuration from {vm}: {reason}";

    /// The configuration in the store cannot be read; the version in force stays.
    2010 Error Unreadable { reason: String } => "the configuration in the store is not usable: {reason}";

    /// The liveness of a member changed.
    3001 Info Member { vm: Vm, status: Status } => "{vm} is {status}";
    /// A datagram was refused: malformed, of another fleet, or of a protocol version that is not supported.
    3002 Warn BadDatagram { from: SocketAddr, reason: String } => "refused a datagram from {from}: {reason}";
    /// A table exchange with a peer failed.
    3003 Warn SyncFailed { peer: SocketAddr, reason: String } => "table exchange with {peer} failed: {reason}";

    /// Control traffic sent in the last ten seconds, by how far it goes.
    3004 Info ControlTraffic { near: u64, region: u64, remote: u64, messages: u64, pulls: u64 } => "control traffic in ten seconds: {near} B near, {region} B in the region, {remote} B to other regions, {messages} messages, {pulls} pulls";

    /// The store does not answer. Writes are refused; reads and calls go on.
    4001 Warn StoreDown { reason: String } => "the store is not available: {reason}";
    /// The store answers again.
    4002 Info StoreUp {} => "the store is available again";

    /// The store no longer has this daemon's entry; it is made anew.
    4003 Warn EntryLapsed {} => "the store has lost the entry of this daemon";
    /// An entry of another daemon in the store cannot be read and is left out.
    4004 Warn BadEntry { key: String, reason: String } => "the entry {key} is not usable: {reason}";

    /// A target announced itself to its daemon.
    5001 Info TargetAnnounced { service: Name, slots: u32 } => "target of {service} with {slots} slots";
    /// The target takes no new work.
    5002 Info TargetDraining { service: Name } => "target of {service} is draining";
    /// The target refuses connections and is taken out until it accepts them again.
    5003 Warn TargetDown { address: SocketAddr } => "target {address} refuses connections";
    /// The target accepts connections again.
    5004 Info TargetUp { address: SocketAddr } => "target {address} accepts connections";
    /// The target of this VM is another process than before.
    5006 Info TargetReplaced { service: Name, instance: String, slots: u32 } => "process {instance} of {service} with {slots} slots is the target";
    /// A report names no target, or not the one of this VM; it is left out.
    5007 Warn BadReport { instance: String, reason: String } => "refused the report of {instance}: {reason}";
    /// A report was overtaken by a newer one.
    5008 Info LateReport { instance: String, seq: u64 } => "report {seq} of {instance} came late";
    /// The target leaves: it takes no new work from the acknowledgement of this report on.
    5009 Info TargetLeaving { instance: String } => "process {instance} leaves";
    /// Nothing was heard of the target for a while, so it is taken out until its next report.
    5010 Warn TargetSilent { instance: String, ms: u128 } => "nothing heard of {instance} for {ms} ms";

    /// The connection limit of a listener is reached; new connections are closed at once.
    5005 Warn ConnectionLimit { listener: String, limit: usize } => "{listener} has {limit} connections";

    /// A caller was told that its call has not run, and when to come back.
    7001 Info CallRefused { id: String, route: String, service: String, point: FailurePoint, sent: u32, took_ms: u64, retry_ms: u64, version: Version }
        => "call {id} on {route} to {service} refused at {point}: {sent} attempts, {took_ms} ms, back in {retry_ms} ms, routed by {version}";
    /// A caller was told that its call failed, or that its outcome is not known.
    7002 Warn CallFailed { id: String, route: String, service: String, outcome: Outcome, point: FailurePoint, sent: u32, took_ms: u64, version: Version }
        => "call {id} on {route} to {service} ended {outcome} at {point}: {sent} attempts, {took_ms} ms, routed by {version}";
    /// An attempt did not succeed; the call may go on with another one.
    7003 Info AttemptEnded { id: String, attempt: AttemptId, vm: Vm, point: FailurePoint, took_ms: u64 }
        => "call {id} attempt {attempt} at {vm} ended at {point} after {took_ms} ms";
    /// The inbound proxy handed an attempt to nobody.
    7004 Info AttemptRefused { id: String, attempt: AttemptId, route: Name, rank: u8, point: FailurePoint, running: u32, queued: u32, slots: u32, left_ms: u64 }
        => "call {id} attempt {attempt} on {route}, rank {rank}, refused at {point}: {running} running, {queued} waiting, {slots} slots, {left_ms} ms left";
    /// An attempt was handed to the target, and no usable answer came.
    7005 Warn AttemptLost { id: String, attempt: AttemptId, route: Name, point: FailurePoint, took_ms: u64 }
        => "call {id} attempt {attempt} on {route} lost at {point} after {took_ms} ms";
    /// Lines about calls were left out, so that logs stay small under load. The counters in the metrics are whole.
    7006 Info LinesLeftOut { lines: u64 } => "{lines} lines about calls were left out";
    /// A call found no route, or this daemon cannot serve it.
    7007 Info CallUnroutable { id: String, reason: String, version: Version } => "call {id} not routed: {reason}, by {version}";

    /// A listener of the operators' API failed.
    6001 Error ApiFailed { reason: String } => "the operators' API failed: {reason}";
}
