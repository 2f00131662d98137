//! Commits an operator's change through the store.

use std::sync::Arc;
use std::time::Duration;

use medlarpoint_api::{Commit, CommitResult, Expect};
use medlarpoint_config::commit::{Action, Outcome, Rejection, Response, Transaction};
use medlarpoint_config::{Edit, Precondition, Proposal};
use medlarpoint_model::CommitId;
use medlarpoint_store::{Error, Expected, Key, Store};
use medlarpoint_wire::PullResponse;

use crate::clock::{jitter, wall_ms};
use crate::control::Driver;
use crate::event::Event;
use crate::settings::Source;
use crate::state::{Shared, lock};
use crate::store_reader;

/// Limit on the duration of a commit.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Limit on the wait after a failed store call.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Error that leaves a commit without a version, or with an unknown outcome.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommitError {
    #[error(transparent)]
    Rejected(#[from] Rejection),
    #[error(
        "the platform's operator owns this configuration and publishes it in the store: \
         change it there (`source = \"operator\"` in the settings)"
    )]
    OperatorOwned,
    #[error("it is not known whether commit {0} took effect: resend it with the same id")]
    UnknownOutcome(CommitId),
}

fn proposal(commit: &Commit) -> Proposal {
    let edit = |edit: &medlarpoint_api::Edit| Edit {
        change: edit.change.clone(),
        precondition: match edit.expect {
            Expect::Any => Precondition::Any,
            Expect::Absent => Precondition::Absent,
            Expect::Changed(version) => Precondition::Changed(version),
        },
    };
    Proposal {
        commit: commit.commit,
        author: commit.author.clone(),
        at_ms: wall_ms(),
        since: commit.since,
        resent: commit.resent,
        edits: commit.edits.iter().map(edit).collect(),
    }
}

/// Commits a change and puts it into force here.
pub(crate) async fn commit(driver: &Driver, request: &Commit) -> Result<CommitResult, CommitError> {
    let shared = driver.shared();
    if shared.settings.options.source == Source::Operator {
        return Err(CommitError::OperatorOwned);
    }
    let author = request.author.clone();
    let outcome = run_transaction(shared, proposal(request)).await;
    match outcome {
        Outcome::Committed { delta, garbage } => {
            let version = delta.version;
            shared.emit(&Event::Committed { version, author });
            metrics::counter!("medlarpoint_commits_total", "result" => "committed").increment(1);
            put_into_force(driver, delta).await;
            delete_garbage(shared, garbage).await;
            Ok(CommitResult { version, commit: request.commit, unchanged: false })
        }
        Outcome::Unchanged(version) => {
            Ok(CommitResult { version, commit: request.commit, unchanged: true })
        }
        Outcome::Rejected(rejection) => {
            shared.emit(&Event::CommitRefused { author, reason: rejection.to_string() });
            metrics::counter!("medlarpoint_commits_total", "result" => "refused").increment(1);
            Err(rejection.into())
        }
        Outcome::Unknown(id) => {
            shared.emit(&Event::CommitUnknown { author, commit: id.to_string() });
            metrics::counter!("medlarpoint_commits_total", "result" => "unknown").increment(1);
            Err(CommitError::UnknownOutcome(id))
        }
    }
}

/// Runs a transaction to its outcome or until [`COMMIT_TIMEOUT`].
async fn run_transaction(shared: &Shared, proposal: Proposal) -> Outcome {
    let local = Arc::clone(lock(&shared.control).replica.current());
    let (mut transaction, mut action) = Transaction::new(proposal, local);
    let deadline = tokio::time::Instant::now() + COMMIT_TIMEOUT;
    loop {
        if let Action::Done(outcome) = action {
            return outcome;
        }
        if tokio::time::Instant::now() >= deadline {
            return transaction.on_timeout();
        }
        let response = store_reader::execute(shared, action).await;
        back_off(&response).await;
        action = transaction.step(response);
    }
}

/// Waits for a random time after a failed store call, so that daemons that retry do not
/// collide. The wait is shorter after a conflict with another operator's commit.
async fn back_off(response: &Response) {
    let (Response::Get(Err(error)) | Response::Put(Err(error))) = response else {
        return;
    };
    let limit = match error {
        Error::Conflict { .. } => MAX_BACKOFF / 20,
        _ => MAX_BACKOFF,
    };
    tokio::time::sleep(jitter(limit)).await;
}

/// Puts a committed version into force on this daemon.
async fn put_into_force(driver: &Driver, delta: Arc<medlarpoint_model::Delta>) {
    let shared = driver.shared();
    let is_next = delta.version == shared.version().next();
    if is_next {
        let mut control = lock(&shared.control);
        let result = control.replica.apply(PullResponse::Deltas(vec![delta]));
        driver.on_apply_result(&mut control, "a commit", result);
        return;
    }
    // The head in the store includes the versions between. If the read fails, this
    // daemon gets them from a peer, since readers follow the store.
    let _ = store_reader::refresh(driver).await;
}

/// Deletes the keys that the commit made obsolete. A key that remains only takes up
/// space, so errors are ignored.
async fn delete_garbage(shared: &Shared, garbage: Vec<Key>) {
    for key in garbage {
        if let Ok(Some(item)) = shared.store.get(&key).await {
            let _ = shared.store.delete(&key, Expected::Revision(item.revision)).await;
        }
    }
}
