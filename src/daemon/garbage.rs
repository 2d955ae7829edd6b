//! Deleting objects of the platform that nobody needs any more.

use super::Daemon;
use crate::store::{KeyValueStore, PlatformError, keys};
use cicadashift_core::delivery::garbage::Sweep;
use cicadashift_core::ids::{ObjectHash, Revision};
use std::sync::Arc;
use std::time::Duration;

/// Time between two rounds; two of them make an object old enough.
const EVERY: Duration = Duration::from_secs(300);

/// Sweeps now and then, while this daemon is a reader.
pub async fn run(d: Arc<Daemon>) {
    let mut sweep = Sweep::default();
    loop {
        smol::Timer::after(EVERY.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
        if !d.members.own().reader {
            sweep = Sweep::default();
            continue;
        }
        match round(&d, &mut sweep).await {
            Ok(0) => {}
            Ok(count) => log::info!("{count} objects that nobody names were deleted"),
            Err(err) => log::warn!("garbage is left for later: {err}"),
        }
    }
}

async fn round(d: &Arc<Daemon>, sweep: &mut Sweep) -> Result<usize, PlatformError> {
    // Listed first: what is named by a head that came afterwards was written
    // before it, and is then young.
    let pairs = d.store.list(keys::OBJECTS, true).await?;
    let head = super::reader::read_head(d).await?;
    let Some(named) = head.and_then(|what| d.versions.objects_of(what.version)) else {
        return Ok(0);
    };
    let listed: Vec<(ObjectHash, Revision)> = pairs
        .iter()
        .filter_map(|pair| {
            let hash = ObjectHash::from_hex(pair.key.strip_prefix(keys::OBJECTS)?)?;
            Some((hash, pair.revision))
        })
        .collect();
    let old = sweep.round(&listed, &named, d.clock.now());
    if old.is_empty() {
        return Ok(0);
    }
    let deletes: Vec<_> =
        old.iter().map(|(hash, revision)| (keys::object(*hash), *revision)).collect();
    d.store.delete_unchanged(&deletes).await?;
    Ok(deletes.len())
}
