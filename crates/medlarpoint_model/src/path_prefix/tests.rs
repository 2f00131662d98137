//! Tests of [`super`].

use super::PathPrefix;

/// Guards against a prefix that takes the path without its slash, as `/a/` took `/a`.
#[test]
fn a_prefix_matches_the_paths_that_it_begins() {
    let cases = [
        ("/a/", "/a/", true),
        ("/a/", "/a/b", true),
        ("/a/", "/a", false),
        ("/a/", "/a%2F", false),
        ("/a/", "/a%2Fb", false),
        ("/a/", "/A/", false),
        ("/a/", "/ab/", false),
        ("/a//", "/a/b", false),
        ("/a", "/a", true),
        ("/a", "/a/", true),
        ("/a", "/a/b", true),
        ("/a", "/ab", false),
        ("/a", "/a%2Fb", false),
        ("/", "/", true),
        ("/", "/a", true),
        ("/", "*", false),
    ];
    for (prefix, path, expected) in cases {
        assert_eq!(PathPrefix::new(prefix).matches(path), expected, "{prefix} and {path}");
    }
}
