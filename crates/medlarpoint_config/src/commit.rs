//! The commit protocol.
//!
//! A commit is one compare-and-swap of the head. If the response is lost, the
//! head is read again. Either it contains the commit, or it has advanced without
//! the commit, so that the lost write can no longer take effect, or it is
//! unchanged and the same write is sent again.

use std::sync::Arc;

use bytes::Bytes;
use medlarpoint_model::{CommitId, Delta, Diagnostics, Key, Snapshot, Version, validate};
use medlarpoint_store::{Error, Expected, Item, Key as StoreKey, Revision};

use crate::{CorruptHead, Head, Proposal, Segment, checkpoint_key, head_key, segment_key};

/// Size limit of an encoded configuration, in bytes; below the store's limit for
/// a value, so that a checkpoint always fits.
const MAX_STATE_BYTES: usize = 900_000;
/// Maximum number of times a commit is rebased onto a newer head before it is
/// rejected.
const MAX_REBASES: u32 = 32;

/// Next step for the caller of a [`Transaction`]: a store call, or the end.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read a value and pass the result on as [`Response::Get`].
    Get(StoreKey),
    /// Write a value and pass the result on as [`Response::Put`].
    Put {
        /// Key to write.
        key: StoreKey,
        /// Condition of the write.
        expected: Expected,
        /// Value to write.
        value: Bytes,
    },
    /// The transaction has ended.
    Done(Outcome),
}

/// Result of a store call.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Result of [`Action::Get`].
    Get(Result<Option<Item>, Error>),
    /// Result of [`Action::Put`].
    Put(Result<Revision, Error>),
}

/// Outcome of a commit.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The commit took effect.
    Committed {
        /// Delta that was committed.
        delta: Arc<Delta>,
        /// Keys that are no longer needed and may be deleted.
        garbage: Vec<StoreKey>,
    },
    /// All resources were already as proposed, in this version.
    Unchanged(Version),
    /// The commit did not take effect and never will.
    Rejected(Rejection),
    /// The commit may have taken effect; send it again with the same id.
    Unknown(CommitId),
}

/// Reason why a commit was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The resource was changed by someone else.
    #[error("{key} was changed by {author} in {changed}: read it again and redo the edit")]
    Conflict {
        /// Resource with the conflict.
        key: Key,
        /// Version of the other change.
        changed: Version,
        /// Author of the other change, or a placeholder if no longer known.
        author: String,
    },
    /// The resource that the edit expects does not exist.
    #[error("{key} no longer exists: read the configuration again and redo the edit")]
    NotFound {
        /// Resource that is missing.
        key: Key,
    },
    /// The resulting configuration violates a validation rule.
    #[error("the resulting configuration is invalid: {0}")]
    Invalid(Diagnostics),
    /// The resulting configuration exceeds the size limit.
    #[error("the resulting configuration has {bytes} bytes, limit {limit}: delete resources first")]
    TooLarge {
        /// Encoded size of the resulting configuration, in bytes.
        bytes: usize,
        /// Size limit, in bytes.
        limit: usize,
    },
    /// The store is unavailable.
    #[error("commits are rejected while the store is unavailable: {0}")]
    Unavailable(String),
    /// The store holds an older version than the one in force.
    #[error(
        "the store holds {stored} but {local} is in force: \
         retry once {local} has been written back"
    )]
    StoreBehind {
        /// Version in the store.
        stored: Version,
        /// Version in force.
        local: Version,
    },
    /// The head was changed by other commits too many times in a row.
    #[error("too many concurrent commits by other operators: try again")]
    Contended,
    /// The stored configuration is unusable.
    #[error(transparent)]
    Corrupt(#[from] CorruptHead),
}

#[derive(Clone, Debug)]
enum Step {
    ReadHead,
    ReadCheckpoint,
    /// Searches a segment for an earlier submission of the commit; lists the
    /// segments still to be read.
    ReadSegment(Vec<Version>),
    WriteCheckpoint(PreparedCommit),
    WriteSegment(PreparedCommit),
    WriteHead(PreparedCommit),
    Finished,
}

