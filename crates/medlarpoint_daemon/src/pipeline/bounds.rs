//! Counts the requests of a connection and decides whether more are read. No I/O.

/// Limit on the bytes of a connection that were read and not passed on to the HTTP library.
const MAX_UNREAD_BYTES: usize = 64 * 1024;

/// Requests of a connection by their progress. `finished` is at most `taken`.
#[derive(Debug)]
pub(crate) struct Bounds {
    max_unfinished: u64,
    /// Number of requests that the framing found.
    framed: u64,
    /// Number of requests that the HTTP library read.
    taken: u64,
    /// Number of requests of which the response is complete.
    finished: u64,
    /// Value of `finished` when the reading was paused.
    paused_at: Option<u64>,
}

impl Bounds {
    /// Creates the counts of a new connection, on which at most `max_unfinished` requests
    /// are read ahead.
    pub(crate) fn new(max_unfinished: usize) -> Self {
        let max_unfinished = max_unfinished as u64;
        Self { max_unfinished, framed: 0, taken: 0, finished: 0, paused_at: None }
    }

    /// Records a request that the framing found.
    pub(crate) fn on_framed(&mut self) {
        self.framed += 1;
    }

    /// Records a request that the HTTP library read.
    pub(crate) fn on_taken(&mut self) {
        self.taken += 1;
    }

    /// Records a complete response.
    pub(crate) fn on_finished(&mut self) {
        self.finished += 1;
    }

    /// Looks for no request until a further response of this connection is complete.
    pub(crate) fn pause(&mut self) {
        self.paused_at = Some(self.finished);
    }

    /// Returns the number of requests that the framing found.
    pub(crate) fn framed(&self) -> u64 {
        self.framed
    }

    /// Returns the number of requests without a complete response.
    pub(crate) fn unfinished(&self) -> u64 {
        self.framed.max(self.taken).saturating_sub(self.finished)
    }

    /// Returns whether a further request is looked for.
    pub(crate) fn may_frame(&self) -> bool {
        let unfinished = self.unfinished();
        unfinished == 0 || unfinished < self.max_unfinished && self.paused_at != Some(self.finished)
    }

    /// Returns whether more bytes are read from the socket while `unread_bytes` are kept.
    /// `within_body` tells whether they belong to the body of the last request.
    pub(crate) fn may_read(&self, unread_bytes: usize, within_body: bool) -> bool {
        // The body of the request that is being served stays with the caller until it is
        // asked for.
        let wanted = if within_body { self.unfinished() > 1 } else { self.may_frame() };
        wanted && unread_bytes < MAX_UNREAD_BYTES
    }
}

#[cfg(test)]
mod tests;
