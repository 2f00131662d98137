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
fn a_peer_that_has_nothing_newer_after_all_is_not_asked_again_and_again() {
    let peer: Vm = "vm-1".parse().unwrap();
    let mut spreader = Scheduler::default();
    spreader.add_candidate(NOW, &peer, tip(7), Distance::Near, Rank::First);
    assert_eq!(spreader.next_peer(NOW), Some(peer.clone()));
    // It restarted in between and answers that it has nothing.
    spreader.on_finished(NOW, &peer, true);
    assert_eq!(spreader.next_peer(NOW), None);
}

#[test]
fn a_peer_that_brought_the_version_is_not_asked_for_it_again() {
    let peer: Vm = "vm-1".parse().unwrap();
    let mut spreader = Scheduler::default();
    spreader.add_candidate(NOW, &peer, tip(7), Distance::Near, Rank::First);
    assert_eq!(spreader.next_peer(NOW), Some(peer.clone()));
    spreader.set_tip(tip(7));
    spreader.on_finished(NOW, &peer, true);
    assert_eq!(spreader.next_peer(NOW), None);
    spreader.add_candidate(NOW, &peer, tip(8), Distance::Near, Rank::First);
    assert_eq!(spreader.next_peer(NOW), Some(peer));
}