/// A commit that is ready to be written.
#[derive(Clone, Debug)]
struct PreparedCommit {
    base: Arc<Snapshot>,
    /// Head before the commit, with all its deltas.
    current: Head,
    /// Head with the commit.
    next: Head,
    delta: Arc<Delta>,
    garbage: Vec<StoreKey>,
}

/// State machine that commits a proposal; makes no store calls itself.
#[derive(Clone, Debug)]
pub struct Transaction {
    proposal: Proposal,
    /// Version in force at the start; an older head is never committed onto.
    min_version: Version,
    local: Arc<Snapshot>,
    head: Head,
    revision: Option<Revision>,
    step: Step,
    /// A head write with an unknown result, with its expected revision.
    pending: Option<(Option<Revision>, PreparedCommit)>,
    rebases: u32,
}

impl Transaction {
    /// Starts a commit and returns the first action. `local` is the version in
    /// force on this daemon.
    pub fn new(proposal: Proposal, local: Arc<Snapshot>) -> (Self, Action) {
        let transaction = Self {
            proposal,
            min_version: local.version,
            local,
            head: Head::empty(),
            revision: None,
            step: Step::ReadHead,
            pending: None,
            rebases: 0,
        };
        (transaction, Action::Get(head_key()))
    }

    /// Returns the outcome of a transaction that is ended by a timeout.
    pub fn on_timeout(&self) -> Outcome {
        let unresolved = self.pending.is_some() || matches!(self.step, Step::WriteHead(_));
        if unresolved || self.proposal.resent {
            return Outcome::Unknown(self.proposal.commit);
        }
        Outcome::Rejected(Rejection::Unavailable("no response in time".to_owned()))
    }

    /// Handles the result of the last action and returns the next one.
    pub fn step(&mut self, response: Response) -> Action {
        let step = std::mem::replace(&mut self.step, Step::Finished);
        match (step, response) {
            (Step::ReadHead, Response::Get(result)) => self.on_head(result),
            (Step::ReadCheckpoint, Response::Get(result)) => self.on_checkpoint(result),
            (Step::ReadSegment(remaining), Response::Get(result)) => {
                self.on_segment(remaining, result)
            }
            (Step::WriteCheckpoint(prepared), Response::Put(result)) => {
                self.on_checkpoint_written(prepared, result)
            }
            (Step::WriteSegment(prepared), Response::Put(result)) => {
                self.on_segment_written(prepared, result)
            }
            (Step::WriteHead(prepared), Response::Put(result)) => {
                self.on_head_written(prepared, result)
            }
            (step, _) => {
                self.step = step;
                Action::Done(self.on_timeout())
            }
        }
    }

    fn on_head(&mut self, result: Result<Option<Item>, Error>) -> Action {
        let item = match result {
            Ok(item) => item,
            Err(error) => return self.read_failed(&error),
        };
        self.revision = item.as_ref().map(|item| item.revision);
        self.head = match item.map(|item| Head::decode(&item.value)).transpose() {
            Ok(head) => head.unwrap_or_else(Head::empty),
            Err(corrupt) => return self.reject(corrupt.into()),
        };
        if let Some(delta) = self.head.find(self.proposal.commit).cloned() {
            return committed(delta, Vec::new());
        }
        if self.head.version < self.min_version {
            let (stored, local) = (self.head.version, self.min_version);
            return self.reject(Rejection::StoreBehind { stored, local });
        }
        if let Some((expected, prepared)) = &self.pending
            && *expected == self.revision
        {
            let prepared = prepared.clone();
            return self.write_head(prepared);
        }
        let since = self.proposal.since;
        let segments = self.head.segments.iter().copied().filter(|end| *end > since).collect();
        self.next_segment(segments)
    }

    fn next_segment(&mut self, mut remaining: Vec<Version>) -> Action {
        let Some(end) = remaining.pop() else {
            return self.load_base();
        };
        self.step = Step::ReadSegment(remaining);
        Action::Get(segment_key(end))
    }

