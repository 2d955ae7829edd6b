//! A whole mesh: platform, daemons, upstreams, and an operator.

use crate::fleet::{Daemon, Fleet, Spec};
use crate::platform::Platform;
use crate::upstream::{Behaviour, Ledger, Upstream};
use cicadashift::clock::{Clock, SystemClock};
use cicadashift::operator::{OperatorError, change};
use cicadashift::store::etcd::Etcd;
use cicadashift_core::config::Selector;
use cicadashift_core::delivery::head::Operation;
use cicadashift_core::ids::Version;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for anything that a test waits for; far above what it takes, so that a
/// slow machine changes no verdict.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Pairs every configuration labelled `app=notices` with every proxy.
pub const SELECT_ALL: &str = r#"{"name": "everywhere", "configs": {"app": "notices"}}"#;

/// Routes `/notices` to the service `notice`.
pub const NOTICES_CONFIG: &str = r#"{
  "id": "notices",
  "labels": {"app": "notices"},
  "routes": [{"prefix": "/notices", "service": "notice"}, {"prefix": "/echo", "service": "notice"}]
}"#;

/// A running mesh.
pub struct Mesh {
    /// The platform's stand-in.
    pub platform: Platform,
    /// The daemons.
    pub fleet: Fleet,
    /// The upstreams, one beside each daemon that has one.
    pub upstreams: Vec<Arc<Upstream>>,
    /// Executions of all upstreams.
    pub ledger: Ledger,
    client: Etcd,
}

impl Mesh {
    /// Starts a mesh whose daemon `node` has the upstream that `behaviour` gives.
    ///
    /// # Panics
    ///
    /// Panics if it does not come up: no test can go on from there.
    pub async fn start(spec: Spec, behaviour: impl Fn(&Daemon) -> Option<Behaviour>) -> Mesh {
        let platform = Platform::start();
        let fleet = Fleet::start(spec, platform.addr);
        let ledger = Ledger::default();
        let mut upstreams = Vec::new();
        for node in &fleet.daemons {
            if let Some(behaviour) = behaviour(node) {
                upstreams.push(Upstream::start(behaviour, node.upstreams, ledger.clone()));
            }
        }
        let client = Etcd::new(vec![platform.addr]);
        let mesh = Mesh { platform, fleet, upstreams, ledger, client };
        mesh.announce_all().await;
        assert!(mesh.fleet.wait_joined(WAIT_TIMEOUT).await, "the daemons find each other");
        mesh
    }

    /// Starts a mesh with an ordinary upstream beside each daemon, and brings
    /// [`NOTICES_CONFIG`] into force everywhere.
    ///
    /// # Panics
    ///
    /// Panics if it does not come up.
    pub async fn serving(spec: Spec) -> Mesh {
        let mesh = Mesh::start(spec, |node| {
            Some(Behaviour::plain(&node.service, &format!("{}-{}", node.service, node.name)))
        })
        .await;
        mesh.set_selector(SELECT_ALL).await;
        mesh.roll_out(NOTICES_CONFIG).await;
        mesh
    }

    /// Sets a selector.
    ///
    /// # Panics
    ///
    /// Panics if the platform does not take it.
    pub async fn set_selector(&self, text: &str) -> Version {
        let selector = Selector::parse(text.as_bytes()).expect("a good selector");
        let op = Operation::SetSelector(selector);
        self.commit(&op).await.expect("the platform takes a selector")
    }

    /// Carries an operation out.
    ///
    /// # Errors
    ///
    /// Returns what the operators' client says.
    pub async fn commit(&self, op: &Operation) -> Result<Version, OperatorError> {
        change::commit(&self.client, op, None, SystemClock::new().wall_ms()).await
    }

    /// Accepts a configuration as the command line does.
    ///
    /// # Errors
    ///
    /// Returns what the operators' client says.
    pub async fn accept(&self, text: &str) -> Result<Version, OperatorError> {
        let invalid = |why| OperatorError::Invalid { file: "test".to_string(), why };
        let (op, cfg, object) = change::accepting(text.as_bytes()).map_err(invalid)?;
        let until = Instant::now() + WAIT_TIMEOUT;
        // The roster with the services is written a moment after the first
        // announcement.
        loop {
            let services = change::services(&self.client).await?;
            match change::check_services(&cfg, &services) {
                Ok(()) => break,
                Err(why) if Instant::now() > until => return Err(invalid(why)),
                Err(_) => smol::Timer::after(Duration::from_millis(100)).await,
            };
        }
        change::commit(&self.client, &op, Some(object), SystemClock::new().wall_ms()).await
    }

    /// Accepts a configuration and waits until every daemon runs it; returns the
    /// version and the time it took.
    ///
    /// # Panics
    ///
    /// Panics if it is refused or does not come into force.
    pub async fn roll_out(&self, text: &str) -> (Version, Duration) {
        let version = self.accept(text).await.expect("the configuration is accepted");
        let took = self.fleet.wait_running(&self.all(), version, WAIT_TIMEOUT).await;
        (version, took.expect("the version comes into force everywhere"))
    }

    /// Returns the positions of all daemons.
    pub fn all(&self) -> Vec<usize> {
        (0..self.fleet.daemons.len()).collect()
    }

    /// Announces every upstream to its daemon.
    ///
    /// # Panics
    ///
    /// Panics if a daemon does not come up.
    pub async fn announce_all(&self) {
        let until = Instant::now() + WAIT_TIMEOUT;
        for upstream in &self.upstreams {
            while upstream.announce().await.is_err() {
                if Instant::now() > until {
                    panic!("a daemon does not come up:\n{}", self.fleet.last_log_lines());
                }
                smol::Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}
