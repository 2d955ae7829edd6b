//! Compilation of configurations into the routing table.
//!
//! A proxy compiles the configurations selected for it once per version. Routes
//! are sorted by specificity, so that the first match is the most specific one: a
//! given host precedes any host, a longer prefix a shorter one, and listed methods
//! any method. Two routes that match exactly the same requests are rejected, because
//! the winner would depend on the order in which their configurations arrive.

use super::organisation::Directory;
use super::{CallerLimits, Config, Invalid, Organisation, Route};
use crate::ids::Version;
use std::cmp::{Ordering, Reverse};
use std::collections::HashMap;
use std::sync::Arc;

/// Position of a route in its [`RoutingTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(pub u32);

/// The routes of one version on one proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingTable {
    /// Version of the configurations that this table was compiled from.
    pub version: Version,
    /// Limits on callers, where a configuration sets them.
    pub limits: Option<CallerLimits>,
    /// Organisations that may send requests; `None` if no configuration lists any.
    pub organisations: Option<Directory>,
    routes: Vec<Arc<Route>>,
    /// Positions of the routes for each host, sorted by prefix: a request costs one
    /// binary search for each prefix of its path, not a comparison with every route.
    by_host: HashMap<String, Vec<u32>>,
    /// Positions of the routes without a host, sorted by prefix.
    any_host: Vec<u32>,
}

impl RoutingTable {
    /// Compiles the selected configurations.
    ///
    /// # Errors
    ///
    /// Returns the first [`Invalid`] found in a configuration or in its organisations, or
    /// [`Invalid::DuplicateRoute`]. No partial table is returned.
    pub fn compile(version: Version, configs: Vec<Config>) -> Result<RoutingTable, Invalid> {
        let limits = configs.iter().filter_map(|cfg| cfg.limits).next_back();
        let mut routes = Vec::new();
        let mut organisations: Option<Vec<Organisation>> = None;
        for cfg in configs {
            cfg.check()?;
            if let Some(listed) = cfg.organisations {
                organisations.get_or_insert_default().extend(listed);
            }
            let config_id: Arc<str> = cfg.id.into();
            routes.extend(cfg.routes.into_iter().map(|route| (config_id.clone(), route)));
        }
        routes.sort_by(|(_, a), (_, b)| by_specificity(a, b));
        for pair in routes.windows(2) {
            if by_specificity(&pair[0].1, &pair[1].1).is_eq() {
                return Err(Invalid::DuplicateRoute {
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
            // The sort is stable: routes with one prefix keep their order of specificity.
            positions.sort_by(|a, b| routes[*a as usize].prefix.cmp(&routes[*b as usize].prefix));
        }
        table
    }

    /// Returns the most specific route for a request.
    pub fn find(&self, host: Option<&str>, path: &str, method: &str) -> Option<RouteKey> {
        let for_host = host.and_then(|host| self.by_host.get(without_port(host)));
        let host_match = for_host.and_then(|positions| self.find_in(positions, path, method));
        host_match.or_else(|| self.find_in(&self.any_host, path, method))
    }

    /// Returns the first route at `positions` that matches, trying the longest prefix of
    /// the path first. `positions` must be sorted by prefix.
    fn find_in(&self, positions: &[u32], path: &str, method: &str) -> Option<RouteKey> {
        let prefix_at = |at: &u32| self.routes[*at as usize].prefix.as_str();
        prefixes(path).find_map(|prefix| {
            let start = positions.partition_point(|at| prefix_at(at) < prefix);
            let with_prefix = positions[start..].iter().take_while(|at| prefix_at(at) == prefix);
            let accepts_method = |at: &&u32| {
                let methods = &self.routes[**at as usize].methods;
                methods.is_empty() || methods.iter().any(|m| m == method)
            };
            with_prefix.copied().find(|at| accepts_method(&at)).map(RouteKey)
        })
    }

    /// Returns the route with this key, or `None` if the key is out of range, which is
    /// possible for a key of another table.
    pub fn route(&self, key: RouteKey) -> Option<&Arc<Route>> {
        self.routes.get(key.0 as usize)
    }

    /// Returns the services that this table routes to, sorted and without duplicates.
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

/// Orders routes from most to least specific. Routes that compare equal match exactly the
/// same requests.
fn by_specificity(a: &Route, b: &Route) -> Ordering {
    let rank = |route: &Route| {
        (route.host.is_none(), Reverse(route.prefix.len()), route.methods.is_empty())
    };
    let tie_break = (&a.host, &a.prefix, &a.methods).cmp(&(&b.host, &b.prefix, &b.methods));
    rank(a).cmp(&rank(b)).then(tie_break)
}

/// Returns the prefixes that match a path, longest first: the path itself, then for each
/// slash the part up to and including it and the part before it.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
    let shorter = slashes.flat_map(|(at, _)| [&path[..=at], &path[..at]]);
    std::iter::once(path).chain(shorter)
}