    fn on_segment(
        &mut self,
        remaining: Vec<Version>,
        result: Result<Option<Item>, Error>,
    ) -> Action {
        let item = match result {
            Ok(item) => item,
            Err(error) => return self.read_failed(&error),
        };
        let segment = item.and_then(|item| rmp_serde::from_slice::<Segment>(&item.value).ok());
        let deltas = segment.map(|segment| segment.deltas).unwrap_or_default();
        match deltas.into_iter().find(|delta| delta.commit == self.proposal.commit) {
            Some(delta) => committed(delta, Vec::new()),
            None => self.next_segment(remaining),
        }
    }

    fn load_base(&mut self) -> Action {
        // The head has advanced without the commit: a lost write of it can no
        // longer take effect.
        self.pending = None;
        if self.proposal.resent && self.proposal.since < self.head.forgotten {
            return Action::Done(Outcome::Unknown(self.proposal.commit));
        }
        if self.head.extends(&self.local) {
            return self.prepare();
        }
        if self.head.checkpoint == Version::ZERO {
            self.local = Arc::new(Snapshot::empty());
            return self.prepare();
        }
        self.step = Step::ReadCheckpoint;
        Action::Get(checkpoint_key(self.head.checkpoint))
    }

    fn on_checkpoint(&mut self, result: Result<Option<Item>, Error>) -> Action {
        let item = match result {
            Ok(item) => item,
            Err(error) => return self.read_failed(&error),
        };
        let Some(item) = item else {
            // The checkpoint has been deleted since, so there is a newer head.
            return self.rebase();
        };
        match rmp_serde::from_slice::<Snapshot>(&item.value) {
            Ok(snapshot) => self.local = Arc::new(snapshot),
            Err(error) => return self.reject(CorruptHead::Malformed(error.to_string()).into()),
        }
        self.prepare()
    }

    fn prepare(&mut self) -> Action {
        let base = match self.head.replay(&self.local) {
            Ok(base) => Arc::new(base),
            Err(corrupt) => return self.reject(corrupt.into()),
        };
        self.local = Arc::clone(&base);
        if let Some((key, entry)) = self.proposal.conflict(&base) {
            let changed = entry.map(|entry| entry.changed);
            return self.reject(self.conflict(key, changed));
        }
        let changes = self.proposal.effective(&base);
        if changes.is_empty() {
            return Action::Done(Outcome::Unchanged(base.version));
        }
        let next = base.edit(&changes);
        if let Err(faults) = validate(&next) {
            return self.reject(Rejection::Invalid(faults));
        }
        let bytes = encode(&next).len();
        if bytes > MAX_STATE_BYTES {
            return self.reject(Rejection::TooLarge { bytes, limit: MAX_STATE_BYTES });
        }
        let delta = Arc::new(Delta {
            base: base.version,
            version: next.version,
            base_digest: base.digest,
            digest: next.digest,
            commit: self.proposal.commit,
            author: self.proposal.author.clone(),
            at_ms: self.proposal.at_ms,
            changes,
        });
        self.write(base, delta)
    }

    fn conflict(&self, key: Key, changed: Option<Version>) -> Rejection {
        let Some(changed) = changed else {
            return Rejection::NotFound { key };
        };
        let delta = self.head.deltas.iter().find(|delta| delta.version == changed);
        let author = delta.map_or_else(|| "another operator".to_owned(), |d| d.author.clone());
        Rejection::Conflict { key, changed, author }
    }

    fn write(&mut self, base: Arc<Snapshot>, delta: Arc<Delta>) -> Action {
        let current = self.head.clone();
        if !current.is_full() {
            let next = current.push(Arc::clone(&delta));
            return self.write_head(PreparedCommit {
                base,
                current,
                next,
                delta,
                garbage: Vec::new(),
            });
        }
        let (compact, garbage) = current.compact();
        let next = compact.push(Arc::clone(&delta));
        self.write_checkpoint(PreparedCommit { base, current, next, delta, garbage })
    }

