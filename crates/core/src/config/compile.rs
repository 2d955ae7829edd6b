//! The table that requests are matched against.
//!
//! A proxy compiles the configurations selected for it once per version. Routes
//! are sorted so that the first match is the most specific: an exact host goes
//! before any host, a longer prefix before a shorter one, named methods before
//! any method. Two routes that match exactly the same requests are refused,
//! because which of them wins would depend on the order of arrival.

use super::organisation::Directory;
use super::{CallerLimits, Config, Invalid, Organisation, Route};
use crate::ids::Version;
use std::cmp::{Ordering, Reverse};
use std::collections::HashMap;
use std::sync::Arc;

/// Position of a route in its [`RoutingTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(pub u32);

/// One version's routes on one proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingTable {
    /// The version that this table belongs to.
    pub version: Version,
    /// Bounds on callers, where a configuration sets them.
    pub limits: Option<CallerLimits>,
    /// Who may ask, where a configuration names organisations.
    pub organisations: Option<Directory>,
    routes: Vec<Arc<Route>>,
    /// Positions of the routes that name a host, by prefix, so that a request costs a
    /// search for each part of its path and not a comparison with every route.
    by_host: HashMap<String, Vec<u32>>,
    any_host: Vec<u32>,
}

impl RoutingTable {
    /// Compiles the selected configurations.
    ///
    /// # Errors
    ///
    /// Returns the first [`Invalid`] of any configuration, or
    /// [`Invalid::Duplicate`]. A table is made whole or not at all.
    pub fn compile(version: Version, configs: Vec<Config>) -> Result<RoutingTable, Invalid> {
        let limits = configs.iter().filter_map(|cfg| cfg.limits).next_back();
        let mut routes = Vec::new();
        let mut organisations: Option<Vec<Organisation>> = None;
        for cfg in configs {
            cfg.check()?;
            if let Some(more) = cfg.organisations {
                organisations.get_or_insert_default().extend(more);
            }
            let owner: Arc<str> = cfg.id.into();
            routes.extend(cfg.routes.into_iter().map(|route| (owner.clone(), route)));
        }
        routes.sort_by(|(_, a), (_, b)| order(a, b));
        for pair in routes.windows(2) {
            if order(&pair[0].1, &pair[1].1).is_eq() {
                return Err(Invalid::Duplicate {
                    prefix: pair[0].1.prefix.clone(),
                    first: pair[0].0.to_string(),
                    second: pair[1].0.to_string(),
                });
            }
        }
        let routes = routes.into_iter().map(|(_, route)| Arc::new(route)).collect();
        let organisations = organisations.map(|all| Directory::compile(&all)).transpose()?;
        Ok(RoutingTable { organisations, ..RoutingTable::indexed(version, limits, routes) })
    }

    fn indexed(
        version: Version,
        limits: Option<CallerLimits>,
        routes: Vec<Arc<Route>>,
    ) -> RoutingTable {
        let mut table = RoutingTable { version, limits, routes, ..RoutingTable::default() };
        for (i, route) in table.routes.iter().enumerate() {
            let positions = match &route.host {
                Some(host) => table.by_host.entry(host.clone()).or_default(),
                None => &mut table.any_host,
            };
            positions.push(i as u32);
        }
        let routes = &table.routes;
        for positions in table.by_host.values_mut().chain([&mut table.any_host]) {
            // Stable: routes of one prefix stay in the order in which they are tried.
            positions.sort_by(|a, b| routes[*a as usize].prefix.cmp(&routes[*b as usize].prefix));
        }
        table
    }

    /// Returns the most specific route for a request.
    pub fn find(&self, host: Option<&str>, path: &str, method: &str) -> Option<RouteKey> {
        let named = host.and_then(|host| self.by_host.get(without_port(host)));
        let in_named = named.and_then(|positions| self.find_in(positions, path, method));
        in_named.or_else(|| self.find_in(&self.any_host, path, method))
    }

    /// Looks every prefix that the path has up, the longest first.
    fn find_in(&self, positions: &[u32], path: &str, method: &str) -> Option<RouteKey> {
        let prefix_at = |at: &u32| self.routes[*at as usize].prefix.as_str();
        prefixes(path).find_map(|prefix| {
            let from = positions.partition_point(|at| prefix_at(at) < prefix);
            let same = positions[from..].iter().take_while(|at| prefix_at(at) == prefix);
            let takes = |at: &&u32| {
                let methods = &self.routes[**at as usize].methods;
                methods.is_empty() || methods.iter().any(|m| m == method)
            };
            same.copied().find(|at| takes(&at)).map(RouteKey)
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

/// Orders routes by how specific they are; equal ones match the same requests.
fn order(a: &Route, b: &Route) -> Ordering {
    let rank = |route: &Route| {
        (route.host.is_none(), Reverse(route.prefix.len()), route.methods.is_empty())
    };
    let names = (&a.host, &a.prefix, &a.methods).cmp(&(&b.host, &b.prefix, &b.methods));
    rank(a).cmp(&rank(b)).then(names)
}

/// Returns the prefixes under which a path falls, the longest first: it itself, and
/// what ends with or before one of its slashes.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
    let shorter = slashes.flat_map(|(at, _)| [&path[..=at], &path[..at]]);
    std::iter::once(path).chain(shorter)
}
