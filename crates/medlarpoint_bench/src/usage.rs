//! Processor time and memory of processes, read from Linux procfs.

/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;
/// Indices of user time, system time and resident pages among the fields that
/// follow the process name in `/proc/PID/stat`.
const FIELD_INDICES: [usize; 3] = [11, 12, 21];

/// Processor time and memory of one or more processes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Processor time, in seconds.
    pub(crate) cpu_s: f64,
    /// Resident memory, in megabytes.
    pub(crate) rss_mb: f64,
}

impl Usage {
    /// Reads the usage of a process, given its id or `self`.
    pub(crate) fn read(process: &str) -> std::io::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
        // The process name in parentheses may contain spaces.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let [user, system, pages] = FIELD_INDICES
            .map(|index| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0));
        let cpu_s = (user + system) / TICKS_PER_SECOND;
        Ok(Self { cpu_s, rss_mb: pages * PAGE_BYTES / 1e6 })
    }
}
