//! The daemon's program.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use clap::Parser;
use medlarpoint_daemon::{Daemon, Event, Log, Settings, install_metrics};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for faulty settings.
const EXIT_SETTINGS: u8 = 2;

/// Time between looks whether the settings file has changed.
const SETTINGS_CHECK: Duration = Duration::from_secs(2);

/// Distributes configuration and carries calls for the target of one VM.
#[derive(Debug, Parser)]
#[command(name = "medlarpointd", version)]
struct Arguments {
    /// Settings file in TOML.
    #[arg(long, env = "MEDLARPOINT_CONFIG")]
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
    match run(&arguments.settings, settings) {
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

fn run(path: &Path, settings: Settings) -> Result<(), Failure> {
    let log = Log::new(settings.options.log.format, &settings.options.vm)?;
    let metrics = install_metrics()?;
    let runtime = runtime(settings.options.workers)?;
    let result = runtime.block_on(async {
        // Before the start, so that an early order to stop is obeyed in order.
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let daemon = Daemon::start(settings, log.clone(), Some(metrics)).await?;
        let mut look = tokio::time::interval(SETTINGS_CHECK);
        let mut seen = modified(path);
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => {}
                _ = look.tick() => {
                    let now = modified(path);
                    if now == seen {
                        continue;
                    }
                    seen = now;
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
    // What is still under way was told to end, and must not hold up the end.
    runtime.shutdown_background();
    result
}

/// One worker is the thread of the program itself, which saves switches
/// between threads.
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

/// Returns when the settings file was last written; `None` if it cannot be
/// told.
fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
