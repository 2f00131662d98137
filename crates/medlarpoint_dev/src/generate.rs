//! Writes the generated documents, or checks that they are up to date.

use std::path::{Path, PathBuf};

use medlarpoint_daemon::DocumentError;

use crate::{cli, events, outcomes, settings};

/// What to do with the rendered documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Write the documents.
    Write,
    /// Compare the documents with the existing files.
    Check,
}

/// Error while rendering, writing or checking the documents.
#[derive(Debug, thiserror::Error)]
pub enum GenerateError {
    /// The API document cannot be rendered.
    #[error(transparent)]
    Api(#[from] DocumentError),
    /// A file cannot be read or written.
    #[error("{path}: {reason}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        reason: std::io::Error,
    },
    /// A file differs from its rendered content.
    #[error("{0} is out of date: run `cargo run -p medlarpoint_dev -- generate-all`")]
    Stale(PathBuf),
}

/// Renders all generated documents, and writes or checks them below `root`.
pub fn generate_all(root: &Path, mode: Mode) -> Result<(), GenerateError> {
    let documents = [
        ("docs/EVENTS.md", events::render()),
        ("docs/SETTINGS.md", settings::render()),
        ("docs/CLI.md", cli::render()),
        ("docs/OUTCOMES.md", outcomes::render()),
        ("docs/openapi.json", medlarpoint_daemon::openapi()?),
    ];
    for (name, text) in documents {
        write_or_check(&root.join(name), &text, mode)?;
    }
    Ok(())
}

fn write_or_check(path: &Path, text: &str, mode: Mode) -> Result<(), GenerateError> {
    let failed = |reason| GenerateError::File { path: path.to_owned(), reason };
    match mode {
        Mode::Write => std::fs::write(path, text).map_err(failed),
        Mode::Check => {
            let existing = std::fs::read_to_string(path).map_err(failed)?;
            if existing == text { Ok(()) } else { Err(GenerateError::Stale(path.to_owned())) }
        }
    }
}
