//! Tests of [`super`] and of a [`Replica`] that applies publications.

use medlarpoint_model::{Name, PathPrefix, Resource, Route, Service, Version};
use medlarpoint_wire::{PullRequest, PullResponse};

use super::Publication;
use crate::replica::Effect;
use crate::{Rejection, Replica};

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn publication(version: u64, routes: &[&str]) -> Publication {
    let service = Resource::Service(Service { name: name("s"), policy: None });
    let route = |text: &&str| {
        let mut route = Route::new(name(text), name("s"));
        route.matcher.path_prefix = Some(PathPrefix::new(format!("/{text}/")));
        Resource::Route(route)
    };
    let resources = std::iter::once(service).chain(routes.iter().map(route)).collect();
    Publication { version: Version(version), author: "operator".to_owned(), at_ms: 1, resources }
}

#[test]
fn versions_may_skip_numbers_but_never_decrease() {
    let mut replica = Replica::default();
    assert_eq!(replica.apply_publication(publication(7, &["a"])), Ok(Effect::Applied(Vec::new())));
    let Ok(Effect::Applied(deltas)) = replica.apply_publication(publication(12, &["a", "b"]))
    else {
        panic!("a newer version must be applied");
    };
    assert_eq!((deltas[0].base, deltas[0].version), (Version(7), Version(12)));
    assert_eq!(deltas[0].changes.len(), 1);
    assert_eq!(replica.apply_publication(publication(9, &["c"])), Ok(Effect::Unchanged));
    assert_eq!(replica.current().routes().count(), 2);
}

#[test]
fn an_invalid_publication_leaves_the_version_in_force_unchanged() {
    let mut replica = Replica::default();
    replica.apply_publication(publication(7, &["a"])).unwrap();
    let mut bad = publication(8, &["b"]);
    bad.resources.remove(0);
    assert!(matches!(replica.apply_publication(bad), Err(Rejection::Mismatch(_))));
    assert_eq!(replica.current().version, Version(7));
}

#[test]
fn replicas_that_skipped_different_versions_converge_to_the_same_content() {
    let (mut complete, mut sparse) = (Replica::default(), Replica::default());
    for (version, routes) in [(7, &["a"][..]), (8, &["a", "b"]), (11, &["b", "c"])] {
        complete.apply_publication(publication(version, routes)).unwrap();
    }
    sparse.apply_publication(publication(7, &["a"])).unwrap();
    sparse.apply_publication(publication(11, &["b", "c"])).unwrap();
    assert_eq!(complete.tip(), sparse.tip());
    // A replica that has only version 7 catches up from either of them.
    for source in [&complete, &sparse] {
        let mut behind = Replica::default();
        behind.apply_publication(publication(7, &["a"])).unwrap();
        let update = source.respond(&PullRequest { have: behind.tip() });
        assert!(matches!(update, PullResponse::Deltas(_)));
        behind.apply(update).unwrap();
        assert_eq!(behind.tip(), complete.tip());
    }
}
