//! The commit protocol.
//!
//! A commit is one compare-and-swap of the head. When its answer is lost the
//! head is read again: the commit is there, or the head has moved on without
//! it (so the lost write can no longer take effect), or the head is unchanged
//! and the same write is sent once more.

use std::sync::Arc;

use bytes::Bytes;
use medlarpoint_model::{CommitId, Delta, Faults, Key, Snapshot, Version, validate};
use medlarpoint_store::{Error, Expected, Item, Key as StoreKey, Revision};

use crate::{CorruptHead, Head, Proposal, Segment, checkpoint_key, head_key, segment_key};

/// Largest configuration, in bytes of its encoding; below the store's limit
/// for a value, so that a checkpoint always fits.
const MAX_STATE_BYTES: usize = 900_000;
/// Times a commit is rebased onto a newer head before it gives up.
const MAX_REBASES: u32 = 32;

/// A store call to make, or the end.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read a value and answer with [`Response::Get`].
    Get(StoreKey),
    /// Write a value and answer with [`Response::Put`].
    Put {
        /// Key to write.
        key: StoreKey,
        /// Condition of the write.
        expected: Expected,
        /// Value to write.
        value: Bytes,
    },
    /// The attempt is over.
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

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The commit took effect.
    Committed {
        /// The delta that was committed.
        delta: Arc<Delta>,
        /// Keys that are no longer needed.
        garbage: Vec<StoreKey>,
    },
    /// Every resource already is as proposed.
    Unchanged(Version),
    /// The commit did not take effect and never will.
    Refused(Refusal),
    /// The commit may have taken effect; ask again with the same id.
    Unknown(CommitId),
}

/// Why a commit was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Somebody else changed the resource.
    #[error("{key} was changed by {author} in {changed}: read it again and decide anew")]
    Conflict {
        /// The resource.
        key: Key,
        /// Version of the other change.
        changed: Version,
        /// Author of the other change, if still known.
        author: String,
    },
    /// The resource does not exist, though the edit expects it.
    #[error("{key} does not exist any more: read it again and decide anew")]
    Gone {
        /// The resource.
        key: Key,
    },
    /// The result breaks a validation rule.
    #[error("the result would be invalid: {0}")]
    Invalid(Faults),
    /// The result would not fit into the store.
    #[error("the configuration would take {bytes} of {limit} bytes: delete resources first")]
    TooLarge {
        /// Size of the result.
        bytes: usize,
        /// Largest size.
        limit: usize,
    },
    /// The store cannot be reached.
    #[error("writes are refused while the store is unavailable: {0}")]
    Unavailable(String),
    /// The store holds an older version than is in force.
    #[error("the store holds {stored} but {local} is in force: it is written back, try again")]
    StoreBehind {
        /// Version in the store.
        stored: Version,
        /// Version in force.
        local: Version,
    },
    /// The head kept moving.
    #[error("too many others commit at the moment: try again")]
    Contended,
    /// The store holds something unusable.
    #[error(transparent)]
    Corrupt(#[from] CorruptHead),
}

#[derive(Clone, Debug)]
enum Step {
    ReadHead,
    ReadCheckpoint,
    /// Looks for an earlier try of the commit in the segments still listed.
    ReadSegment(Vec<Version>),
    WriteCheckpoint(Plan),
    WriteSegment(Plan),
    WriteHead(Plan),
    Finished,
}

#[derive(Clone, Debug)]
struct Plan {
    base: Arc<Snapshot>,
    full: Head,
    next: Head,
    delta: Arc<Delta>,
    garbage: Vec<StoreKey>,
}

/// One try to commit a proposal.
#[derive(Clone, Debug)]
pub struct Transaction {
    proposal: Proposal,
    /// Version in force where the attempt began; no older head is built on.
    floor: Version,
    local: Arc<Snapshot>,
    head: Head,
    revision: Option<Revision>,
    step: Step,
    /// A head write whose result is not known, with its expected revision.
    pending: Option<(Option<Revision>, Plan)>,
    rebases: u32,
}

impl Transaction {
    /// Starts a commit; `local` is any version that is at hand.
    pub fn new(proposal: Proposal, local: Arc<Snapshot>) -> (Self, Action) {
        let attempt = Self {
            proposal,
            floor: local.version,
            local,
            head: Head::empty(),
            revision: None,
            step: Step::ReadHead,
            pending: None,
            rebases: 0,
        };
        (attempt, Action::Get(head_key()))
    }

