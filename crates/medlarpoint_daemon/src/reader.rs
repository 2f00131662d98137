//! Reads the head from the store, and keeps the contacts there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use medlarpoint_config::{
    Action, CorruptHead, Head, Rejection, Reply, Restore, checkpoint_key, head_key,
};
use medlarpoint_membership::{Contacts, Role, rank};
use medlarpoint_model::Snapshot;
use medlarpoint_store::{Error, Expected, Item, Key, Revision, Store};

use crate::clock::{jitter, wall_ms};
use crate::control::{Driver, ROLE_HOLDERS};
use crate::event::Event;
use crate::peer;
use crate::state::{Shared, lock};

/// Longest wait of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time between looks at the own role.
const ROLE_CHECK: Duration = Duration::from_secs(1);
/// Longest wait after a failure of the store.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Time between renewals of the contacts.
const CONTACTS_PERIOD: Duration = Duration::from_secs(10);
/// Age up to which a daemon looks for others more often.
const YOUNG: Duration = Duration::from_secs(10);
/// Name of the source of a version read from the store.
const STORE: &str = "the store";

/// The head could not be read or put into force.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    #[error(transparent)]
    Store(#[from] Error),
    #[error(transparent)]
    Corrupt(#[from] CorruptHead),
    #[error("the checkpoint of the head is missing or malformed")]
    Checkpoint,
    #[error(transparent)]
    Rejected(#[from] Rejection),
}

fn contacts_key() -> Key {
    "contacts".parse().expect("a valid literal")
}

/// Watches the head while this daemon is a reader, until the daemon closes.
pub(crate) async fn watch_head(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    let key = head_key();
    let mut after = Revision::default();
    let mut failures = 0_u32;
    loop {
        let wait = if is_reader(&shared) {
            let watched = tokio::select! {
                watched = shared.store.watch(&key, after, WATCH_WAIT) => watched,
                () = shared.wait_closed() => return,
            };
            note_store(&shared, watched.as_ref().err());
            match watched {
                Ok(Some(item)) => {
                    failures = 0;
                    after = item.revision;
                    let taken = take_head(&driver, &item).await;
                    after_head(&driver, taken, &mut after).await;
                    continue;
                }
                Ok(None) => {
                    failures = 0;
                    continue;
                }
                Err(_) => backoff(&mut failures),
            }
        } else {
            // The next watch compares with what is in force by then.
            after = Revision::default();
            ROLE_CHECK
        };
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = shared.wait_closed() => return,
        }
    }
}

fn backoff(failures: &mut u32) -> Duration {
    *failures = (*failures + 1).min(6);
    let limit = (ROLE_CHECK * (1 << *failures) / 4).min(MAX_BACKOFF);
    jitter(limit)
}

async fn after_head(driver: &Driver, taken: Result<(), ReadError>, after: &mut Revision) {
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
            note_store(shared, Some(&Error::Unavailable(error.to_string())));
            *after = Revision::default();
            tokio::time::sleep(ROLE_CHECK).await;
        }
    }
}

/// Reads the head once and puts it into force.
pub(crate) async fn refresh(driver: &Driver) -> Result<(), ReadError> {
    let shared = driver.shared();
    let read = shared.store.get(&head_key()).await;
    note_store(shared, read.as_ref().err());
    match read? {
        Some(item) => take_head(driver, &item).await,
        None => Ok(()),
    }
}

async fn take_head(driver: &Driver, item: &Item) -> Result<(), ReadError> {
    let shared = driver.shared();
    let head = Head::decode(&item.value)?;
    {
        let mut control = lock(&shared.control);
        control.history.learn(&head.deltas);
        if let Some(offer) = control.replica.offer_head(&head)? {
            driver.applied(&mut control, STORE, Ok(offer));
            return Ok(());
        }
    }
    let read = shared.store.get(&checkpoint_key(head.checkpoint)).await?;
    let base: Option<Snapshot> = read.and_then(|item| rmp_serde::from_slice(&item.value).ok());
    let base = base.ok_or(ReadError::Checkpoint)?;
    let mut control = lock(&shared.control);
    let offer = control.replica.offer_replay(&head, &base)?;
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
        written = matches!(reply, Reply::Swapped(Ok(_)));
        action = restore.step(reply);
    }
    if written {
        shared.emit(&Event::StoreRestored { version });
    }
}

