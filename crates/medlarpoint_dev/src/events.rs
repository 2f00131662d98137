//! Renders the catalogue of log events.

use std::fmt::Write as _;

use medlarpoint_daemon::CATALOGUE;

pub(crate) fn render() -> String {
    let mut text = "# Events\n\n\
        Rendered from the code by `medlarpoint_dev generate-all`. A log line starts with the number; \
        numbers are stable and never reused.\n\n\
        | number | name | level | message | meaning |\n|---|---|---|---|---|\n"
        .to_owned();
    for event in CATALOGUE {
        let meaning = event.meaning.trim();
        let _ = writeln!(
            text,
            "| MP{} | {} | {} | `{}` | {meaning} |",
            event.code, event.name, event.level, event.text,
        );
    }
    text
}