    /// Ends the attempt when no more time is left.
    pub fn on_timeout(&self) -> Outcome {
        let unsettled = self.pending.is_some() || matches!(self.step, Step::WriteHead(_));
        if unsettled || self.proposal.resent {
            return Outcome::Unknown(self.proposal.commit);
        }
        Outcome::Refused(Refusal::Unavailable("no answer in time".to_owned()))
    }

    /// Takes the result of the last action and returns the next one.
    pub fn step(&mut self, reply: Response) -> Action {
        let step = std::mem::replace(&mut self.step, Step::Finished);
        match (step, reply) {
            (Step::ReadHead, Response::Get(result)) => self.on_head(result),
            (Step::ReadCheckpoint, Response::Get(result)) => self.on_checkpoint(result),
            (Step::ReadSegment(rest), Response::Get(result)) => self.on_segment(rest, result),
            (Step::WriteCheckpoint(plan), Response::Put(result)) => {
                self.on_checkpoint_written(plan, result)
            }
            (Step::WriteSegment(plan), Response::Put(result)) => {
                self.on_segment_written(plan, result)
            }
            (Step::WriteHead(plan), Response::Put(result)) => self.on_head_written(plan, result),
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
            Err(corrupt) => return self.refuse(corrupt.into()),
        };
        if let Some(delta) = self.head.find(self.proposal.commit).cloned() {
            return committed(delta, Vec::new());
        }
        if self.head.version < self.floor {
            let (stored, local) = (self.head.version, self.floor);
            return self.refuse(Refusal::StoreBehind { stored, local });
        }
        if let Some((expected, plan)) = &self.pending
            && *expected == self.revision
        {
            let plan = plan.clone();
            return self.write_head(plan);
        }
        let since = self.proposal.since;
        let segments = self.head.segments.iter().copied().filter(|end| *end > since).collect();
        self.next_segment(segments)
    }

    fn next_segment(&mut self, mut rest: Vec<Version>) -> Action {
        let Some(end) = rest.pop() else {
            return self.load_base();
        };
        self.step = Step::ReadSegment(rest);
        Action::Get(segment_key(end))
    }

    fn on_segment(&mut self, rest: Vec<Version>, result: Result<Option<Item>, Error>) -> Action {
        let item = match result {
            Ok(item) => item,
            Err(error) => return self.read_failed(&error),
        };
        let segment = item.and_then(|item| rmp_serde::from_slice::<Segment>(&item.value).ok());
        let deltas = segment.map(|segment| segment.deltas).unwrap_or_default();
        match deltas.into_iter().find(|delta| delta.commit == self.proposal.commit) {
            Some(delta) => committed(delta, Vec::new()),
            None => self.next_segment(rest),
        }
    }

    fn load_base(&mut self) -> Action {
        // The head has moved on without the commit: a lost write of it can no
        // longer succeed.
        self.pending = None;
        if self.proposal.resent && self.proposal.since < self.head.forgotten {
            return Action::Done(Outcome::Unknown(self.proposal.commit));
        }
        if self.head.extends(&self.local) {
            return self.plan();
        }
        if self.head.checkpoint == Version::ZERO {
            self.local = Arc::new(Snapshot::empty());
            return self.plan();
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
            // Collected meanwhile, so there is a newer head.
            return self.rebase();
        };
        match rmp_serde::from_slice::<Snapshot>(&item.value) {
            Ok(snapshot) => self.local = Arc::new(snapshot),
            Err(error) => return self.refuse(CorruptHead::Malformed(error.to_string()).into()),
        }
        self.plan()
    }

