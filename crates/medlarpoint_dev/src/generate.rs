//! Renders documents from code, or checks that they are current.

use std::path::{Path, PathBuf};

use medlarpoint_daemon::DocumentError;

use crate::{cli, events, outcomes, settings};

/// What to do with the rendered documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Write them.
    Write,
    /// Compare them with what is there.
    Check,
}

/// Documents that could not be rendered, written or confirmed.
#[derive(Debug, thiserror::Error)]
pub enum GenerateError {
    /// The API cannot be described.
    #[error(transparent)]
    Api(#[from] DocumentError),
    /// A file cannot be read or written.
    #[error("{path}: {reason}")]
    File {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        reason: std::io::Error,
    },
    /// A file differs from the code.
    #[error("{0} is out of date: run `cargo run -p medlarpoint_dev -- generate-all`")]
    Stale(PathBuf),
}

/// Renders every generated document below `root`.
pub fn generate_all(root: &Path, mode: Mode) -> Result<(), GenerateError> {
    let documents = [
        ("docs/EVENTS.md", events::render()),
        ("docs/SETTINGS.md", settings::render()),
        ("docs/CLI.md", cli::render()),
        ("docs/OUTCOMES.md", outcomes::render()),
        ("docs/openapi.json", medlarpoint_daemon::openapi()?),
    ];
    for (name, text) in documents {
        settle(&root.join(name), &text, mode)?;
    }
    Ok(())
}

fn settle(path: &Path, text: &str, mode: Mode) -> Result<(), GenerateError> {
    let failed = |reason| GenerateError::File { path: path.to_owned(), reason };
    match mode {
        Mode::Write => std::fs::write(path, text).map_err(failed),
        Mode::Check => {
            let found = std::fs::read_to_string(path).map_err(failed)?;
            if found == text { Ok(()) } else { Err(GenerateError::Stale(path.to_owned())) }
        }
    }
}
