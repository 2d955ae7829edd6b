//! The command line.
//!
//! Exit codes: 0 success, 1 refused or failed, 2 usage error. Results go to standard
//! output, errors to standard error. [`flags`] defines the grammar, [`client`] the
//! operators' commands.

pub mod client;
mod explain;
pub mod flags;
mod reload;

use crate::clock::SystemClock;
use crate::settings::Settings;
use crate::{daemon, logging};
use cicadashift_http::{exec, server};
use client::Client;
use flags::main::CicadashiftCmd;
use flexi_logger::LoggerHandle;
use reload::Reloader;
use std::ffi::OsString;
use std::path::Path;
use std::sync::Arc;

/// Exit code of a command that succeeded.
pub const SUCCESS: i32 = 0;
/// Exit code of a command that was refused or failed.
pub const FAILURE: i32 = 1;
/// Exit code for an invalid command line or invalid settings.
pub const USAGE_ERROR: i32 = 2;

/// Threads of the client; the daemon's number of threads is a setting.
const CLIENT_THREADS: usize = 1;

/// Runs a command line, given without the program's name; returns the exit code.
pub fn run(mut args: Vec<OsString>) -> i32 {
    let group = args.first().and_then(|arg| arg.to_str()).unwrap_or_default().to_string();
    let result = match group.as_str() {
        "config" => flags::config::Config::from_vec(args.split_off(1)).map(run_config),
        "selector" => flags::selector::Selector::from_vec(args.split_off(1)).map(run_selector),
        "label" => flags::label::Label::from_vec(args.split_off(1)).map(run_label),
        _ => flags::main::Cicadashift::from_vec(args).map(|flags| run_main(flags.subcommand)),
    };
    result.unwrap_or_else(|err| err.exit())
}

fn run_main(command: CicadashiftCmd) -> i32 {
    match command {
        CicadashiftCmd::Daemon(flags) => run_daemon(&flags.settings),
        CicadashiftCmd::Settings(flags) if flags.action == "check" => check_settings(&flags.file),
        CicadashiftCmd::Settings(flags) => {
            eprintln!(
                "error: unknown command `settings {}`; the only one is `settings check`",
                flags.action
            );
            USAGE_ERROR
        }
        CicadashiftCmd::Status(flags) => {
            with_client(Client::new(&[], &flags.daemon, flags.json), async |cx: &Client| {
                cx.status(flags.watch).await
            })
        }
        CicadashiftCmd::Record(flags) => {
            with_client(Client::new(&flags.platform, &[], flags.json), async |cx: &Client| {
                cx.record(flags.quarter.as_deref(), flags.html.as_deref()).await
            })
        }
        CicadashiftCmd::Quarantine(flags) => run_quarantine(flags),
        CicadashiftCmd::Organisation(flags) => run_organisation(flags),
        CicadashiftCmd::Rollouts(flags) => {
            with_client(Client::new(&[], &flags.daemon, flags.json), async |cx: &Client| {
                cx.rollouts().await
            })
        }
        CicadashiftCmd::Explain(flags) => match explain::explain(&flags.request, &flags.files) {
            Ok(report) => {
                print!("{report}");
                SUCCESS
            }
            Err(err) => {
                eprintln!("error: {err}");
                FAILURE
            }
        },
        // `run` handles these commands itself.
        CicadashiftCmd::Config(_) | CicadashiftCmd::Selector(_) | CicadashiftCmd::Label(_) => {
            USAGE_ERROR
        }
    }
}

fn run_quarantine(flags: flags::main::Quarantine) -> i32 {
    let cx = Client::new(&[], &flags.daemon, flags.json);
    match (flags.action.as_str(), flags.call) {
        ("list", None) => with_client(cx, async |cx: &Client| cx.list_quarantine().await),
        ("lift", Some(call)) => {
            with_client(cx, async |cx: &Client| cx.lift_quarantine(&call).await)
        }
        _ => {
            eprintln!("error: expected `quarantine list` or `quarantine lift CALL`");
            USAGE_ERROR
        }
    }
}

fn run_organisation(flags: flags::main::Organisation) -> i32 {
    let cx = Client::new(&[], &flags.daemon, flags.json);
    match (flags.action.as_str(), flags.name) {
        ("list", None) => with_client(cx, async |cx: &Client| cx.list_organisations().await),
        ("show", Some(name)) => {
            with_client(cx, async |cx: &Client| cx.show_organisation(&name).await)
        }
        _ => {
            eprintln!("error: expected `organisation list` or `organisation show NAME`");
            USAGE_ERROR
        }
    }
}

