//! Reads the configuration from the store.
//!
//! Two readers watch the store for all daemons of the fleet. The other daemons learn from
//! members which versions are new and when the store was last read. If the last read
//! is too old, daemons read the store themselves, starting with a few of each region.

use std::sync::Arc;
use std::time::Duration;

use medlarpoint_config::commit::{Action, Response};
use medlarpoint_config::{
    CorruptHead, Head, Publication, Rejection, Restore, checkpoint_key, head_key,
};
use medlarpoint_membership::{fallback, readers};
use medlarpoint_model::Snapshot;
use medlarpoint_platform::{operator, rollout};
use medlarpoint_store::{Consistency, Era, Error, Item, Key, Position, Store};

use crate::clock::{jitter, wall_ms};
use crate::control::Driver;
use crate::event::Event;
use crate::roles;
use crate::rollouts::order_reader;
use crate::settings::Source;
use crate::state::{Control, Shared, lock};

/// Time between two checks of a daemon that starts whether it is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Limit on the wait after a failed store call.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);
/// Limit on the store reads of all daemons that are not readers, per second.
const FALLBACK_READS_PER_S: f64 = 100.0;
/// Source that log events name for a version read from the store.
const STORE: &str = "the store";
/// Author recorded for versions that the platform's operator publishes.
const OPERATOR: &str = "operator";

