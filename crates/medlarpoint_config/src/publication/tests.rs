//! Tests of [`super`] and of the replica that takes what was published.

use medlarpoint_model::{Name, Resource, Route, Service, Version};
use medlarpoint_wire::{Pull, Update};

use super::Publication;
use crate::replica::Effect;
use crate::{Rejection, Replica};

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn published(version: u64, routes: &[&str]) -> Publication {
    let service = Resource::Service(Service { name: name("s"), policy: None });
    let route = |text: &&str| {
        let mut route = Route::new(name(text), name("s"));
        route.matcher.path_prefix = Some(format!("/{text}/"));
        Resource::Route(route)
    };
    let resources = std::iter::once(service).chain(routes.iter().map(route)).collect();
    Publication { version: Version(version), author: "operator".to_owned(), at_ms: 1, resources }
}

#[test]
fn versions_rise_in_uneven_steps_and_never_fall() {
    let mut replica = Replica::default();
    assert_eq!(replica.apply_publication(published(7, &["a"])), Ok(Effect::Applied(Vec::new())));
    let Ok(Effect::Applied(deltas)) = replica.apply_publication(published(12, &["a", "b"])) else {
        panic!("a later version is applied");
    };
    assert_eq!((deltas[0].base, deltas[0].version), (Version(7), Version(12)));
    assert_eq!(deltas[0].changes.len(), 1);
    assert_eq!(replica.apply_publication(published(9, &["c"])), Ok(Effect::Unchanged));
    assert_eq!(replica.current().routes().count(), 2);
}

#[test]
fn a_version_that_fails_a_check_changes_nothing() {
    let mut replica = Replica::default();
    replica.apply_publication(published(7, &["a"])).unwrap();
    let mut bad = published(8, &["b"]);
    bad.resources.remove(0);
    assert!(matches!(replica.apply_publication(bad), Err(Rejection::Mismatch(_))));
    assert_eq!(replica.current().version, Version(7));
}

#[test]
fn daemons_that_saw_other_versions_in_between_agree_on_the_content() {
    let (mut all, mut few) = (Replica::default(), Replica::default());
    for (version, routes) in [(7, &["a"][..]), (8, &["a", "b"]), (11, &["b", "c"])] {
        all.apply_publication(published(version, routes)).unwrap();
    }
    few.apply_publication(published(7, &["a"])).unwrap();
    few.apply_publication(published(11, &["b", "c"])).unwrap();
    assert_eq!(all.tip(), few.tip());
    // One that has only the first is brought up to date by either.
    for source in [&all, &few] {
        let mut late = Replica::default();
        late.apply_publication(published(7, &["a"])).unwrap();
        let update = source.respond(&Pull { have: late.tip() });
        assert!(matches!(update, Update::Chain(_)));
        late.apply(update).unwrap();
        assert_eq!(late.tip(), all.tip());
    }
}
