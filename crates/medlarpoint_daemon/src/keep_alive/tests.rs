//! Tests of [`super`].

use super::Connections;

#[test]
fn connections_are_kept_while_few_are_idle() {
    let connections = Connections::new(2);
    let open: Vec<_> = (0..5).map(|_| connections.track()).collect();
    assert!(connections.keeps_alive(3));
    drop(open);
    assert!(connections.keeps_alive(0));
}

/// Callers are rejected 100 times a second and retry on a new connection each time,
/// while they keep the earlier ones.
#[test]
fn callers_that_retry_on_new_connections_do_not_pile_them_up() {
    let connections = Connections::new(64);
    let mut open = Vec::new();
    let mut most = 0;
    for _ in 0..4_000 {
        open.push(connections.track());
        most = most.max(open.len());
        if !connections.keeps_alive(0) {
            open.pop();
        }
    }
    assert_eq!(most, 65);
}