/// Error in reading the configuration or putting it into force.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    #[error(transparent)]
    Store(#[from] Error),
    #[error(transparent)]
    Corrupt(#[from] CorruptHead),
    #[error(transparent)]
    Document(#[from] operator::ParseError),
    #[error("the checkpoint that the head refers to is missing or malformed")]
    Checkpoint,
    #[error(transparent)]
    Rejected(#[from] Rejection),
}

/// Returns the store key of the configuration.
fn source_key(shared: &Shared) -> Key {
    match shared.settings.options.source {
        Source::Commits => head_key(),
        Source::Operator => operator::key(),
    }
}

/// Returns the prefix of the keys that are read and watched together: the configuration, and
/// the orders to move services to new versions.
fn watched_prefix(shared: &Shared) -> Key {
    match shared.settings.options.source {
        Source::Commits => head_key(),
        Source::Operator => rollout::operator_prefix(),
    }
}

/// Follows the configuration in the store until the daemon closes.
pub(crate) async fn run(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    let mut follower = Follower::default();
    loop {
        let wait = match next_task(&shared) {
            Task::Watch => follower.watch(&driver).await,
            Task::Read => follower.read(&driver).await,
            Task::Wait(wait) => {
                // The next watch starts with a read of the current state.
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

/// Next task of the loop that follows the store.
enum Task {
    /// Watch the store: this daemon is a reader.
    Watch,
    /// Read the store: the last read that this daemon knows of is too old.
    Read,
    /// Wait: other daemons read the store.
    Wait(Duration),
}

fn next_task(shared: &Shared) -> Task {
    if !shared.lifecycle.is_ready() {
        // The startup code reads the store until the daemon is ready.
        return Task::Wait(READY_CHECK_INTERVAL);
    }
    let control = lock(&shared.control);
    if readers(control.detector.table().live(), roles::HOLDERS)
        .contains(&&control.detector.local_record().vm)
    {
        return Task::Watch;
    }
    let age = control.freshness.age(shared.now());
    let rank = roles::gateway_rank(&control);
    let max_age = fallback::max_read_age(shared.propagation(), rank);
    if age < max_age {
        return Task::Wait(max_age.saturating_sub(age));
    }
    let (version, age_ms) = (control.replica.current().version, age.as_millis() as u64);
    shared.emit(&Event::ReadingStore { version, age_ms, rank });
    Task::Read
}

/// Follows the changes of the configuration's key.
#[derive(Debug, Default)]
struct Follower {
    /// Position up to which all changes are known. Without one, the key is read before
    /// the next watch.
    after: Option<Position>,
    failures: u32,
}

impl Follower {
    /// Waits for a change and applies it. Returns the wait before the next task.
    async fn watch(&mut self, driver: &Driver) -> Duration {
        let shared = driver.shared();
        let Some(after) = self.after else {
            return self.read(driver).await;
        };
        let (key, prefix) = (source_key(shared), watched_prefix(shared));
        let timeout = fallback::watch_timeout(shared.propagation());
        let result = tokio::select! {
            result = shared.store.watch(&prefix, after, timeout) => result,
            () = shared.lifecycle.wait_closed() => return Duration::ZERO,
        };
        let changes = match result {
            Ok(changes) => changes,
            Err(error) => return self.failed(shared, &error),
        };
        self.after = Some(changes.current);
        for change in &changes.changes {
            if let Some(item) = &change.item {
                order_reader::on_change(driver, changes.current.era, &change.key, item);
            }
        }
        let newest = changes.changes.into_iter().rev().find(|change| change.key == key);
        if let Some(item) = newest.and_then(|change| change.item) {
            self.apply(driver, &item).await;
        }
        self.succeeded(driver);
        Duration::ZERO
    }

    /// Reads the key and applies its value. Returns the wait before the next task.
    async fn read(&mut self, driver: &Driver) -> Duration {
        let shared = driver.shared();
        let (key, prefix) = (source_key(shared), watched_prefix(shared));
        let listing = match shared.store.list(&prefix, Consistency::Latest).await {
            Ok(listing) => listing,
            Err(error) => return self.failed(shared, &error),
        };
        let era = listing.current.era;
        let orders = order_reader::on_listing(driver, era, &listing.items).await;
        self.after = Some(listing.current);
        if let Some((_, item)) = listing.items.iter().find(|(found, _)| *found == key) {
            self.apply(driver, item).await;
        }
        if let Err(error) = orders {
            // The next read tries again.
            self.after = None;
            return self.failed(shared, &error);
        }
        self.succeeded(driver);
        fallback_pause(shared)
    }

    async fn apply(&mut self, driver: &Driver, item: &Item) {
        let result = apply(driver, item).await;
        handle_result(driver, result, &mut self.after).await;
    }

    fn succeeded(&mut self, driver: &Driver) {
        self.failures = 0;
        record_store_result(driver.shared(), None);
        driver.on_store_read();
    }

    fn failed(&mut self, shared: &Shared, error: &Error) -> Duration {
        if *error == Error::Compacted {
            self.after = None;
            return Duration::ZERO;
        }
        record_store_result(shared, Some(error));
        self.failures = (self.failures + 1).min(4);
        let limit = (MAX_BACKOFF * self.failures / 4).max(fallback_pause(shared));
        limit / 4 + jitter(limit)
    }
}

/// Returns the wait between two store reads of a daemon that is not a reader. It grows
/// with the fleet so that the total rate is limited.
fn fallback_pause(shared: &Shared) -> Duration {
    let members = lock(&shared.control).detector.table().live().count();
    let period = Duration::from_secs_f64(members as f64 / FALLBACK_READS_PER_S);
    if period <= fallback::max_read_age(shared.propagation(), 0) {
        Duration::ZERO
    } else {
        jitter(period)
    }
}

/// Handles the result of applying a value: restores a store that is behind and logs
/// other errors.
async fn handle_result(
    driver: &Driver,
    result: Result<(), ReadError>,
    after: &mut Option<Position>,
) {
    let shared = driver.shared();
    match result {
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
    let key = source_key(shared);
    let result = shared.store.list(&watched_prefix(shared), Consistency::Latest).await;
    record_store_result(shared, result.as_ref().err());
    let listing = result?;
    let orders = order_reader::on_listing(driver, listing.current.era, &listing.items).await;
    if let Some((_, item)) = listing.items.iter().find(|(found, _)| *found == key) {
        apply(driver, item).await?;
    }
    orders?;
    driver.on_store_read();
    Ok(())
}

/// Puts a value of the configuration's key into force if it is newer.
async fn apply(driver: &Driver, item: &Item) -> Result<(), ReadError> {
    match driver.shared().settings.options.source {
        Source::Commits => apply_head(driver, item).await,
        Source::Operator => apply_document(driver, item),
    }
}

fn apply_document(driver: &Driver, item: &Item) -> Result<(), ReadError> {
    let document = operator::decode(&item.value)?;
    driver.shared().health_paths.store(Arc::new(document.health_paths));
    let publication = Publication {
        version: document.version,
        author: OPERATOR.to_owned(),
        at_ms: wall_ms(),
        resources: document.resources,
    };
    let mut control = lock(&driver.shared().control);
    let effect = control.replica.apply_publication(publication)?;
    driver.on_apply_result(&mut control, STORE, Ok(effect));
    Ok(())
}

async fn apply_head(driver: &Driver, item: &Item) -> Result<(), ReadError> {
    let shared = driver.shared();
    let head = Head::decode(&item.value)?;
    {
        let mut control = lock(&shared.control);
        control.history.add(&head.deltas);
        if let Some(effect) = control.replica.apply_head(&head)? {
            driver.on_apply_result(&mut control, STORE, Ok(effect));
            return Ok(());
        }
    }
    let checkpoint = shared.store.get(&checkpoint_key(head.checkpoint)).await?;
    let base: Option<Snapshot> =
        checkpoint.and_then(|item| rmp_serde::from_slice(&item.value).ok());
    let base = base.ok_or(ReadError::Checkpoint)?;
    let mut control = lock(&shared.control);
    let effect = control.replica.apply_head_from(&head, &base)?;
    driver.on_apply_result(&mut control, STORE, Ok(effect));
    Ok(())
}

/// Writes the version in force back to a store that holds an older one.
async fn restore(driver: &Driver) {
    let shared = driver.shared();
    let version = shared.version();
    let (mut restore, first) = Restore::new(&lock(&shared.control).replica);
    let mut action = Some(first);
    let mut written = false;
    while let Some(next) = action {
        let response = execute(shared, next).await;
        written = matches!(response, Response::Put(Ok(_)));
        action = restore.step(response);
    }
    if written {
        shared.emit(&Event::StoreRestored { version });
    }
}

/// Performs the store operation of an action.
pub(crate) async fn execute(shared: &Shared, action: Action) -> Response {
    let response = match action {
        Action::Get(key) => Response::Get(shared.store.get(&key).await),
        Action::Put { key, expected, value } => {
            Response::Put(shared.store.put(&key, expected, value, None).await)
        }
        Action::Done(_) => Response::Get(Ok(None)),
    };
    let error = match &response {
        Response::Get(result) => result.as_ref().err(),
        Response::Put(result) => result.as_ref().err(),
    };
    record_store_result(shared, error);
    response
}

/// Logs the first era of the store that this daemon learns of, and each change.
fn record_era(shared: &Shared, control: &mut Control) {
    let (from, to) = (control.store_era, shared.store.era());
    if from == to {
        return;
    }
    control.store_era = to;
    metrics::gauge!("medlarpoint_store_era").set(to.0 as f64);
    if from > Era::default() {
        shared.emit(&Event::StoreEraChanged { from, to });
    }
}

/// Records whether the store is available, judging by the result of a call to it.
pub(crate) fn record_store_result(shared: &Shared, error: Option<&Error>) {
    let down = match error {
        None | Some(Error::Conflict { .. } | Error::TooLarge { .. }) => None,
        Some(error) => Some(error.to_string()),
    };
    let rows = shared.store.take_unreadable_rows();
    if rows > 0 {
        metrics::counter!("medlarpoint_store_unreadable_rows_total").increment(rows);
        shared.emit(&Event::RowsSkipped { rows });
    }
    let mut control = lock(&shared.control);
    record_era(shared, &mut control);
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
