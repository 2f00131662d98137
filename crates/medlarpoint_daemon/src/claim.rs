//! Claims of idempotency keys: records in the store that name the attempt that may
//! run the call of a key.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use medlarpoint_model::Vm;
use medlarpoint_routing::{AttemptId, Claim, ClaimResult, IdempotencyKey};
use medlarpoint_store::{Error, Expected, Key, Lease, Store};
use serde::{Deserialize, Serialize};

use crate::inbound::perform;
use crate::state::{Shared, lock};

/// Time to live of the leases that claims are bound to: the longest that the
/// platform's store grants.
const CLAIM_LEASE_TTL: Duration = Duration::from_secs(600);
/// Time for which new claims are bound to the same lease. A claim stays in the store
/// until the lease expires, so for at least half of the lease's time to live.
const CLAIM_LEASE_REUSE: Duration = Duration::from_secs(300);
/// Limit on the tries to write a claim. A try is repeated if the store's response is
/// lost, the lease has expired or the conflicting claim cannot be read.
const MAX_CLAIM_TRIES: u32 = 3;

/// Claim of an idempotency key as it is stored.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimRecord {
    vm: Vm,
    boot: u64,
    attempt: String,
}

/// Claims a key for an attempt and reports the result to the intake. If the store's
/// response is lost, the stored record shows which attempt holds the key.
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
    for _ in 0..MAX_CLAIM_TRIES {
        let Ok(lease) = claim_lease(shared).await else {
            return ClaimResult::Failed;
        };
        let value = Bytes::from(value.clone());
        let result = shared.store.put(&key, Expected::Absent, value, Some(lease)).await;
        match result {
            Ok(_) => return ClaimResult::Acquired,
            // Another attempt holds the key, or an earlier try succeeded.
            Err(Error::Conflict { .. }) => {
                if let Ok(Some(item)) = shared.store.get(&key).await {
                    return claim_holder(&item.value, &record.attempt);
                }
            }
            Err(Error::Unknown(_)) => {}
            Err(Error::LeaseNotFound) => *shared.claim_lease.lock().await = None,
            Err(_) => return ClaimResult::Failed,
        }
    }
    ClaimResult::Failed
}

/// Returns the lease that new claims are bound to; requests a new one when it has
/// been in use for [`CLAIM_LEASE_REUSE`].
async fn claim_lease(shared: &Shared) -> Result<Lease, Error> {
    let mut lease = shared.claim_lease.lock().await;
    let now = shared.now();
    if let Some((granted, granted_at)) = *lease
        && granted.era == shared.store.era()
        && now.saturating_sub(granted_at) < CLAIM_LEASE_REUSE
    {
        return Ok(granted);
    }
    let granted = shared.store.grant(CLAIM_LEASE_TTL).await?;
    *lease = Some((granted, now));
    Ok(granted)
}

/// Returns the result of a claim by `attempt` from the record in the store.
fn claim_holder(value: &[u8], attempt: &str) -> ClaimResult {
    match rmp_serde::from_slice::<ClaimRecord>(value) {
        Ok(record) if record.attempt == attempt => ClaimResult::Acquired,
        Ok(record) => ClaimResult::HeldBy(Claim { vm: record.vm, boot: record.boot }),
        Err(_) => ClaimResult::Failed,
    }
}
