//! The `medlarpointd` executable.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use clap::Parser;
use medlarpoint_daemon::{Daemon, Event, Log, Settings, install_metrics};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Interval at which the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Distributes configuration and proxies calls for the target of one VM.
#[derive(Debug, Parser)]
#[command(name = "medlarpointd", version)]
struct Arguments {
    /// Path of the settings file, in TOML.
    #[arg(long, env = "MEDLARPOINT_CONFIG")]
    settings: PathBuf,
    /// Check the settings and exit.
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
        println!("{}: valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(&arguments.settings, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarpointd: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reason why the daemon ended with an error.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Start(#[from] medlarpoint_daemon::StartError),
    #[error(transparent)]
    Log(#[from] medlarpoint_daemon::SetupError),
    #[error(transparent)]
    Metrics(#[from] medlarpoint_daemon::InstallError),
}

fn run(path: &Path, settings: Settings) -> Result<(), RunError> {
    let log = Log::new(settings.options.log.format, &settings.options.vm)?;
    let metrics = install_metrics()?;
    let runtime = runtime(settings.options.workers)?;
    let result = runtime.block_on(async {
        // The signal handlers are installed before the start, so that a signal
        // that arrives during the start leads to a graceful shutdown.
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let daemon = Daemon::start(settings, log.clone(), Some(metrics)).await?;
        let mut settings_check = tokio::time::interval(SETTINGS_CHECK_INTERVAL);
        let mut last_modified = modified_at(path);
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => {}
                _ = settings_check.tick() => {
                    let modified = modified_at(path);
                    if modified == last_modified {
                        continue;
                    }
                    last_modified = modified;
                }
            }
            match Settings::read(path) {
                Ok(settings) => {
                    daemon.reload(&settings);
                }
                Err(error) => log.emit(&Event::ReloadFailed { reason: error.to_string() }),
            }
        }
        daemon.close().await;
        Ok(())
    });
    // Remaining tasks have been signalled to stop and must not delay the exit.
    runtime.shutdown_background();
    result
}

/// Builds the async runtime. A single worker runs on the main thread, which
/// avoids thread switches.
fn runtime(workers: usize) -> std::io::Result<tokio::runtime::Runtime> {
    let mut builder = match workers {
        1 => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    if workers > 1 {
        builder.worker_threads(workers);
    }
    builder.enable_all().build()
}

/// Returns the modification time of the settings file, or `None` if it is not
/// available.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
