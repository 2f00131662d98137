//! Records in the store of who may run an idempotency key.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use medlarpoint_model::Vm;
use medlarpoint_routing::{AttemptId, Claim, ClaimResult, IdempotencyKey};
use medlarpoint_store::{Error, Expected, Key, LeaseId, Store};
use serde::{Deserialize, Serialize};

use crate::inbound::perform;
use crate::state::{Shared, lock};

/// Time to live of the leases that records of idempotency keys are bound to;
/// the longest that the platform's store grants.
const CLAIM_LEASE: Duration = Duration::from_secs(600);
/// Time for which new records are bound to the same lease. A record stays in
/// the store for the rest of the lease, which is at least half of it.
const CLAIM_LEASE_USE: Duration = Duration::from_secs(300);
/// Times a claim whose answer was lost is looked up.
const CLAIM_LOOKUPS: u32 = 3;

/// Record of an idempotency key in the store.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimRecord {
    vm: Vm,
    boot: u64,
    attempt: String,
}

/// Creates the record of a key. After a lost answer the record tells whose it is.
pub(crate) async fn claim(shared: &Arc<Shared>, attempt: AttemptId, key: IdempotencyKey) {
    let result = try_claim(shared, attempt, key).await;
    let actions = {
        let now = shared.now();
        lock(&shared.intake).claimed(now, attempt, result)
    };
    perform(shared, actions);
}

async fn try_claim(shared: &Shared, attempt: AttemptId, key: IdempotencyKey) -> ClaimResult {
    let Ok(key) = format!("once/{key}").parse::<Key>() else {
        return ClaimResult::Failed;
    };
    let vm = shared.settings.options.vm.clone();
    let record = ClaimRecord { vm, boot: shared.boot, attempt: attempt.to_string() };
    let Ok(value) = rmp_serde::to_vec_named(&record) else {
        return ClaimResult::Failed;
    };
    for _ in 0..CLAIM_LOOKUPS {
        let Ok(lease) = claim_lease(shared).await else {
            return ClaimResult::Failed;
        };
        let value = Bytes::from(value.clone());
        let written = shared.store.put(&key, Expected::Absent, value, Some(lease)).await;
        match written {
            Ok(_) => return ClaimResult::Acquired,
            // Another holds it, or an earlier try of ours got through.
            Err(Error::Conflict { .. }) => {
                if let Ok(Some(item)) = shared.store.get(&key).await {
                    return owner(&item.value, &record.attempt);
                }
            }
            Err(Error::Unknown(_)) => {}
            Err(Error::LeaseNotFound) => *shared.claim_lease.lock().await = None,
            Err(_) => return ClaimResult::Failed,
        }
    }
    ClaimResult::Failed
}

/// Returns the lease that new records are bound to.
async fn claim_lease(shared: &Shared) -> Result<LeaseId, Error> {
    let mut lease = shared.claim_lease.lock().await;
    let now = shared.now();
    if let Some((id, granted)) = *lease
        && now.saturating_sub(granted) < CLAIM_LEASE_USE
    {
        return Ok(id);
    }
    let id = shared.store.grant(CLAIM_LEASE).await?;
    *lease = Some((id, now));
    Ok(id)
}

fn owner(value: &[u8], attempt: &str) -> ClaimResult {
    match rmp_serde::from_slice::<ClaimRecord>(value) {
        Ok(record) if record.attempt == attempt => ClaimResult::Acquired,
        Ok(record) => ClaimResult::HeldBy(Claim { vm: record.vm, boot: record.boot }),
        Err(_) => ClaimResult::Failed,
    }
}
