//! Targets of one service by version, and the choice between them for each call.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use medlarpoint_model::{Name, Vm};

use super::{Counts, Exposure, OrderId, Phase, Rollout, Tally, canary_targets};

/// Factor on the usual time of the old version above which a response is slow.
const SLOW_FACTOR: u32 = 3;
/// The same for the age of an attempt that was abandoned, which includes its wait for a slot.
const ABANDONED_FACTOR: u32 = 5;
/// Time for which slow responses of a new target are not counted: it starts cold.
const COLD_TIME: Duration = Duration::from_secs(4);
/// Time after an order's period for which a completed order keeps calls from old targets:
/// they stop at once, and members learn of it later.
const COMPLETED_HOLD: Duration = Duration::from_secs(30);
/// Time for which targets whose order is not known get no calls although there are no
/// others. The order is fetched meanwhile.
const UNKNOWN_ORDER_TIME: Duration = Duration::from_secs(2);

/// Group of a target with respect to the order of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Group {
    /// Not of the ordered version, or there is no order.
    #[default]
    Old,
    /// Of the ordered version, and gets calls before the version is judged good.
    Canary,
    /// Of the ordered version.
    New,
    /// Of a version whose order is not known here.
    Unknown,
}

/// Groups of targets from which an attempt may select.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Choice {
    /// All targets.
    #[default]
    All,
    /// Targets of the old version.
    Old,
    /// Canary targets.
    Canary,
    /// All targets of the ordered version.
    New,
}

impl Choice {
    /// Returns whether an attempt may select a target of a group.
    pub fn allows(self, group: Group) -> bool {
        match self {
            Self::All => true,
            Self::Old => group == Group::Old,
            Self::Canary => group == Group::Canary,
            Self::New => matches!(group, Group::Canary | Group::New),
        }
    }
}

/// A ready target of the service, as it announces itself.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// VM of the target.
    pub vm: &'a Vm,
    /// Software version that it reports.
    pub version: Option<&'a str>,
    /// Revision of the order for this version that its daemon knows.
    pub order: Option<u64>,
}

/// End of an attempt at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Whether the target failed the call.
    pub failed: bool,
    /// Time that the target took, or the age of an attempt that was abandoned.
    pub took: Duration,
    /// Whether the attempt was abandoned without a response.
    pub abandoned: bool,
}

/// Order in force for the service.
#[derive(Clone, Debug)]
struct Current {
    id: OrderId,
    phase: Phase,
    /// Time until which a completed order keeps calls from old targets.
    hold_until: Duration,
}

/// State of one service at one daemon.
#[derive(Clone, Debug, Default)]
pub struct Split {
    current: Option<Current>,
    exposure: Option<Exposure>,
    counts: Counts,
    groups: IndexMap<Vm, Group>,
    /// Groups of which a target is ready.
    ready: IndexSet<Group>,
    /// Whether a target of the old version is known, ready or not.
    old_known: bool,
    /// Time when a target of the ordered version was first seen ready.
    seen_at: IndexMap<Vm, Duration>,
    /// Time since which there is a target of an order that is not known.
    unknown_since: Option<Duration>,
    /// Last known usual service time of the old version by route.
    usual: IndexMap<Name, Duration>,
}

impl Split {
    /// Takes the order of the service and its ready targets. `old_known` states whether any
    /// member, live or not, has a target of another version than the ordered one. `start` is
    /// uniformly random in `0..1`. Returns the group of each target.
    pub fn assign(
        &mut self,
        now: Duration,
        rollout: Option<&Rollout>,
        targets: &[Target<'_>],
        old_known: bool,
        start: f64,
    ) -> &IndexMap<Vm, Group> {
        self.set_order(now, rollout, start);
        self.old_known = old_known;
        let known = rollout.map_or(0, |rollout| rollout.order.id.revision);
        let version = rollout.map(|rollout| &*rollout.order.version);
        let is_new = |target: &Target<'_>| version.is_some() && target.version == version;
        let old_targets = targets.iter().filter(|target| !is_new(target)).count();
        let new_targets = targets.iter().filter(|target| is_new(target)).map(|target| target.vm);
        let canary = canary_targets(known, new_targets, old_targets);
        let group = |target: &Target<'_>| match target.order {
            _ if is_new(target) && canary.contains(&target.vm) => Group::Canary,
            _ if is_new(target) => Group::New,
            Some(order) if order > known => Group::Unknown,
            _ => Group::Old,
        };
        self.groups = targets.iter().map(|target| (target.vm.clone(), group(target))).collect();
        self.ready = self.groups.values().copied().collect();
        self.seen_at
            .retain(|vm, _| matches!(self.groups.get(vm), Some(Group::Canary | Group::New)));
        for (vm, group) in &self.groups {
            if matches!(group, Group::Canary | Group::New) {
                self.seen_at.entry(vm.clone()).or_insert(now);
            }
        }
        let has_unknown = self.ready.contains(&Group::Unknown);
        self.unknown_since = has_unknown.then(|| self.unknown_since.unwrap_or(now));
        &self.groups
    }

