//! A complete mesh of platform, daemons, upstreams, and an operator's client.

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

/// Maximum time to wait for a condition. It is far above the usual time, so that tests pass
/// on a slow machine too.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A selector that assigns every configuration with the label `app=notices` to every proxy.
pub const SELECT_ALL: &str = r#"{"name": "everywhere", "configs": {"app": "notices"}}"#;

/// A configuration that routes `/notices` and `/echo` to the service `notice`.
pub const NOTICES_CONFIG: &str = r#"{
  "id": "notices",
  "labels": {"app": "notices"},
  "routes": [{"prefix": "/notices", "service": "notice"}, {"prefix": "/echo", "service": "notice"}]
}"#;

/// A running mesh.
pub struct Mesh {
    /// The simulated platform.
    pub platform: Platform,
    /// The daemons.
    pub fleet: Fleet,
    /// The upstreams, at most one for each daemon.
    pub upstreams: Vec<Arc<Upstream>>,
    /// Executions on all upstreams.
    pub ledger: Ledger,
    client: Etcd,
}

impl Mesh {
    /// Starts a mesh. `behaviour` returns the behaviour of the upstream of a daemon, or `None`
    /// for a daemon without an upstream.
    ///
    /// # Panics
    ///
    /// Panics if the daemons do not start or do not find each other in time.
    pub async fn start(spec: Spec, behaviour: impl Fn(&Daemon) -> Option<Behaviour>) -> Mesh {
        let platform = Platform::start();
        let fleet = Fleet::start(spec, platform.addr);
        let ledger = Ledger::default();
        let mut upstreams = Vec::new();
        for daemon in &fleet.daemons {
            if let Some(behaviour) = behaviour(daemon) {
                upstreams.push(Upstream::start(behaviour, daemon.upstreams, ledger.clone()));
            }
        }
        let client = Etcd::new(vec![platform.addr]);
        let mesh = Mesh { platform, fleet, upstreams, ledger, client };
        mesh.announce_all().await;
        assert!(
            mesh.fleet.wait_joined(WAIT_TIMEOUT).await,
            "every daemon lists the members of its failure domain"
        );
        mesh
    }

    /// Starts a mesh with a default upstream for each daemon, and rolls out [`NOTICES_CONFIG`]
    /// to all daemons.
    ///
    /// # Panics
    ///
    /// Panics if the mesh does not start or the configuration does not come into force.
    pub async fn serving(spec: Spec) -> Mesh {
        let mesh = Mesh::start(spec, |daemon| {
            Some(Behaviour::plain(&daemon.service, &format!("{}-{}", daemon.service, daemon.name)))
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
    /// Panics if the selector is invalid or the platform does not accept it.
    pub async fn set_selector(&self, text: &str) -> Version {
        let selector = Selector::parse(text.as_bytes()).expect("the selector is valid");
        let op = Operation::SetSelector(selector);
        self.commit(&op).await.expect("the platform accepts the selector")
    }

    /// Commits an operation.
    ///
    /// # Errors
    ///
    /// Returns the error of the operators' client.
    pub async fn commit(&self, op: &Operation) -> Result<Version, OperatorError> {
        change::commit(&self.client, op, None, SystemClock::new().wall_ms()).await
    }

    /// Accepts a configuration, as the command-line client does.
    ///
    /// # Errors
    ///
    /// Returns the error of the operators' client.
    pub async fn accept(&self, text: &str) -> Result<Version, OperatorError> {
        let invalid = |why| OperatorError::Invalid { file: "test".to_string(), why };
        let (op, cfg, object) = change::prepare_accept(text.as_bytes()).map_err(invalid)?;
        let until = Instant::now() + WAIT_TIMEOUT;
        // The roster, which lists the services, is written shortly after the first
        // announcement.
        loop {
            let services = change::services(&self.client).await?;
            match change::check_services(&cfg, &services) {
                Ok(()) => break,
                Err(err) if Instant::now() > until => return Err(invalid(err)),
                Err(_) => smol::Timer::after(Duration::from_millis(100)).await,
            };
        }
        change::commit(&self.client, &op, Some(object), SystemClock::new().wall_ms()).await
    }

    /// Accepts a configuration and waits until every daemon runs it. Returns the version and
    /// the time from acceptance until the last daemon runs it.
    ///
    /// # Panics
    ///
    /// Panics if the configuration is rejected or does not come into force.
    pub async fn roll_out(&self, text: &str) -> (Version, Duration) {
        let version = self.accept(text).await.expect("the configuration is accepted");
        let took = self.fleet.wait_running(&self.all(), version, WAIT_TIMEOUT).await;
        (version, took.expect("the version comes into force everywhere"))
    }

    /// Returns the indices of all daemons.
    pub fn all(&self) -> Vec<usize> {
        (0..self.fleet.daemons.len()).collect()
    }

    /// Announces every upstream to its daemon.
    ///
    /// # Panics
    ///
    /// Panics if a daemon does not accept the announcement in time.
    pub async fn announce_all(&self) {
        let until = Instant::now() + WAIT_TIMEOUT;
        for upstream in &self.upstreams {
            while upstream.announce().await.is_err() {
                if Instant::now() > until {
                    panic!(
                        "a daemon does not accept the announcement of its upstream:\n{}",
                        self.fleet.last_log_lines()
                    );
                }
                smol::Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}
