//! The effects of a change, computed before it is committed.

use super::change::Snapshot;
use super::fleet::Proxies;
use cicadashift_core::delivery::head::{Operation, Refused};
use serde::Serialize;

/// Effect of a change on one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Effect {
    /// The host of the proxy.
    pub host: String,
    /// The failure domain of the proxy.
    pub domain: String,
    /// Configurations that the proxy would run and does not run now.
    pub gains: Vec<String>,
    /// Configurations that the proxy would no longer run.
    pub loses: Vec<String>,
    /// Configurations whose text would change.
    pub changes: Vec<String>,
}

impl Effect {
    fn is_empty(&self) -> bool {
        self.gains.is_empty() && self.loses.is_empty() && self.changes.is_empty()
    }
}

/// Returns the effect of a change on each proxy where it has one.
///
/// # Errors
///
/// Returns [`Refused`] where the change cannot be applied.
pub fn effects(
    snapshot: &Snapshot,
    op: &Operation,
    proxies: &Proxies,
) -> Result<Vec<Effect>, Refused> {
    let mut after = snapshot.manifest.clone();
    op.apply(&mut after)?;
    let mut out = Vec::new();
    for proxy in proxies {
        let old = snapshot.manifest.selected(proxy);
        let new = after.selected(proxy);
        let effect = Effect {
            host: proxy.host.clone(),
            domain: proxy.domain.clone(),
            gains: ids(new.iter().filter(|e| !old.iter().any(|o| o.id == e.id))),
            loses: ids(old.iter().filter(|e| !new.iter().any(|n| n.id == e.id))),
            changes: ids(new
                .iter()
                .filter(|e| old.iter().any(|o| o.id == e.id && o.hash != e.hash))),
        };
        if !effect.is_empty() {
            out.push(effect);
        }
    }
    Ok(out)
}

fn ids<'a>(
    entries: impl Iterator<Item = &'a &'a cicadashift_core::config::manifest::ConfigEntry>,
) -> Vec<String> {
    entries.map(|entry| entry.id.clone()).collect()
}