    fn set_order(&mut self, now: Duration, rollout: Option<&Rollout>, start: f64) {
        let Some(rollout) = rollout else {
            self.current = None;
            return;
        };
        let Rollout { order, phase, age, .. } = rollout;
        let is_same =
            self.current.as_ref().is_some_and(|known| known.id.revision == order.id.revision);
        if !is_same {
            self.exposure = Some(Exposure::new(start));
            self.counts = Counts::default();
            self.seen_at.clear();
            self.usual.clear();
        }
        let hold_until = now + (order.period + COMPLETED_HOLD).saturating_sub(*age);
        self.current = Some(Current { id: order.id, phase: *phase, hold_until });
    }

    /// Returns the group of each ready target.
    pub fn groups(&self) -> &IndexMap<Vm, Group> {
        &self.groups
    }

    /// Returns the VMs of the targets whose order is not known.
    pub fn unknown_targets(&self) -> Vec<Vm> {
        let unknown = self.groups.iter().filter(|(_, group)| **group == Group::Unknown);
        unknown.map(|(vm, _)| vm.clone()).collect()
    }

    fn has_new(&self) -> bool {
        self.ready.contains(&Group::Canary) || self.ready.contains(&Group::New)
    }

    /// Returns the targets from which an attempt may select. Only the first attempt of a call
    /// without an idempotency key may go to a canary target; the same key has to reach the
    /// same target.
    pub fn choose(&mut self, now: Duration, first: bool, keyed: bool) -> Choice {
        let Some(current) = &self.current else {
            let Some(since) = self.unknown_since else {
                return Choice::All;
            };
            let may_wait = now.saturating_sub(since) < UNKNOWN_ORDER_TIME;
            return if self.ready.contains(&Group::Old) || may_wait {
                Choice::Old
            } else {
                Choice::All
            };
        };
        match current.phase {
            Phase::Canary if !self.old_known => Choice::New,
            Phase::Canary if first => {
                let is_possible = !keyed && self.ready.contains(&Group::Canary);
                let exposed = self.exposure.as_mut().is_some_and(|e| e.next(is_possible));
                if exposed { Choice::Canary } else { Choice::Old }
            }
            Phase::Shifting if self.has_new() => Choice::New,
            Phase::Canary | Phase::Shifting | Phase::RolledBack => Choice::Old,
            Phase::Completed if now < current.hold_until && self.has_new() => Choice::New,
            Phase::Completed => Choice::All,
        }
    }

    /// Returns whether an attempt may be sent to the target on a VM, which was not selected
    /// by this daemon.
    pub fn permits(&self, vm: &Vm) -> bool {
        let group = self.groups.get(vm).copied().unwrap_or_default();
        match self.current.as_ref().map(|current| current.phase) {
            Some(Phase::RolledBack) => group == Group::Old,
            Some(Phase::Canary) => group != Group::New,
            _ => true,
        }
    }

    /// Returns whether responses are counted.
    pub fn counts_responses(&self) -> bool {
        self.current.as_ref().is_some_and(|current| current.phase.is_active())
    }

    /// Counts the end of an attempt at a target. `usual` is the usual service time of the
    /// route at old targets.
    pub fn observe(
        &mut self,
        now: Duration,
        vm: &Vm,
        route: &Name,
        usual: Option<Duration>,
        observation: Observation,
    ) {
        if !self.counts_responses() {
            return;
        }
        if let Some(usual) = usual {
            self.usual.insert(route.clone(), usual);
        }
        let is_new = matches!(self.groups.get(vm), Some(Group::Canary | Group::New));
        let seen_at = self.seen_at.get(vm).copied().unwrap_or(now);
        let is_cold = is_new && now.saturating_sub(seen_at) < COLD_TIME;
        let usual = self.usual.get(route);
        let factor = if observation.abandoned { ABANDONED_FACTOR } else { SLOW_FACTOR };
        let is_slow = usual.is_some_and(|usual| observation.took > *usual * factor);
        let slow = is_slow && !is_cold && !observation.failed;
        if observation.abandoned && !slow {
            return;
        }
        let (failures, slow) = (u64::from(observation.failed), u64::from(slow));
        let tally = Tally { responses: 1, failures, slow };
        self.counts.record(route, is_new.then_some(vm), tally);
    }

    /// Returns whether this daemon sends all calls to the new version.
    pub fn has_shifted(&self) -> bool {
        let phase = self.current.as_ref().map(|current| current.phase);
        self.has_new() && matches!(phase, Some(Phase::Shifting | Phase::Completed))
    }

    /// Returns the number of ready targets of the ordered version.
    pub fn new_targets(&self) -> usize {
        let is_new = |group: &&Group| matches!(group, Group::Canary | Group::New);
        self.groups.values().filter(is_new).count()
    }

    /// Returns the identity of the order.
    pub fn order(&self) -> Option<OrderId> {
        Some(self.current.as_ref()?.id)
    }

    /// Returns the counts since the start of the order.
    pub fn counts_mut(&mut self) -> &mut Counts {
        &mut self.counts
    }

    /// Returns the numbers of calls since the start of the order: all, exposed.
    pub fn exposure(&self) -> (u64, u64) {
        self.exposure.map_or((0, 0), |exposure| exposure.counts())
    }
}

#[cfg(test)]
mod tests;
