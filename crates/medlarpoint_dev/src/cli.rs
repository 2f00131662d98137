//! Renders the exit codes and the help of the command-line programs.

use std::fmt::Write as _;

use clap::CommandFactory;
use medlarpoint_cli::{Arguments, Exit};
use strum::{EnumMessage, IntoEnumIterator};

pub(crate) fn render() -> String {
    let mut text = "# Command line\n\n\
        Rendered from the code by `medlarpoint_dev generate-all`.\n\n## Exit codes\n\n\
        | code | name | meaning |\n|---|---|---|\n"
        .to_owned();
    for exit in Exit::iter() {
        let name: &'static str = exit.into();
        let meaning = exit.get_message().unwrap_or_default();
        let _ = writeln!(text, "| {} | {name} | {meaning} |", exit as u8);
    }
    let mut command = Arguments::command();
    command.build();
    let _ = write!(text, "\n## medlarpoint\n\n```text\n{}```\n", help(&mut command));
    for sub in command.get_subcommands_mut() {
        if sub.get_name() == "help" {
            continue;
        }
        let name = sub.get_name().to_owned();
        let _ = write!(text, "\n### medlarpoint {name}\n\n```text\n{}```\n", help(sub));
    }
    text.push_str(
        "\n## medlarpointd\n\n\
         `medlarpointd --settings FILE` runs a daemon; `--check` only checks the settings. Exit codes: \
         0 after a graceful shutdown, 1 if it cannot start, 2 if the settings are invalid.\n",
    );
    text
}

/// Renders the help of a command. The help has the values of environment variables
/// such as `USER`, so that the result depends on the environment.
fn help(command: &mut clap::Command) -> String {
    let text = command.render_long_help().to_string();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n") + "\n"
}
