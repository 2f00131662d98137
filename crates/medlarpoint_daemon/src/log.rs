//! Structured logs of numbered events.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use medlarpoint_model::Vm;
use spdlog::Logger;
use spdlog::formatter::{JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::{StdStream, StdStreamSink};

use crate::event::{Event, Level};

/// Format of the log lines.
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

/// Sustained limit on log lines about calls, in lines per second. More lines
/// would slow down the calls themselves.
const CALL_LINES_PER_S: f64 = 40.0;
/// Limit on a burst of log lines about calls, in lines.
const CALL_LINES_BURST: f64 = 200.0;

/// Writes events to standard output.
#[derive(Clone)]
pub struct Log {
    logger: Option<Arc<Logger>>,
    /// VM of the daemon, written in each line.
    vm: Arc<str>,
    call_lines: Arc<Mutex<LineLimiter>>,
}

/// Token bucket that limits the log lines about calls.
#[derive(Debug)]
struct LineLimiter {
    tokens: f64,
    refilled_at: Instant,
    suppressed: u64,
}

impl LineLimiter {
    fn new() -> Self {
        Self { tokens: CALL_LINES_BURST, refilled_at: Instant::now(), suppressed: 0 }
    }

    /// Takes a token for a line. Returns the number of lines that were suppressed
    /// since the last one, or `None` if this line has to be suppressed as well.
    fn take(&mut self, now: Instant) -> Option<u64> {
        let refill =
            now.saturating_duration_since(self.refilled_at).as_secs_f64() * CALL_LINES_PER_S;
        self.tokens = (self.tokens + refill).min(CALL_LINES_BURST);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl std::fmt::Debug for Log {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Log").field("on", &self.logger.is_some()).finish_non_exhaustive()
    }
}

/// Error while setting up the logger.
#[derive(Debug, thiserror::Error)]
#[error("cannot set up the logger: {0}")]
pub struct SetupError(#[from] spdlog::Error);

impl Log {
    /// Creates a log in a format for the daemon of a VM.
    pub fn new(format: Format, vm: &Vm) -> Result<Self, SetupError> {
        let vm = Arc::from(vm.as_str());
        let call_lines = Arc::new(Mutex::new(LineLimiter::new()));
        let sink = StdStreamSink::builder().std_stream(StdStream::Stdout);
        let sink = match format {
            Format::Off => return Ok(Self { logger: None, vm, call_lines }),
            Format::Json => sink.formatter(JsonFormatter::new()).build_arc()?,
            Format::Text => {
                let pattern = pattern!("{date} {time}.{millisecond} {level} {payload}{kv}{eol}");
                sink.formatter(PatternFormatter::new(pattern)).build_arc()?
            }
        };
        let logger = Logger::builder().sink(sink).build_arc()?;
        Ok(Self { logger: Some(logger), vm, call_lines })
    }

    /// Writes an event about a call, unless the limit on such lines is reached.
    pub fn emit_call(&self, event: &Event) {
        if self.logger.is_none() {
            return;
        }
        let taken =
            self.call_lines.lock().unwrap_or_else(PoisonError::into_inner).take(Instant::now());
        let Some(suppressed) = taken else {
            return;
        };
        if suppressed > 0 {
            self.emit(&Event::LinesLeftOut { lines: suppressed });
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
