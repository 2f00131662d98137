//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::{Version, Vm};
use medlarpoint_wire::Tip;

use super::{Distance, Rank, Scheduler};

const NOW: Duration = Duration::from_secs(10);

fn tip(version: u64) -> Tip {
    Tip { version: Version(version), ..Tip::default() }
}

#[test]
fn a_peer_without_the_version_it_announced_is_not_pulled_from_again() {
    let peer: Vm = "vm-1".parse().unwrap();
    let mut scheduler = Scheduler::default();
    scheduler.add_candidate(NOW, &peer, tip(7), Distance::Near, Rank::First);
    assert_eq!(scheduler.next_peer(NOW), Some(peer.clone()));
    // The peer has restarted since its announcement and has no newer version.
    scheduler.on_finished(NOW, &peer, true);
    assert_eq!(scheduler.next_peer(NOW), None);
}

#[test]
fn a_version_that_was_pulled_is_not_pulled_again() {
    let peer: Vm = "vm-1".parse().unwrap();
    let mut scheduler = Scheduler::default();
    scheduler.add_candidate(NOW, &peer, tip(7), Distance::Near, Rank::First);
    assert_eq!(scheduler.next_peer(NOW), Some(peer.clone()));
    scheduler.set_tip(tip(7));
    scheduler.on_finished(NOW, &peer, true);
    assert_eq!(scheduler.next_peer(NOW), None);
    scheduler.add_candidate(NOW, &peer, tip(8), Distance::Near, Rank::First);
    assert_eq!(scheduler.next_peer(NOW), Some(peer));
}

/// Guards against CONFIG of issue 25: daemons that are not gateways waited for gateways
/// that had lost power, however old their version was.
#[test]
fn a_daemon_whose_version_may_be_too_old_does_not_wait_for_nearer_peers() {
    let remote: Vm = "vm-1".parse().unwrap();
    let mut scheduler = Scheduler::default();
    scheduler.add_candidate(NOW, &remote, tip(7), Distance::Remote, Rank::Rest);
    assert_eq!(scheduler.next_peer(NOW), None);
    scheduler.expedite(NOW);
    assert_eq!(scheduler.next_peer(NOW), Some(remote));
}

/// Guards against CONFIG of issue 25: a pull from a peer that lost power kept all other
/// peers waiting until it timed out.
#[test]
fn a_peer_that_does_not_respond_delays_the_pull_from_another_only_briefly() {
    let (silent, other): (Vm, Vm) = ("vm-1".parse().unwrap(), "vm-2".parse().unwrap());
    let mut scheduler = Scheduler::default();
    scheduler.add_candidate(NOW, &silent, tip(7), Distance::Near, Rank::First);
    scheduler.add_candidate(NOW, &other, tip(7), Distance::Near, Rank::First);
    assert_eq!(scheduler.next_peer(NOW), Some(silent));
    assert_eq!(scheduler.next_peer(NOW + Duration::from_millis(500)), Some(other));
}
