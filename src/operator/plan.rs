//! What a change would do, before anyone accepts it.

use super::change::Snapshot;
use super::fleet::Proxies;
use cicadashift_core::delivery::head::{Operation, Refused};
use serde::Serialize;

/// What a change would do to one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Effect {
    /// The proxy's host.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Configurations it would run that it does not run now.
    pub gains: Vec<String>,
    /// Configurations it would no longer run.
    pub loses: Vec<String>,
    /// Configurations whose text would change.
    pub changes: Vec<String>,
}

impl Effect {
    fn is_none(&self) -> bool {
        self.gains.is_empty() && self.loses.is_empty() && self.changes.is_empty()
    }
}

/// Returns the proxies that a change would reach, with what changes on each.
///
/// # Errors
///
/// Returns [`Refused`] where the change cannot be applied at all.
pub fn effects(now: &Snapshot, op: &Operation, proxies: &Proxies) -> Result<Vec<Effect>, Refused> {
    let mut after = now.manifest.clone();
    op.apply(&mut after)?;
    let mut out = Vec::new();
    for proxy in proxies {
        let old = now.manifest.selected(proxy);
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
        if !effect.is_none() {
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
