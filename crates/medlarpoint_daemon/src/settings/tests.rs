//! Tests of [`super`].

use super::Options;

const VALID: &str = r#"fleet = "f"
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

/// Returns the error message for settings, or an empty string if they are valid.
fn error_message(text: &str) -> String {
    let resolved = Options::parse(text).and_then(Options::resolve);
    resolved.map_or_else(|error| error.to_string(), |_| String::new())
}

#[test]
fn valid_settings_are_accepted() {
    assert_eq!(error_message(VALID), "");
}

#[test]
fn each_error_names_the_setting_and_the_fix() {
    let cases = [
        VALID.replace("vm = \"vm-1\"", "vm = \"vm-1\"\nvn = \"x\""),
        VALID.replace("data_centre = \"one\"\n", ""),
        VALID.replace("\"vm-1\"", "\"VM 1\""),
        VALID.replace("127.0.0.1:7001", "127.0.0.1"),
        VALID.replace("127.0.0.1:7002", "0.0.0.0:7002"),
        VALID.replace("[\"127.0.0.1:7400\"]", "[]"),
        VALID.replace("[store]", "[store]\ntimeout_ms = 1"),
        VALID.replace("[store]", "[stores]"),
        format!("{VALID}[limits]\nhead_bytes = 10\n"),
        format!("{VALID}[limits]\npipelined_requests = 0\n"),
        format!("{VALID}[log]\nformat = \"xml\"\n"),
        format!("{VALID}[api]\ntoken_env = \"MEDLARPOINT_NO_SUCH_VARIABLE\"\n"),
        format!("{VALID}[routing]\nstrategy = \"best\"\n"),
        VALID.replace("region = \"north\"\n[listen]", "region = north\n[listen]"),
    ];
    let messages: Vec<String> = cases.iter().map(|text| error_message(text)).collect();
    assert!(messages.iter().all(|text| !text.is_empty()), "{messages:#?}");
    insta::assert_json_snapshot!(messages);
}

#[test]
fn large_responses_are_shaped_only_on_a_known_narrow_link() {
    let has_narrow_link = |limits: &str| {
        let options = Options::parse(&format!("{VALID}[limits]\n{limits}")).unwrap();
        options.resolve().unwrap().has_narrow_link()
    };
    assert!(has_narrow_link("link_megabits = 7.0"));
    assert!(!has_narrow_link("link_megabits = 1000"));
    assert!(!has_narrow_link("link_megabits = 0"));
    assert!(!has_narrow_link(""));
    assert!(
        error_message(&format!("{VALID}[limits]\nlink_megabits = -1")).contains("link_megabits")
    );
}
