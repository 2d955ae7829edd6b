//! The grammar of the command line.
//!
//! `xflags` names the type of a command after its last word alone. Commands that share
//! this word, such as the `list` of configurations and of selectors, therefore need
//! modules of their own. Each of these modules repeats the three options that all its
//! commands take.

/// Commands without subcommands.
pub mod main {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Distributes configuration to the proxies of a service mesh, and is those proxies.
        ///
        /// Client commands take the platform's address from --platform or
        /// $CICADASHIFT_PLATFORM, and a daemon's from --daemon or
        /// $CICADASHIFT_DAEMON. Exit codes: 0 success, 1 refused or failed, 2 usage error.
        cmd cicadashift {
            /// Run the daemon of this host until SIGTERM.
            cmd daemon {
                /// Settings in JSON; docs/SETTINGS.md lists the fields.
                required --settings file: PathBuf
            }
            /// Check settings as `daemon` does, but start nothing: `settings check FILE`.
            cmd settings {
                required action: String
                required file: PathBuf
            }
            /// Change and show configurations: see `config --help`.
            cmd config {
                repeated args: String
            }
            /// Change and show selectors: see `selector --help`.
            cmd selector {
                repeated args: String
            }
            /// Change and show labels of proxies: see `label --help`.
            cmd label {
                repeated args: String
            }
            /// Show which version each proxy runs.
            cmd status {
                /// Print the status every second until the newest version runs everywhere.
                optional --watch
                /// Upstream port of a daemon to query; may be repeated.
                repeated --daemon addr: SocketAddr
                /// Write JSON.
                optional --json
            }
            /// Show calls suspected of ending upstreams, or lift the quarantine of one:
            /// `quarantine list`, `quarantine lift CALL`.
            cmd quarantine {
                required action: String
                /// The digest of the call, as shown by `quarantine list` and in the logs.
                optional call: String
                /// Upstream port of a daemon to query; may be repeated.
                repeated --daemon addr: SocketAddr
                /// Write JSON.
                optional --json
            }
            /// Show organisations with their quotas and present call rates.
            cmd organisation {
                /// `list` or `show`.
                required action: String
                /// Name of the organisation to show, with its rate by failure domain.
                optional name: String
                /// Upstream port of a daemon to query; may be repeated.
                repeated --daemon addr: SocketAddr
                /// Write JSON.
                optional --json
            }
            /// Show the progress of rollouts of new versions.
            cmd rollouts {
                /// Upstream port of a daemon to query; may be repeated.
                repeated --daemon addr: SocketAddr
                /// Write JSON.
                optional --json
            }
            /// Trace a request through the logs of daemons and name the cause of its failure.
            cmd explain {
                /// The request id.
                required request: String
                /// Log files; each may hold the lines of one or several daemons.
                repeated files: PathBuf
            }
            /// Show the delivery record of a quarter.
            cmd record {
                /// The quarter, such as 2026Q4; defaults to the current one.
                optional --quarter quarter: String
                /// Also write an HTML page for customers to this file.
                optional --html file: PathBuf
                /// Address of the platform's service; may be repeated.
                repeated --platform addr: SocketAddr
                /// Write JSON.
                optional --json
            }
        }
    }
}

/// `cicadashift config`.
pub mod config {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Change and show configurations.
        cmd config {
            /// Address of the platform's service; may be repeated.
            repeated --platform addr: SocketAddr
            /// Upstream port of a daemon to query; may be repeated.
            repeated --daemon addr: SocketAddr
            /// Write JSON.
            optional --json

            /// Accept a configuration; it replaces the one with the same id, if any.
            cmd accept {
                /// The configuration in JSON; docs/CONFIGURATION.md lists the fields.
                required file: PathBuf
                /// Only print which proxies it would reach and what would change there.
                optional --dry-run
                /// Wait until every proxy runs it; on a timeout list the late ones and exit with 1.
                optional --wait
                /// Time limit of --wait in seconds; defaults to 30.
                optional --seconds seconds: u64
            }
            /// Withdraw a configuration.
            cmd withdraw {
                required id: String
                /// Only print which proxies would lose the configuration.
                optional --dry-run
                /// Wait until every proxy has dropped the configuration.
                optional --wait
                /// Time limit of --wait in seconds; defaults to 30.
                optional --seconds seconds: u64
            }
            /// List configurations with their labels.
            cmd list {}
            /// Print a configuration.
            cmd show {
                required id: String
            }
        }
    }
}

/// `cicadashift selector`.
pub mod selector {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Change and show selectors.
        cmd selector {
            /// Address of the platform's service; may be repeated.
            repeated --platform addr: SocketAddr
            /// Upstream port of a daemon to query; may be repeated.
            repeated --daemon addr: SocketAddr
            /// Write JSON.
            optional --json

            /// Set a selector; it replaces the one with the same name, if any.
            cmd set {
                /// The selector in JSON; docs/CONFIGURATION.md lists the fields.
                required file: PathBuf
                /// Only print which proxies would change.
                optional --dry-run
            }
            /// Remove a selector.
            cmd remove {
                required name: String
            }
            /// List selectors.
            cmd list {}
        }
    }
}

/// `cicadashift label`.
pub mod label {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Change and show the labels that operators set on top of those in the settings.
        cmd label {
            /// Address of the platform's service; may be repeated.
            repeated --platform addr: SocketAddr
            /// Upstream port of a daemon to query; may be repeated.
            repeated --daemon addr: SocketAddr
            /// Write JSON.
            optional --json

            /// Set labels of a proxy, as KEY=VALUE.
            cmd set {
                required host: String
                repeated labels: String
            }
            /// Remove labels of a proxy, by key.
            cmd remove {
                required host: String
                repeated keys: String
            }
            /// List the labels that operators have set.
            cmd list {}
        }
    }
}
