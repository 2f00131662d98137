//! Failures of experiments.

use std::error::Error;

use plotters::drawing::DrawingAreaErrorKind;

/// Why an experiment could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The system refused something.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Settings are faulty.
    #[error(transparent)]
    Settings(#[from] medlarpoint_daemon::InvalidSettings),
    /// A log could not be set up.
    #[error(transparent)]
    Log(#[from] medlarpoint_daemon::SetupError),
    /// A daemon could not be started.
    #[error(transparent)]
    Start(#[from] medlarpoint_daemon::StartError),
    /// A name is malformed.
    #[error(transparent)]
    Name(#[from] medlarpoint_model::InvalidName),
    /// A request failed.
    #[error(transparent)]
    Http(#[from] medlarpoint_standin::HttpError),
    /// An answer cannot be read.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A daemon is down that must be up.
    #[error("the daemon of {0} is down")]
    Down(String),
    /// Something took too long.
    #[error("timed out waiting for {0}")]
    Timeout(&'static str),
    /// An operator's command did not end as it must.
    #[error("{0} did not succeed")]
    Command(&'static str),
    /// A figure could not be drawn.
    #[error("a figure cannot be drawn: {0}")]
    Drawing(String),
    /// A soak found broken promises.
    #[error("{0} guarantees were violated")]
    Violations(usize),
    /// A node process misbehaved.
    #[error("node: {0}")]
    Node(String),
}

impl<E: Error + Send + Sync> From<DrawingAreaErrorKind<E>> for Failure {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        Self::Drawing(error.to_string())
    }
}