/// Makes the store call of an action.
pub(crate) async fn call(shared: &Shared, action: Action) -> Reply {
    let reply = match action {
        Action::Get(key) => Reply::Got(shared.store.get(&key).await),
        Action::Swap { key, expected, value } => {
            Reply::Swapped(shared.store.swap(&key, expected, value, None).await)
        }
        Action::Done(_) => Reply::Got(Ok(None)),
    };
    let error = match &reply {
        Reply::Got(result) => result.as_ref().err(),
        Reply::Swapped(result) => result.as_ref().err(),
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
    shared.changed();
}

/// Readers are the first two of each data centre in the store's region. In
/// other regions they only read while nothing is heard from there.
fn is_reader(shared: &Shared) -> bool {
    let control = lock(&shared.control);
    let options = &shared.settings.options;
    let me = control.detector.me();
    let live = control.detector.table().live_in(&me.data_centre);
    if rank(Role::Reader, &me.vm, live.map(|record| &record.vm)) >= ROLE_HOLDERS {
        return false;
    }
    if options.region == options.store.region {
        return true;
    }
    let now = shared.now();
    let table = control.detector.table();
    let heard = control.detector.summaries().iter().any(|summed| {
        let mut members = table.live_in(&summed.summary.data_centre);
        let near_store = members.any(|record| record.region == options.store.region);
        near_store && now.saturating_sub(summed.heard) < WATCH_WAIT
    });
    !heard
}

/// Keeps this data centre's contacts in the store current, and joins members
/// that are found there but not known here: daemons that started at the same
/// time, or either side of a link that was cut for long.
pub(crate) async fn keep_contacts(shared: Arc<Shared>) {
    loop {
        let young = shared.now() < YOUNG;
        let period = if young { CONTACTS_PERIOD / 10 } else { CONTACTS_PERIOD };
        tokio::select! {
            () = tokio::time::sleep(period / 2 + jitter(period)) => {}
            () = shared.wait_closed() => return,
        }
        if !is_first_reader(&shared) {
            continue;
        }
        // The next round tries again, whatever went wrong.
        let _ = renew_contacts(&shared).await;
    }
}

fn is_first_reader(shared: &Shared) -> bool {
    let control = lock(&shared.control);
    let me = control.detector.me();
    let live = control.detector.table().live_in(&me.data_centre);
    rank(Role::Reader, &me.vm, live.map(|record| &record.vm)) == 0
}

/// Reads the contacts and writes them back where they have changed.
pub(crate) async fn renew_contacts(shared: &Shared) -> Result<(), Error> {
    let (mut contacts, revision) = read_contacts(shared).await?;
    let strangers = {
        let control = lock(&shared.control);
        let known: Vec<SocketAddr> = control.detector.table().live().map(|r| r.peer).collect();
        let near = &shared.settings.options.data_centre;
        let strangers = contacts.addresses(near).filter(|address| !known.contains(address));
        strangers.collect::<Vec<SocketAddr>>()
    };
    for address in strangers {
        // One that does not answer has gone.
        let _ = peer::sync(shared, address, Vec::new()).await;
    }
    let changed = {
        let control = lock(&shared.control);
        let place = &shared.settings.options.data_centre;
        contacts.renew(place, control.detector.table().live_in(place))
    };
    if !changed {
        return Ok(());
    }
    let value = Bytes::from(rmp_serde::to_vec_named(&contacts).unwrap_or_default());
    let expected = revision.map_or(Expected::Absent, Expected::Revision);
    shared.store.swap(&contacts_key(), expected, value, None).await.map(|_| ())
}

/// Reads the contacts.
pub(crate) async fn read_contacts(shared: &Shared) -> Result<(Contacts, Option<Revision>), Error> {
    let read = shared.store.get(&contacts_key()).await;
    note_store(shared, read.as_ref().err());
    let Some(item) = read? else {
        return Ok((Contacts::default(), None));
    };
    let contacts = rmp_serde::from_slice(&item.value).unwrap_or_default();
    Ok((contacts, Some(item.revision)))
}
