//! Targets of the new version that get calls before it is judged good.

use medlarpoint_model::Vm;

/// Share of the calls, and of the number of old targets, that the canary targets get. It is
/// below the share that the installation allows, 0.1, since daemons count on their own.
pub(crate) const CANARY_SHARE: f64 = 0.08;
/// Smallest number of canary targets: a single failing target must not decide.
const MIN_CANARY_TARGETS: usize = 2;

/// Returns the number of canary targets beside a number of old targets. With the same share
/// of targets as of calls, a canary target gets the load that production has.
pub fn canary_size(old_targets: usize) -> usize {
    let share = (old_targets as f64 * CANARY_SHARE).round() as usize;
    share.max(MIN_CANARY_TARGETS)
}

/// Returns the canary targets among the new targets, by rendezvous hash, so that daemons
/// with the same view select the same ones.
pub fn canary_targets<'a>(
    revision: u64,
    new_targets: impl Iterator<Item = &'a Vm>,
    old_targets: usize,
) -> Vec<&'a Vm> {
    let weight = |vm: &Vm| {
        let mut bytes = revision.to_le_bytes().to_vec();
        bytes.extend_from_slice(vm.as_str().as_bytes());
        rapidhash::v3::rapidhash_v3(&bytes)
    };
    let mut order: Vec<(u64, &Vm)> = new_targets.map(|vm| (weight(vm), vm)).collect();
    order.sort_unstable();
    order.truncate(canary_size(old_targets));
    order.into_iter().map(|(_, vm)| vm).collect()
}
