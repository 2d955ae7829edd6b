//! Organisations: identification of a request's sender, and quotas.
//!
//! If a configuration lists organisations, every request must carry one of their keys,
//! except on anonymous routes. A [`Directory`] maps a key to its organisation. It
//! contains digests of the keys instead of the keys, so that printing or sending a
//! compiled table cannot disclose a key.
//!
//! # Limits
//!
//! The text of a configuration contains the keys in plain text: anyone who can read
//! the store or a daemon's memory can read them.

use super::{Invalid, Priority, check_name};
use crate::limit::{LimitKey, Quota};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// Longest key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// An organisation that may send requests, with its API keys and its quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name by which upstreams identify the sender.
    pub name: String,
    /// Keys that identify its requests.
    pub keys: Vec<ApiKey>,
    /// Priority of its calls when slots are short; takes precedence over the route's.
    #[serde(default)]
    pub priority: Priority,
    /// Requests per second at all daemons together; zero means no limit.
    #[serde(default)]
    pub rate_per_s: u64,
    /// Requests allowed beyond the rate after a period without requests.
    #[serde(default)]
    pub burst: u64,
}

/// Secret that identifies the requests of an organisation.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(String);

impl ApiKey {
    /// Creates a key from its text in a configuration, without a check.
    pub fn new(text: impl Into<String>) -> ApiKey {
        ApiKey(text.into())
    }

    fn is_well_formed(&self) -> bool {
        let length_ok = (1..=MAX_KEY_BYTES).contains(&self.0.len());
        length_ok && self.0.bytes().all(|byte| byte.is_ascii_graphic())
    }
}

/// Omits the key, to keep it out of logs and panic messages.
impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// SHA-256 of a key, which identifies the key without disclosing it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct KeyDigest([u8; 32]);

impl KeyDigest {
    fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }
}

/// The compiled form of an [`Organisation`], which the request path uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name by which upstreams identify the sender.
    pub name: String,
    /// Priority of its calls when slots are short.
    pub priority: Priority,
    /// Key of the rate limit on its requests.
    pub limit: LimitKey,
    /// Rate and burst that it may send; `None` means no limit.
    pub quota: Option<Quota>,
}

/// The organisations of one version, indexed by API key and by limit.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Directory {
    accounts: Vec<Arc<Account>>,
    by_key: HashMap<KeyDigest, u32>,
    by_limit: HashMap<LimitKey, u32>,
}

impl fmt::Debug for Directory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(&self.accounts).finish()
    }
}

impl Directory {
    /// Checks organisations and indexes them.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid::SharedKey`] if two organisations have the same key and
    /// [`Invalid::DuplicateOrganisation`] if two have the same name: the sender of a
    /// request would depend on their order. Also returns the first [`Invalid`] of a
    /// single organisation.
    pub fn compile(organisations: &[Organisation]) -> Result<Directory, Invalid> {
        let mut directory = Directory::default();
        let mut names = HashMap::new();
        for organisation in organisations {
            organisation.check()?;
            if names.insert(&organisation.name, ()).is_some() {
                return Err(Invalid::DuplicateOrganisation(organisation.name.clone()));
            }
            directory.add(organisation)?;
        }
        Ok(directory)
    }

    fn add(&mut self, organisation: &Organisation) -> Result<(), Invalid> {
        let index = self.accounts.len() as u32;
        for key in &organisation.keys {
            let holder = *self.by_key.entry(KeyDigest::of(key.0.as_bytes())).or_insert(index);
            if holder != index {
                return Err(Invalid::SharedKey {
                    first: self.accounts[holder as usize].name.clone(),
                    second: organisation.name.clone(),
                });
            }
        }
        let account = organisation.account();
        self.by_limit.insert(account.limit, index);
        self.accounts.push(Arc::new(account));
        Ok(())
    }

    /// Returns the organisation that has this key.
    ///
    /// The time of the look-up depends on the digest alone, which discloses nothing about
    /// the stored keys.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Account>> {
        let index = self.by_key.get(&KeyDigest::of(key))?;
        self.accounts.get(*index as usize)
    }

    /// Returns the quota of the organisation with this limit key, if it has one.
    pub fn quota(&self, limit: LimitKey) -> Option<Quota> {
        let index = self.by_limit.get(&limit)?;
        self.accounts.get(*index as usize)?.quota
    }

    /// Returns the accounts, in the order of the configuration.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.accounts.iter()
    }
}

impl Organisation {
    fn account(&self) -> Account {
        let quota = Quota { rate_per_s: self.rate_per_s, burst: self.burst };
        Account {
            name: self.name.clone(),
            limit: LimitKey::of_organisation(&self.name),
            priority: self.priority,
            quota: (self.rate_per_s > 0).then_some(quota),
        }
    }

    /// Checks the constraints that deserialization does not enforce.
    ///
    /// # Errors
    ///
    /// Returns the first [`Invalid`] found. The error never contains a key.
    pub fn check(&self) -> Result<(), Invalid> {
        check_name("organisations", &self.name)?;
        match self.keys.iter().all(ApiKey::is_well_formed) {
            true => Ok(()),
            false => Err(Invalid::ApiKey(self.name.clone())),
        }
    }
}
