//! Structured logs with numbered events.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use medlarpoint_model::Vm;
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

/// Lines about calls a second, at the most; more would cost calls their time.
const CALL_LINES_PER_S: f64 = 40.0;
/// Lines about calls that may come at once.
const CALL_LINES_BURST: f64 = 200.0;

/// Writes events to standard output.
#[derive(Clone)]
pub struct Log {
    logger: Option<Arc<Logger>>,
    /// VM of the daemon, named in each line.
    vm: Arc<str>,
    calls: Arc<Mutex<Quota>>,
}

/// Bounds the lines about calls.
#[derive(Debug)]
struct Quota {
    left: f64,
    filled: Instant,
    left_out: u64,
}

impl Quota {
    fn new() -> Self {
        Self { left: CALL_LINES_BURST, filled: Instant::now(), left_out: 0 }
    }

    /// Takes a line if there is one. Returns how many were left out before it.
    fn take(&mut self, now: Instant) -> Option<u64> {
        let earned = now.saturating_duration_since(self.filled).as_secs_f64() * CALL_LINES_PER_S;
        self.left = (self.left + earned).min(CALL_LINES_BURST);
        self.filled = now;
        if self.left < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }
}

impl std::fmt::Debug for Log {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Log").field("on", &self.logger.is_some()).finish_non_exhaustive()
    }
}

/// The logger could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("logs cannot be set up: {0}")]
pub struct SetupError(#[from] spdlog::Error);

impl Log {
    /// Creates a log of the given shape for the daemon of a VM.
    pub fn new(format: Format, vm: &Vm) -> Result<Self, SetupError> {
        let vm = Arc::from(vm.as_str());
        let calls = Arc::new(Mutex::new(Quota::new()));
        let sink = StdStreamSink::builder().std_stream(StdStream::Stdout);
        let sink = match format {
            Format::Off => return Ok(Self { logger: None, vm, calls }),
            Format::Json => sink.formatter(JsonFormatter::new()).build_arc()?,
            Format::Text => {
                let pattern = pattern!("{date} {time}.{millisecond} {level} {payload}{kv}{eol}");
                sink.formatter(PatternFormatter::new(pattern)).build_arc()?
            }
        };
        let logger = Logger::builder().sink(sink).build_arc()?;
        Ok(Self { logger: Some(logger), vm, calls })
    }

    /// Writes an event about a call, unless there are too many of them.
    pub fn emit_call(&self, event: &Event) {
        if self.logger.is_none() {
            return;
        }
        let taken = self.calls.lock().unwrap_or_else(PoisonError::into_inner).take(Instant::now());
        let Some(left_out) = taken else {
            return;
        };
        if left_out > 0 {
            self.emit(&Event::LinesLeftOut { lines: left_out });
        }
        self.emit(event);
    }

    /// Writes an event.
    pub fn emit(&self, event: &Event) {
        let Some(logger) = &self.logger else {
            return;
        };
        let (code, name, vm) = (event.code(), event.name(), &*self.vm);
        match event.level() {
            Level::Info => {
                spdlog::info!(logger: logger, "MP{} {}", code, event, kv: { code, name, vm });
            }
            Level::Warn => {
                spdlog::warn!(logger: logger, "MP{} {}", code, event, kv: { code, name, vm });
            }
            Level::Error => {
                spdlog::error!(logger: logger, "MP{} {}", code, event, kv: { code, name, vm });
            }
        }
    }
}
