//! Failures of experiments and soak tests.

use std::error::Error;

use plotters::drawing::DrawingAreaErrorKind;

/// Reason why an experiment or a soak failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A call to the operating system failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Settings of a daemon are invalid.
    #[error(transparent)]
    Settings(#[from] medlarpoint_daemon::InvalidSettings),
    /// The log of a daemon could not be set up.
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
    /// JSON could not be written or parsed.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A daemon that must run is not running.
    #[error("daemon of {0} is not running")]
    Down(String),
    /// A condition did not hold within its time limit.
    #[error("timed out waiting for {0}")]
    Timeout(&'static str),
    /// An operator's command failed.
    #[error("operator command failed: {0}")]
    Command(&'static str),
    /// A chart could not be drawn.
    #[error("chart cannot be drawn: {0}")]
    Drawing(String),
    /// A soak found violations of the guarantees.
    #[error("{0} guarantees were violated")]
    Violations(usize),
    /// A node process failed or printed something unexpected.
    #[error("node: {0}")]
    Node(String),
}

impl<E: Error + Send + Sync> From<DrawingAreaErrorKind<E>> for Failure {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        Self::Drawing(error.to_string())
    }
}
