//! Tests of [`super`].

use std::path::Path;

use super::chart::{self, Series};
use super::journal::scores_by_site;
use super::read_output;

fn write(folder: &Path, name: &str, text: &str) {
    std::fs::write(folder.join(name), text).expect("written");
}

#[test]
fn only_score_runs_and_standard_days_are_drawn() {
    let folder = tempfile::tempdir().expect("a folder");
    let day = r#""days":[{"name":"quiet-1","G":0.5},{"name":"fresh-1","G":0.1}]"#;
    write(folder.path(), "1.json", &format!(r#"{{"cmd":"score","site":"a",{day}}}"#));
    write(folder.path(), "2.json", &format!(r#"{{"cmd":"run","site":"a",{day}}}"#));
    write(folder.path(), "3.json", &format!(r#"{{"cmd":"score","site":"a",{day}}}"#));
    write(folder.path(), "4.json", r#"{"cmd":"hunt","site":null}"#);
    write(folder.path(), "note.txt", "not an entry");
    let sites = scores_by_site(folder.path()).expect("readable");
    let points = vec![(1.0, 0.5), (2.0, 0.5)];
    assert_eq!(sites["a"], [Series { name: "quiet-1".to_owned(), points }]);
    assert_eq!(sites.len(), 1);
}

#[test]
fn an_experiments_report_is_the_last_line_of_its_output() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), "crest.json", "v1 committed\n[1, 2]\n");
    let numbers: Vec<u32> = read_output(&folder.path().join("crest.json")).expect("readable");
    assert_eq!(numbers, [1, 2]);
}

#[test]
fn charts_are_drawn_as_svg() {
    let folder = tempfile::tempdir().expect("a folder");
    let line = Series { name: "quiet-1".to_owned(), points: vec![(1.0, 0.5), (2.0, 0.8)] };
    let path = folder.path().join("lines.svg");
    chart::lines(&path, "worth", "score", "worth", &[line]).expect("drawn");
    assert!(std::fs::read_to_string(&path).expect("a file").contains("quiet-1"));
    let path = folder.path().join("bars.svg");
    chart::bars(&path, "p99", "ms", &[("a", 1.0), ("b", 2.0)]).expect("drawn");
    assert!(std::fs::read_to_string(&path).expect("a file").contains("b (2.0 ms)"));
}
