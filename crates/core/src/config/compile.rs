//! The table that requests are matched against.
//!
//! A proxy compiles the configurations selected for it once per version. Routes
//! are sorted so that the first match is the most specific: an exact host goes
//! before any host, a longer prefix before a shorter one, named methods before
//! any method. Two routes that match exactly the same requests are refused,
//! because which of them wins would depend on the order of arrival.

use super::{CallerLimits, Config, Invalid, Route};
use crate::ids::Version;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Position of a route in its [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(pub u32);

/// One version's routes on one proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// The version that this table belongs to.
    pub version: Version,
    /// Bounds on callers, where a configuration sets them.
    pub limits: Option<CallerLimits>,
    routes: Vec<Arc<Route>>,
    /// Positions of the routes that name a host, most specific first, so that a
    /// request is compared with the routes of its host and not with all.
    by_host: HashMap<String, Vec<u32>>,
    any_host: Vec<u32>,
}

impl Table {
    /// Compiles the selected configurations.
    ///
    /// # Errors
    ///
    /// Returns the first [`Invalid`] of any configuration, or
    /// [`Invalid::Duplicate`]. A table is made whole or not at all.
    pub fn compile(version: Version, configs: &[Config]) -> Result<Table, Invalid> {
        let mut owners: BTreeMap<_, &str> = BTreeMap::new();
        let mut routes = Vec::new();
        for cfg in configs {
            cfg.check()?;
            for route in &cfg.routes {
                let shape = (&route.host, &route.prefix, &route.methods);
                if let Some(first) = owners.insert(shape, &cfg.id) {
                    return Err(Invalid::Duplicate {
                        prefix: route.prefix.clone(),
                        first: first.to_string(),
                        second: cfg.id.clone(),
                    });
                }
                routes.push(Arc::new(route.clone()));
            }
        }
        routes.sort_by_key(|route| {
            (
                route.host.is_none(),
                Reverse(route.prefix.len()),
                route.methods.is_empty(),
                route.host.clone(),
                route.prefix.clone(),
                route.methods.clone(),
            )
        });
        let limits = configs.iter().filter_map(|cfg| cfg.limits).next_back();
        Ok(Table::indexed(version, limits, routes))
    }

    fn indexed(version: Version, limits: Option<CallerLimits>, routes: Vec<Arc<Route>>) -> Table {
        let mut table = Table { version, limits, routes, ..Table::default() };
        for (i, route) in table.routes.iter().enumerate() {
            let positions = match &route.host {
                Some(host) => table.by_host.entry(host.clone()).or_default(),
                None => &mut table.any_host,
            };
            positions.push(i as u32);
        }
        table
    }

    /// Returns the most specific route for a request.
    pub fn find(&self, host: Option<&str>, path: &str, method: &str) -> Option<RouteKey> {
        let named = host.and_then(|host| self.by_host.get(without_port(host)));
        let positions = named.into_iter().flatten().chain(&self.any_host);
        positions.copied().map(RouteKey).find(|key| {
            self.route(*key).is_some_and(|route| {
                under(path, &route.prefix)
                    && (route.methods.is_empty() || route.methods.iter().any(|m| m == method))
            })
        })
    }

    /// Returns a route by its key, or `None` for the key of another table.
    pub fn route(&self, key: RouteKey) -> Option<&Arc<Route>> {
        self.routes.get(key.0 as usize)
    }

    /// Returns the services that this table routes to, each once, sorted.
    pub fn services(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.routes.iter().flat_map(|route| route.services()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

fn under(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/')
}
