//! Tests of [`super`].

use super::{lines_about, render};

const LOGS: &str = r#"
   1.75 vm-2 {"level":"info","timestamp":1050,"payload":"MP7004 call 9c41 attempt 7f on r, rank 2, refused at busy: 9 running, 3 waiting, 9 slots, 500 ms left","kv":{"code":7004,"name":"AttemptRefused","vm":"vm-2"},"tid":1}
{"level":"info","timestamp":1000,"payload":"MP7003 call 9c41 attempt 7f at vm-2 ended at busy after 2 ms","kv":{"code":7003,"name":"AttemptEnded","vm":"vm-10"},"tid":1}
{"level":"info","timestamp":1020,"payload":"MP7003 call 9c41.ab attempt 8f at vm-2 ended at busy after 2 ms","kv":{"code":7003,"name":"AttemptEnded","vm":"vm-10"},"tid":1}
{"level":"info","timestamp":1001,"payload":"MP7003 call 9c415 attempt 9f at vm-2 ended at busy after 2 ms","kv":{"code":7003,"name":"AttemptEnded","vm":"vm-10"},"tid":1}
9c41 { not JSON
"#;

#[test]
fn lines_of_a_call_and_its_nested_calls_are_ordered_by_time() {
    let lines = lines_about("9c41", LOGS.as_bytes()).unwrap();
    let text = render(&lines);
    let rows: Vec<&str> = text.lines().collect();
    assert_eq!(rows.len(), 3, "{text}");
    assert!(rows[0].starts_with("      0 ms  vm-10  MP7003 call 9c41 attempt 7f"), "{text}");
    assert!(rows[1].contains("9c41.ab"), "{text}");
    assert!(rows[2].starts_with("     50 ms  vm-2   MP7004"), "{text}");
}

#[test]
fn no_lines_are_found_for_an_unknown_call() {
    assert!(lines_about("1234", LOGS.as_bytes()).unwrap().is_empty());
}
