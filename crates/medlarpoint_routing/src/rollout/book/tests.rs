//! Tests of [`super`].

use std::time::Duration;

use super::{Book, Order, Phase, Rollout};
use crate::rollout::OrderId;

const SECOND: Duration = Duration::from_secs(1);

fn rollout(era: u64, revision: u64, phase: Phase, age: Duration) -> Rollout {
    let id = OrderId { era, revision };
    let service = "desk".parse().unwrap();
    let order = Order { id, service, version: "v2".into(), period: SECOND * 12 };
    Rollout { order, phase, reason: String::new(), age }
}

fn phase(book: &Book) -> Phase {
    book.get(SECOND, &"desk".parse().unwrap()).unwrap().phase
}

/// Guards against daemons that keep different phases, whatever the order in which they hear
/// of them.
#[test]
fn the_later_phase_of_an_order_wins() {
    for order in [[Phase::RolledBack, Phase::Shifting], [Phase::Shifting, Phase::RolledBack]] {
        let mut book = Book::default();
        for phase in order {
            book.merge(SECOND, &rollout(1, 7, phase, SECOND));
        }
        assert_eq!(phase(&book), Phase::RolledBack);
        assert!(!book.merge(SECOND, &rollout(1, 7, Phase::Canary, SECOND)));
        // The store holds the order as completed, which is final.
        assert!(book.merge(SECOND, &rollout(1, 7, Phase::Completed, SECOND)));
        assert!(!book.merge(SECOND, &rollout(1, 7, Phase::RolledBack, SECOND)));
    }
}

#[test]
fn a_later_order_replaces_an_earlier_one() {
    let mut book = Book::default();
    assert!(book.merge(SECOND, &rollout(1, 7, Phase::RolledBack, SECOND)));
    assert!(book.merge(SECOND, &rollout(1, 9, Phase::Canary, Duration::ZERO)));
    assert!(!book.merge(SECOND, &rollout(1, 7, Phase::RolledBack, SECOND)));
    assert_eq!(phase(&book), Phase::Canary);
}

/// Guards against a rolled-back version that gets calls again after the store was restored
/// from a copy, which returns the order in a new era.
#[test]
fn an_order_keeps_its_phase_when_the_store_is_restored() {
    let mut book = Book::default();
    book.merge(SECOND, &rollout(1, 7, Phase::RolledBack, SECOND));
    assert!(!book.merge(SECOND, &rollout(2, 7, Phase::Canary, Duration::ZERO)));
    assert_eq!(phase(&book), Phase::RolledBack);
}

/// Guards against a daemon that starts in the middle of an order and takes it for new.
#[test]
fn the_oldest_known_age_is_kept() {
    let mut book = Book::default();
    book.merge(SECOND, &rollout(1, 7, Phase::Canary, Duration::ZERO));
    book.merge(SECOND, &rollout(1, 7, Phase::Canary, SECOND * 5));
    let age = book.get(SECOND * 2, &"desk".parse().unwrap()).unwrap().age;
    assert_eq!(age, SECOND * 6);
}