    fn write_checkpoint(&mut self, prepared: PreparedCommit) -> Action {
        let key = checkpoint_key(prepared.base.version);
        let value = Bytes::from(encode(&prepared.base));
        self.step = Step::WriteCheckpoint(prepared);
        Action::Put { key, expected: Expected::Absent, value }
    }

    fn on_checkpoint_written(
        &mut self,
        prepared: PreparedCommit,
        result: Result<Revision, Error>,
    ) -> Action {
        match result {
            // A conflict means that the checkpoint exists: its key determines
            // its content.
            Ok(_) | Err(Error::Conflict { .. }) => self.write_segment(prepared),
            Err(Error::Unknown(_)) => self.write_checkpoint(prepared),
            Err(error) => self.reject(Rejection::Unavailable(error.to_string())),
        }
    }

    fn write_segment(&mut self, prepared: PreparedCommit) -> Action {
        let key = segment_key(prepared.current.version);
        let segment = Segment { deltas: prepared.current.deltas.clone() };
        let value = Bytes::from(rmp_serde::to_vec_named(&segment).unwrap_or_default());
        self.step = Step::WriteSegment(prepared);
        Action::Put { key, expected: Expected::Absent, value }
    }

    fn on_segment_written(
        &mut self,
        prepared: PreparedCommit,
        result: Result<Revision, Error>,
    ) -> Action {
        match result {
            Ok(_) | Err(Error::Conflict { .. }) => self.write_head(prepared),
            Err(Error::Unknown(_)) => self.write_segment(prepared),
            Err(error) => self.reject(Rejection::Unavailable(error.to_string())),
        }
    }

    fn write_head(&mut self, prepared: PreparedCommit) -> Action {
        let expected = self.revision.map_or(Expected::Absent, Expected::Revision);
        let value = Bytes::from(prepared.next.encode());
        self.step = Step::WriteHead(prepared);
        Action::Put { key: head_key(), expected, value }
    }

    fn on_head_written(
        &mut self,
        prepared: PreparedCommit,
        result: Result<Revision, Error>,
    ) -> Action {
        match result {
            Ok(_) => committed(prepared.delta, prepared.garbage),
            Err(Error::Conflict { .. }) => self.rebase(),
            Err(Error::Unknown(_)) => {
                self.pending = Some((self.revision, prepared));
                self.read_head()
            }
            Err(_) if self.pending.is_some() => self.read_head(),
            Err(error) => self.reject(Rejection::Unavailable(error.to_string())),
        }
    }

    fn rebase(&mut self) -> Action {
        self.rebases += 1;
        if self.rebases > MAX_REBASES {
            return self.reject(Rejection::Contended);
        }
        self.read_head()
    }

    fn read_head(&mut self) -> Action {
        self.step = Step::ReadHead;
        Action::Get(head_key())
    }

    /// Rejects the commit after a failed read, or reads the head again while
    /// the result of a head write is unknown.
    fn read_failed(&mut self, error: &Error) -> Action {
        if self.pending.is_some() {
            return self.read_head();
        }
        self.reject(Rejection::Unavailable(error.to_string()))
    }

    /// Rejects the commit, or returns an unknown outcome while a write may still
    /// take effect. The write of an earlier submission can only take effect on
    /// an unchanged head, for which its preconditions and its validity are the
    /// ones determined here; a rejection for these reasons is therefore final.
    fn reject(&self, rejection: Rejection) -> Action {
        let is_final = !matches!(
            rejection,
            Rejection::Unavailable(_) | Rejection::Contended | Rejection::StoreBehind { .. }
        );
        if self.pending.is_some() || (self.proposal.resent && !is_final) {
            return Action::Done(Outcome::Unknown(self.proposal.commit));
        }
        Action::Done(Outcome::Rejected(rejection))
    }
}

fn committed(delta: Arc<Delta>, garbage: Vec<StoreKey>) -> Action {
    Action::Done(Outcome::Committed { delta, garbage })
}

fn encode(snapshot: &Snapshot) -> Vec<u8> {
    rmp_serde::to_vec_named(snapshot).unwrap_or_default()
}
