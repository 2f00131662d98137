//! Tests of [`super`]: each fault names its place and the way out.

use super::Options;

const GOOD: &str = r#"fleet = "f"
vm = "vm-1"
data_centre = "one"
region = "north"
[listen]
calls = "127.0.0.1:7001"
inbound = "127.0.0.1:7002"
peer = "127.0.0.1:7003"
api = "127.0.0.1:7004"
[store]
endpoints = ["127.0.0.1:7400"]
"#;

fn fault(text: &str) -> String {
    let resolved = Options::parse(text).and_then(Options::resolve);
    resolved.map_or_else(|error| error.to_string(), |_| String::new())
}

#[test]
fn good_settings_pass() {
    assert_eq!(fault(GOOD), "");
}

#[test]
fn each_fault_names_its_place_and_the_way_out() {
    let cases = [
        GOOD.replace("vm = \"vm-1\"", "vm = \"vm-1\"\nvn = \"x\""),
        GOOD.replace("data_centre = \"one\"\n", ""),
        GOOD.replace("\"vm-1\"", "\"VM 1\""),
        GOOD.replace("127.0.0.1:7001", "127.0.0.1"),
        GOOD.replace("127.0.0.1:7002", "0.0.0.0:7002"),
        GOOD.replace("[\"127.0.0.1:7400\"]", "[]"),
        GOOD.replace("[store]", "[store]\ntimeout_ms = 1"),
        GOOD.replace("[store]", "[stores]"),
        format!("{GOOD}[limits]\nhead_bytes = 10\n"),
        format!("{GOOD}[log]\nformat = \"xml\"\n"),
        format!("{GOOD}[api]\ntoken_env = \"MEDLARPOINT_NO_SUCH_VARIABLE\"\n"),
        format!("{GOOD}[routing]\nstrategy = \"best\"\n"),
        GOOD.replace("region = \"north\"\n[listen]", "region = north\n[listen]"),
    ];
    let found: Vec<String> = cases.iter().map(|text| fault(text)).collect();
    assert!(found.iter().all(|text| !text.is_empty()), "{found:#?}");
    insta::assert_json_snapshot!(found);
}

#[test]
fn only_a_known_and_narrow_link_makes_large_answers_wait() {
    let narrow = |limits: &str| {
        let options = Options::parse(&format!("{GOOD}[limits]\n{limits}")).unwrap();
        options.resolve().unwrap().has_narrow_link()
    };
    assert!(narrow("link_megabits = 7.0"));
    assert!(!narrow("link_megabits = 1000"));
    assert!(!narrow("link_megabits = 0"));
    assert!(!narrow(""));
    assert!(fault(&format!("{GOOD}[limits]\nlink_megabits = -1")).contains("link_megabits"));
}
