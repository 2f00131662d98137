//! Structured logs with numbered events.

use std::sync::Arc;

use spdlog::Logger;
use spdlog::formatter::{JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::{StdStream, StdStreamSink};

use crate::event::{Event, Level};

/// Shape of the log lines.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Deserialize,
    schemars::JsonSchema,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Format {
    /// One line of text for each event.
    #[default]
    Text,
    /// One JSON object for each event.
    Json,
    /// No logs.
    Off,
}

/// Writes events to standard output.
#[derive(Clone)]
pub struct Log {
    logger: Option<Arc<Logger>>,
}

impl std::fmt::Debug for Log {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Log").field("on", &self.logger.is_some()).finish()
    }
}

/// The logger could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("logs cannot be set up: {0}")]
pub struct SetupError(#[from] spdlog::Error);

impl Log {
    /// Creates a log of the given shape.
    pub fn new(format: Format) -> Result<Self, SetupError> {
        let sink = StdStreamSink::builder().std_stream(StdStream::Stdout);
        let sink = match format {
            Format::Off => return Ok(Self { logger: None }),
            Format::Json => sink.formatter(JsonFormatter::new()).build_arc()?,
            Format::Text => {
                let pattern = pattern!("{date} {time}.{millisecond} {level} {payload}{kv}{eol}");
                sink.formatter(PatternFormatter::new(pattern)).build_arc()?
            }
        };
        let logger = Logger::builder().sink(sink).build_arc()?;
        Ok(Self { logger: Some(logger) })
    }

    /// Writes an event.
    pub fn emit(&self, event: &Event) {
        let Some(logger) = &self.logger else {
            return;
        };
        let (code, name) = (event.code(), event.name());
        match event.level() {
            Level::Info => {
                spdlog::info!(logger: logger, "MP{} {}", code, event, kv: { code, name });
            }
            Level::Warn => {
                spdlog::warn!(logger: logger, "MP{} {}", code, event, kv: { code, name });
            }
            Level::Error => {
                spdlog::error!(logger: logger, "MP{} {}", code, event, kv: { code, name });
            }
        }
    }
}