fn run_config(flags: flags::config::Config) -> i32 {
    use flags::config::ConfigCmd;
    let cx = Client::new(&flags.platform, &flags.daemon, flags.json);
    with_client(cx, async |cx: &Client| match &flags.subcommand {
        ConfigCmd::Accept(accept) => {
            cx.accept(&accept.file, accept.dry_run, wait_timeout(accept.wait, accept.seconds)).await
        }
        ConfigCmd::Withdraw(withdraw) => {
            let wait = wait_timeout(withdraw.wait, withdraw.seconds);
            cx.withdraw(&withdraw.id, withdraw.dry_run, wait).await
        }
        ConfigCmd::List(_) => cx.list_configs().await,
        ConfigCmd::Show(show) => cx.show_config(&show.id).await,
    })
}

fn run_selector(flags: flags::selector::Selector) -> i32 {
    use flags::selector::SelectorCmd;
    let cx = Client::new(&flags.platform, &flags.daemon, flags.json);
    with_client(cx, async |cx: &Client| match &flags.subcommand {
        SelectorCmd::Set(set) => cx.set_selector(&set.file, set.dry_run).await,
        SelectorCmd::Remove(remove) => cx.remove_selector(&remove.name).await,
        SelectorCmd::List(_) => cx.list_selectors().await,
    })
}

fn run_label(flags: flags::label::Label) -> i32 {
    use flags::label::LabelCmd;
    let cx = Client::new(&flags.platform, &flags.daemon, flags.json);
    with_client(cx, async |cx: &Client| match &flags.subcommand {
        LabelCmd::Set(set) => cx.set_labels(&set.host, &set.labels).await,
        LabelCmd::Remove(remove) => cx.remove_labels(&remove.host, &remove.keys).await,
        LabelCmd::List(_) => cx.list_labels().await,
    })
}

fn wait_timeout(wait: bool, seconds: Option<u64>) -> Option<std::time::Duration> {
    wait.then(|| std::time::Duration::from_secs(seconds.unwrap_or(client::DEFAULT_WAIT_SECONDS)))
}

fn with_client(
    cx: Result<Client, client::UsageError>,
    command: impl AsyncFnOnce(&Client) -> client::Result,
) -> i32 {
    match cx {
        Ok(cx) => cx.print(exec::run(CLIENT_THREADS, command(&cx))),
        Err(err) => {
            eprintln!("error: {err}");
            USAGE_ERROR
        }
    }
}

fn run_daemon(file: &Path) -> i32 {
    let settings = match Settings::read(file) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("error: {err}");
            return USAGE_ERROR;
        }
    };
    let handle = match logging::start(&settings.log) {
        Ok(handle) => handle,
        Err(err) => {
            eprintln!("error: cannot start logging: {err}");
            return FAILURE;
        }
    };
    let threads = settings.threads;
    // Boxed, since moving the daemon's future would leave several copies of it on the
    // stack: 236 KB that are never returned to the system.
    let daemon = Box::pin(run_until_signal(settings, file, &handle));
    let result = exec::run(threads, daemon);
    handle.flush();
    match result {
        Ok(()) => SUCCESS,
        Err(err) => {
            eprintln!("error: {err:#}");
            FAILURE
        }
    }
}

/// Runs a daemon until SIGTERM or SIGINT; a second such signal ends the process at once.
/// The settings are reloaded on SIGHUP and when their file changes.
async fn run_until_signal(settings: Settings, file: &Path, log: &LoggerHandle) -> eyre::Result<()> {
    use async_signal::{Signal, Signals};
    use smol::stream::StreamExt;
    let (stop, stopped) = server::stop_channel();
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let reloader = Arc::new(Reloader::new(file, settings.clone(), log.clone()));
    let file_watch = exec::spawn(reload::watch(reloader.clone()));
    let changes = reloader.changes();
    let signal_task = exec::spawn(async move {
        let mut stop = Some(stop);
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => reloader.reload("signal"),
                Ok(_) if stop.is_some() => stop = None,
                Ok(_) => std::process::exit(FAILURE),
                Err(err) => log::warn!("failed to receive a signal: {err}"),
            }
        }
    });
    let result = daemon::run(settings, Arc::new(SystemClock::new()), stopped, changes).await;
    signal_task.cancel().await;
    file_watch.cancel().await;
    result
}

fn check_settings(file: &Path) -> i32 {
    match Settings::read(file) {
        Ok(settings) => {
            println!("{}: valid settings for {}", file.display(), settings.host);
            SUCCESS
        }
        Err(err) => {
            eprintln!("error: {err}");
            USAGE_ERROR
        }
    }
}
