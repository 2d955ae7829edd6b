//! Which configurations reach a proxy.
//!
//! A selector is a conjunction: every label, the failure domain and a service
//! must fit. Several selectors are a disjunction. There is no negation, so that
//! adding a selector can only add proxies and removing one can only take them
//! away, which an operator can predict at night.

use super::{Labels, Selector};

/// What selectors see of a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proxy {
    /// Name of the host it runs on.
    pub host: String,
    /// Failure domain from its settings.
    pub domain: String,
    /// Services its host may run, from its settings.
    pub services: Vec<String>,
    /// Labels from its settings; the manifest's labels for the host go first.
    pub labels: Labels,
}

impl Proxy {
    /// Returns this proxy with an operator's labels laid over its own.
    pub fn with_labels(&self, over: Option<&Labels>) -> Proxy {
        let mut proxy = self.clone();
        if let Some(over) = over {
            proxy.labels.extend(over.iter().map(|(k, v)| (k.clone(), v.clone())));
        }
        proxy
    }
}

impl Selector {
    /// Returns whether this selector pairs a configuration with a proxy.
    pub fn selects(&self, config_labels: &Labels, proxy: &Proxy) -> bool {
        has_all(config_labels, &self.configs) && self.matches_proxy(proxy)
    }

    /// Returns whether the proxy's side of this selector fits.
    pub fn matches_proxy(&self, proxy: &Proxy) -> bool {
        let domain = self.domains.is_empty() || self.domains.contains(&proxy.domain);
        let service = self.services.is_empty()
            || self.services.iter().any(|name| proxy.services.contains(name));
        domain && service && has_all(&proxy.labels, &self.proxies)
    }
}

fn has_all(labels: &Labels, wanted: &Labels) -> bool {
    wanted.iter().all(|(key, value)| labels.get(key) == Some(value))
}
