//! Deletes objects on the platform that no manifest references any more.

use super::Daemon;
use crate::store::{KeyValueStore, PlatformError, keys};
use cicadashift_core::delivery::garbage::Sweep;
use cicadashift_core::ids::{ObjectHash, Revision};
use cicadashift_http::reactor::Timer;
use std::sync::Arc;
use std::time::Duration;

/// Mean time between two rounds; two of them add up to the minimum age of a deleted object.
const ROUND_INTERVAL: Duration = Duration::from_secs(300);

/// Runs a round at each interval while this daemon is a reader.
pub async fn run(d: Arc<Daemon>) {
    let mut sweep = Sweep::default();
    loop {
        Timer::after(ROUND_INTERVAL.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
        if !d.members.own().reader {
            sweep = Sweep::default();
            continue;
        }
        match collect(&d, &mut sweep).await {
            Ok(0) => {}
            Ok(count) => log::info!("deleted {count} unreferenced objects"),
            Err(err) => log::warn!(
                "unreferenced objects were not deleted, trying again in the next round: {err}"
            ),
        }
    }
}

async fn collect(d: &Arc<Daemon>, sweep: &mut Sweep) -> Result<usize, PlatformError> {
    // The objects are listed before the head is read. An object that only a later
    // head references was written shortly before that head, so it is either not
    // listed or too young to be deleted.
    let pairs = d.store.list(keys::OBJECTS, true).await?;
    let head = super::reader::read_head(d).await?;
    let Some(referenced) = head.and_then(|version_ref| d.versions.objects_of(version_ref.version))
    else {
        return Ok(0);
    };
    let listed: Vec<(ObjectHash, Revision)> = pairs
        .iter()
        .filter_map(|pair| {
            let hash = ObjectHash::from_hex(pair.key.strip_prefix(keys::OBJECTS)?)?;
            Some((hash, pair.revision))
        })
        .collect();
    let old = sweep.round(&listed, &referenced, d.clock.now());
    if old.is_empty() {
        return Ok(0);
    }
    let deletes: Vec<_> =
        old.iter().map(|(hash, revision)| (keys::object(*hash), *revision)).collect();
    d.store.delete_unchanged(&deletes).await?;
    Ok(deletes.len())
}
