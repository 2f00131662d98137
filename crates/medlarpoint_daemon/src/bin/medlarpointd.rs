//! The daemon's program.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use medlarpoint_daemon::{Daemon, Log, Settings, install_metrics};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for faulty settings.
const EXIT_SETTINGS: u8 = 2;

/// Distributes configuration and carries calls for the target of one VM.
#[derive(Debug, Parser)]
#[command(name = "medlarpointd", version)]
struct Arguments {
    /// Settings file in TOML.
    #[arg(long)]
    settings: PathBuf,
    /// Only check the settings.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match Settings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("medlarpointd: {}: {error}", arguments.settings.display());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: in order", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarpointd: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Why the daemon ended.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Start(#[from] medlarpoint_daemon::StartError),
    #[error(transparent)]
    Log(#[from] medlarpoint_daemon::SetupError),
    #[error(transparent)]
    Metrics(#[from] medlarpoint_daemon::InstallError),
}

fn run(settings: Settings) -> Result<(), Failure> {
    let log = Log::new(settings.options.log.format)?;
    let metrics = install_metrics()?;
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if settings.options.workers > 0 {
        builder.worker_threads(settings.options.workers);
    }
    builder.enable_all().build()?.block_on(async {
        let daemon = Daemon::start(settings, log, Some(metrics)).await?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        daemon.close().await;
        Ok(())
    })
}
