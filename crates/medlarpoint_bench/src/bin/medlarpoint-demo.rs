//! Demonstrates the main functions within a minute.

use std::process::ExitCode;

use medlarpoint_bench::demo;

#[tokio::main]
async fn main() -> ExitCode {
    match demo::run().await {
        Ok(guarantees) if demo::summarize(&guarantees) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(failure) => {
            eprintln!("medlarpoint-demo: {failure}");
            ExitCode::FAILURE
        }
    }
}
