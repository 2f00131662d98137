//! Entry point of the `medlarpoint` command-line tool.

use std::process::ExitCode;

use clap::Parser;
use medlarpoint_cli::{Arguments, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    run(Arguments::parse()).await.into()
}
