//! Reads the configuration from the store.
//!
//! Two readers watch it for the whole fleet. Everybody else learns of new
//! versions, and of how long ago the store was read, from the members. Only
//! when that is too long ago some read the store themselves, a few of each
//! region first.

use std::sync::Arc;
use std::time::Duration;

use medlarpoint_config::commit::{Action, Response};
use medlarpoint_config::{
    CorruptHead, Head, Publication, Rejection, Restore, checkpoint_key, head_key,
};
use medlarpoint_membership::{fallback, readers};
use medlarpoint_model::Snapshot;
use medlarpoint_platform::operator;
use medlarpoint_store::{Consistency, Error, Item, Key, Revision, Store};

use crate::clock::{jitter, wall_ms};
use crate::control::{Driver, ROLE_HOLDERS};
use crate::event::Event;
use crate::settings::Source;
use crate::state::{Shared, lock};

/// Longest wait of a watch. Its end tells that the connection still works and
/// that nothing has changed.
const WATCH_WAIT: Duration = Duration::from_millis(700);
/// Age of the last reading after which a daemon reads the store itself: the
/// wait of a watch, the time to pass its end on, and some jitter.
const STALE: Duration = Duration::from_millis(1_250);
/// Longest wait after a failure of the store.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);
/// Readings a second of all daemons that are not readers, at the most.
const FALLBACK_READS_PER_S: f64 = 100.0;
/// Name of the source of a version read from the store.
const STORE: &str = "the store";
/// Author of the versions that the platform's operator publishes.
const OPERATOR: &str = "operator";