    fn plan(&mut self) -> Action {
        let base = match self.head.replay(&self.local) {
            Ok(base) => Arc::new(base),
            Err(corrupt) => return self.refuse(corrupt.into()),
        };
        self.local = Arc::clone(&base);
        if let Some((key, entry)) = self.proposal.conflict(&base) {
            let changed = entry.map(|entry| entry.changed);
            return self.refuse(self.conflict(key, changed));
        }
        let changes = self.proposal.effective(&base);
        if changes.is_empty() {
            return Action::Done(Outcome::Unchanged(base.version));
        }
        let next = base.edit(&changes);
        if let Err(faults) = validate(&next) {
            return self.refuse(Refusal::Invalid(faults));
        }
        let bytes = encode(&next).len();
        if bytes > MAX_STATE_BYTES {
            return self.refuse(Refusal::TooLarge { bytes, limit: MAX_STATE_BYTES });
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

    fn conflict(&self, key: Key, changed: Option<Version>) -> Refusal {
        let Some(changed) = changed else {
            return Refusal::Gone { key };
        };
        let delta = self.head.deltas.iter().find(|delta| delta.version == changed);
        let author = delta.map_or_else(|| "another operator".to_owned(), |d| d.author.clone());
        Refusal::Conflict { key, changed, author }
    }

    fn write(&mut self, base: Arc<Snapshot>, delta: Arc<Delta>) -> Action {
        let full = self.head.clone();
        if !full.is_full() {
            let next = full.push(Arc::clone(&delta));
            return self.write_head(Plan { base, full, next, delta, garbage: Vec::new() });
        }
        let (compact, garbage) = full.compact();
        let next = compact.push(Arc::clone(&delta));
        self.write_checkpoint(Plan { base, full, next, delta, garbage })
    }

    fn write_checkpoint(&mut self, plan: Plan) -> Action {
        let key = checkpoint_key(plan.base.version);
        let value = Bytes::from(encode(&plan.base));
        self.step = Step::WriteCheckpoint(plan);
        Action::Put { key, expected: Expected::Absent, value }
    }

    fn on_checkpoint_written(&mut self, plan: Plan, result: Result<Revision, Error>) -> Action {
        match result {
            // A conflict means that it is there: its content follows from its key.
            Ok(_) | Err(Error::Conflict { .. }) => self.write_segment(plan),
            Err(Error::Unknown(_)) => self.write_checkpoint(plan),
            Err(error) => self.refuse(Refusal::Unavailable(error.to_string())),
        }
    }

    fn write_segment(&mut self, plan: Plan) -> Action {
        let key = segment_key(plan.full.version);
        let segment = Segment { deltas: plan.full.deltas.clone() };
        let value = Bytes::from(rmp_serde::to_vec_named(&segment).unwrap_or_default());
        self.step = Step::WriteSegment(plan);
        Action::Put { key, expected: Expected::Absent, value }
    }

    fn on_segment_written(&mut self, plan: Plan, result: Result<Revision, Error>) -> Action {
        match result {
            Ok(_) | Err(Error::Conflict { .. }) => self.write_head(plan),
            Err(Error::Unknown(_)) => self.write_segment(plan),
            Err(error) => self.refuse(Refusal::Unavailable(error.to_string())),
        }
    }

    fn write_head(&mut self, plan: Plan) -> Action {
        let expected = self.revision.map_or(Expected::Absent, Expected::Revision);
        let value = Bytes::from(plan.next.encode());
        self.step = Step::WriteHead(plan);
        Action::Put { key: head_key(), expected, value }
    }

    fn on_head_written(&mut self, plan: Plan, result: Result<Revision, Error>) -> Action {
        match result {
            Ok(_) => committed(plan.delta, plan.garbage),
            Err(Error::Conflict { .. }) => self.rebase(),
            Err(Error::Unknown(_)) => {
                self.pending = Some((self.revision, plan));
                self.read_head()
            }
            Err(_) if self.pending.is_some() => self.read_head(),
            Err(error) => self.refuse(Refusal::Unavailable(error.to_string())),
        }
    }

    fn rebase(&mut self) -> Action {
        self.rebases += 1;
        if self.rebases > MAX_REBASES {
            return self.refuse(Refusal::Contended);
        }
        self.read_head()
    }

    fn read_head(&mut self) -> Action {
        self.step = Step::ReadHead;
        Action::Get(head_key())
    }

    /// A failed read changes nothing, but while a head write is unsettled the
    /// attempt must go on reading.
    fn read_failed(&mut self, error: &Error) -> Action {
        if self.pending.is_some() {
            return self.read_head();
        }
        self.refuse(Refusal::Unavailable(error.to_string()))
    }

    /// Refuses, unless a write is unsettled. An earlier try of a resent
    /// proposal may still take effect, but only on a head that has not moved,
    /// where its preconditions and its validity are those found here.
    fn refuse(&self, refusal: Refusal) -> Action {
        let decided = !matches!(
            refusal,
            Refusal::Unavailable(_) | Refusal::Contended | Refusal::StoreBehind { .. }
        );
        if self.pending.is_some() || (self.proposal.resent && !decided) {
            return Action::Done(Outcome::Unknown(self.proposal.commit));
        }
        Action::Done(Outcome::Refused(refusal))
    }
}

fn committed(delta: Arc<Delta>, garbage: Vec<StoreKey>) -> Action {
    Action::Done(Outcome::Committed { delta, garbage })
}

fn encode(snapshot: &Snapshot) -> Vec<u8> {
    rmp_serde::to_vec_named(snapshot).unwrap_or_default()
}
