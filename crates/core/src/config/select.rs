//! Selection of the configurations that a proxy runs.
//!
//! A selector is a conjunction: every label, the failure domain and a service
//! must match. Several selectors form a disjunction. There is no negation: adding
//! a selector can only add proxies and removing one can only remove them, so that an
//! operator can predict the effect of a change while on call.

use super::{Labels, Selector};

/// The properties of a proxy that selectors match.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proxy {
    /// Name of the host it runs on.
    pub host: String,
    /// Failure domain from its settings.
    pub domain: String,
    /// Services its host may run, from its settings.
    pub services: Vec<String>,
    /// Labels from its settings; the manifest's labels for the host take precedence.
    pub labels: Labels,
}

impl Proxy {
    /// Returns this proxy with an operator's labels added; they replace labels of its own
    /// with the same key.
    pub fn with_labels(&self, overrides: Option<&Labels>) -> Proxy {
        let mut proxy = self.clone();
        if let Some(overrides) = overrides {
            proxy.labels.extend(overrides.iter().map(|(k, v)| (k.clone(), v.clone())));
        }
        proxy
    }
}

impl Selector {
    /// Returns whether this selector pairs a configuration with a proxy.
    pub fn selects(&self, config_labels: &Labels, proxy: &Proxy) -> bool {
        has_all(config_labels, &self.configs) && self.matches_proxy(proxy)
    }

    /// Returns whether the failure domain, services and labels of a proxy match this
    /// selector, whatever the configuration.
    pub fn matches_proxy(&self, proxy: &Proxy) -> bool {
        let domain_matches = self.domains.is_empty() || self.domains.contains(&proxy.domain);
        let service_matches = self.services.is_empty()
            || self.services.iter().any(|name| proxy.services.contains(name));
        domain_matches && service_matches && has_all(&proxy.labels, &self.proxies)
    }
}

fn has_all(labels: &Labels, required: &Labels) -> bool {
    required.iter().all(|(key, value)| labels.get(key) == Some(value))
}