/// The configuration could not be read or put into force.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    #[error(transparent)]
    Store(#[from] Error),
    #[error(transparent)]
    Corrupt(#[from] CorruptHead),
    #[error(transparent)]
    Document(#[from] operator::ParseError),
    #[error("the checkpoint of the head is missing or malformed")]
    Checkpoint,
    #[error(transparent)]
    Rejected(#[from] Rejection),
}

/// Returns where the configuration lies in the store.
fn source_key(shared: &Shared) -> Key {
    match shared.settings.options.source {
        Source::Commits => head_key(),
        Source::Operator => operator::key(),
    }
}

/// Follows the configuration in the store until the daemon closes.
pub(crate) async fn follow(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    let mut follower = Follower::default();
    loop {
        let wait = match duty(&shared) {
            Duty::Watch => follower.watch(&driver).await,
            Duty::Read => follower.read(&driver).await,
            Duty::Rest(wait) => {
                // The next watch begins with what is there by then.
                follower.after = None;
                wait
            }
        };
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = shared.lifecycle.wait_closed() => return,
        }
    }
}

/// What this daemon has to do about the store now.
enum Duty {
    /// It is a reader.
    Watch,
    /// The last reading that it knows of is too old.
    Read,
    /// Others read.
    Rest(Duration),
}

fn duty(shared: &Shared) -> Duty {
    if !shared.lifecycle.is_ready() {
        // Starting up reads the store as well.
        return Duty::Rest(WATCH_WAIT);
    }
    let control = lock(&shared.control);
    if readers(control.detector.table().live(), ROLE_HOLDERS)
        .contains(&&control.detector.local_record().vm)
    {
        return Duty::Watch;
    }
    let age = control.freshness.age(shared.now());
    let stale = STALE + fallback::delay(Driver::gateway_rank(&control));
    if age >= stale { Duty::Read } else { Duty::Rest(stale.saturating_sub(age)) }
}

/// Follows the changes of one key.
#[derive(Debug, Default)]
struct Follower {
    /// Revision up to which everything is known.
    after: Option<Revision>,
    failures: u32,
}

impl Follower {
    /// Waits for a change. Returns when to go on.
    async fn watch(&mut self, driver: &Driver) -> Duration {
        let shared = driver.shared();
        let Some(after) = self.after else {
            return self.read(driver).await;
        };
        let key = source_key(shared);
        let watched = tokio::select! {
            watched = shared.store.watch(&key, after, WATCH_WAIT) => watched,
            () = shared.lifecycle.wait_closed() => return Duration::ZERO,
        };
        let changes = match watched {
            Ok(changes) => changes,
            Err(error) => return self.failed(shared, &error),
        };
        self.after = Some(changes.current);
        let newest = changes.changes.into_iter().rev().find(|change| change.key == key);
        if let Some(item) = newest.and_then(|change| change.item) {
            self.take(driver, &item).await;
        }
        self.succeeded(driver);
        Duration::ZERO
    }

    /// Reads what there is. Returns when to go on.
    async fn read(&mut self, driver: &Driver) -> Duration {
        let shared = driver.shared();
        let key = source_key(shared);
        let listing = match shared.store.list(&key, Consistency::Latest).await {
            Ok(listing) => listing,
            Err(error) => return self.failed(shared, &error),
        };
        self.after = Some(listing.current);
        if let Some((_, item)) = listing.items.iter().find(|(found, _)| *found == key) {
            self.take(driver, item).await;
        }
        self.succeeded(driver);
        fallback_pause(shared)
    }

    async fn take(&mut self, driver: &Driver, item: &Item) {
        let taken = take(driver, item).await;
        after_taking(driver, taken, &mut self.after).await;
    }

    fn succeeded(&mut self, driver: &Driver) {
        self.failures = 0;
        note_store(driver.shared(), None);
        driver.store_read();
    }

    fn failed(&mut self, shared: &Shared, error: &Error) -> Duration {
        if *error == Error::Compacted {
            self.after = None;
            return Duration::ZERO;
        }
        note_store(shared, Some(error));
        self.failures = (self.failures + 1).min(4);
        let limit = (MAX_BACKOFF * self.failures / 4).max(fallback_pause(shared));
        limit / 4 + jitter(limit)
    }
}

/// Time between two readings of a daemon that is not a reader; it grows with
/// the fleet so that the rate of all is bounded.
fn fallback_pause(shared: &Shared) -> Duration {
    let members = lock(&shared.control).detector.table().live().count();
    let spread = Duration::from_secs_f64(members as f64 / FALLBACK_READS_PER_S);
    if spread <= STALE { Duration::ZERO } else { jitter(spread) }
}

async fn after_taking(driver: &Driver, taken: Result<(), ReadError>, after: &mut Option<Revision>) {
    let shared = driver.shared();
    match taken {
        Ok(()) => {}
        Err(ReadError::Rejected(reason @ Rejection::Older { .. })) => {
            shared.emit(&Event::StoreBehind { reason });
            restore(driver).await;
        }
        Err(ReadError::Rejected(reason)) => {
            lock(&shared.control).last_rejection = Some((wall_ms(), reason.clone()));
            shared.emit(&Event::Rejected { from: STORE.to_owned(), reason });
        }
        Err(error) => {
            shared.emit(&Event::Unreadable { reason: error.to_string() });
            *after = None;
            tokio::time::sleep(MAX_BACKOFF).await;
        }
    }
}

/// Reads the configuration once and puts it into force.
pub(crate) async fn refresh(driver: &Driver) -> Result<(), ReadError> {
    let shared = driver.shared();
    let read = shared.store.get(&source_key(shared)).await;
    note_store(shared, read.as_ref().err());
    if let Some(item) = read? {
        take(driver, &item).await?;
    }
    driver.store_read();
    Ok(())
}

async fn take(driver: &Driver, item: &Item) -> Result<(), ReadError> {
    match driver.shared().settings.options.source {
        Source::Commits => take_head(driver, item).await,
        Source::Operator => take_document(driver, item),
    }
}

fn take_document(driver: &Driver, item: &Item) -> Result<(), ReadError> {
    let document = operator::decode(&item.value)?;
    let published = Publication {
        version: document.version,
        author: OPERATOR.to_owned(),
        at_ms: wall_ms(),
        resources: document.resources,
    };
    let mut control = lock(&driver.shared().control);
    let offer = control.replica.apply_publication(published)?;
    driver.applied(&mut control, STORE, Ok(offer));
    Ok(())
}

async fn take_head(driver: &Driver, item: &Item) -> Result<(), ReadError> {
    let shared = driver.shared();
    let head = Head::decode(&item.value)?;
    {
        let mut control = lock(&shared.control);
        control.history.add(&head.deltas);
        if let Some(offer) = control.replica.apply_head(&head)? {
            driver.applied(&mut control, STORE, Ok(offer));
            return Ok(());
        }
    }
    let read = shared.store.get(&checkpoint_key(head.checkpoint)).await?;
    let base: Option<Snapshot> = read.and_then(|item| rmp_serde::from_slice(&item.value).ok());
    let base = base.ok_or(ReadError::Checkpoint)?;
    let mut control = lock(&shared.control);
    let offer = control.replica.apply_head_from(&head, &base)?;
    driver.applied(&mut control, STORE, Ok(offer));
    Ok(())
}

/// Writes the version in force back to a store that has fallen behind.
async fn restore(driver: &Driver) {
    let shared = driver.shared();
    let version = shared.version();
    let (mut restore, first) = Restore::new(&lock(&shared.control).replica);
    let mut action = Some(first);
    let mut written = false;
    while let Some(next) = action {
        let reply = call(shared, next).await;
        written = matches!(reply, Response::Put(Ok(_)));
        action = restore.step(reply);
    }
    if written {
        shared.emit(&Event::StoreRestored { version });
    }
}

/// Makes the store call of an action.
pub(crate) async fn call(shared: &Shared, action: Action) -> Response {
    let reply = match action {
        Action::Get(key) => Response::Get(shared.store.get(&key).await),
        Action::Put { key, expected, value } => {
            Response::Put(shared.store.put(&key, expected, value, None).await)
        }
        Action::Done(_) => Response::Get(Ok(None)),
    };
    let error = match &reply {
        Response::Get(result) => result.as_ref().err(),
        Response::Put(result) => result.as_ref().err(),
    };
    note_store(shared, error);
    reply
}

/// Notes whether the store answers.
pub(crate) fn note_store(shared: &Shared, error: Option<&Error>) {
    let down = match error {
        None | Some(Error::Conflict { .. } | Error::TooLarge { .. }) => None,
        Some(error) => Some(error.to_string()),
    };
    let mut control = lock(&shared.control);
    match (control.store_down.is_some(), down) {
        (false, Some(reason)) => {
            shared.emit(&Event::StoreDown { reason: reason.clone() });
            control.store_down = Some((wall_ms(), reason));
        }
        (true, None) => {
            shared.emit(&Event::StoreUp {});
            control.store_down = None;
        }
        _ => return,
    }
    drop(control);
    shared.lifecycle.notify_change();
}
