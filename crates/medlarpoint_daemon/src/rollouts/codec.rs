//! Converts orders and reports to the form in which daemons exchange them, and back.

use std::time::Duration;

use medlarpoint_model::Name;
use medlarpoint_routing::rollout::{
    DaemonReport, Order, OrderId, Phase, Rollout, RouteCounts, Tally,
};
use medlarpoint_wire::{self as wire, BootId, RolloutPhase, RolloutRoute, RolloutTally};

/// Limit on the length of a reason, in characters, so that it fits into a datagram.
const MAX_REASON_CHARS: usize = 120;

pub(super) fn encode(rollout: &Rollout) -> wire::Rollout {
    let Rollout { order, phase, reason, age } = rollout;
    wire::Rollout {
        service: order.service.clone(),
        version: order.version.clone(),
        era: order.id.era,
        revision: order.id.revision,
        period_ms: order.period.as_millis() as u64,
        phase: match phase {
            Phase::Canary => RolloutPhase::Canary,
            Phase::Shifting => RolloutPhase::Shifting,
            Phase::RolledBack => RolloutPhase::RolledBack,
            Phase::Completed => RolloutPhase::Completed,
        },
        reason: reason.chars().take(MAX_REASON_CHARS).collect(),
        age_ms: age.as_millis() as u64,
    }
}

pub(super) fn decode(rollout: &wire::Rollout) -> Rollout {
    Rollout {
        order: Order {
            id: OrderId { era: rollout.era, revision: rollout.revision },
            service: rollout.service.clone(),
            version: rollout.version.clone(),
            period: Duration::from_millis(rollout.period_ms),
        },
        phase: match rollout.phase {
            RolloutPhase::Canary => Phase::Canary,
            RolloutPhase::Shifting => Phase::Shifting,
            RolloutPhase::RolledBack => Phase::RolledBack,
            RolloutPhase::Completed => Phase::Completed,
        },
        reason: rollout.reason.clone(),
        age: Duration::from_millis(rollout.age_ms),
    }
}

fn encode_tally(tally: Tally) -> RolloutTally {
    let Tally { responses, failures, slow } = tally;
    RolloutTally { responses, failures, slow }
}

fn decode_tally(tally: RolloutTally) -> Tally {
    let RolloutTally { responses, failures, slow } = tally;
    Tally { responses, failures, slow }
}

pub(super) fn encode_route((route, counts): &(Name, RouteCounts)) -> RolloutRoute {
    let targets = counts.targets.iter();
    RolloutRoute {
        route: route.clone(),
        old: encode_tally(counts.old),
        new: encode_tally(counts.new),
        targets: targets.map(|(vm, tally)| (vm.clone(), encode_tally(*tally))).collect(),
    }
}

/// Returns the report that a datagram contains.
pub(crate) fn decode_report(boot: BootId, settled: bool, routes: &[RolloutRoute]) -> DaemonReport {
    let route = |told: &RolloutRoute| {
        let targets = told.targets.iter();
        let targets = targets.map(|(vm, tally)| (vm.clone(), decode_tally(*tally))).collect();
        let (old, new) = (decode_tally(told.old), decode_tally(told.new));
        (told.route.clone(), RouteCounts { old, new, targets })
    };
    DaemonReport { boot: boot.0, settled, routes: routes.iter().map(route).collect() }
}
