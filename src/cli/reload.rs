//! Reloads the settings while the daemon runs.

use crate::logging;
use crate::settings::Settings;
use cicadashift_http::reactor::Timer;
use flexi_logger::LoggerHandle;
use smol::channel::{Receiver, Sender};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Interval at which the modification time of the file is checked. The file may change
/// without a signal, and an operator who changed it waits for the effect.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings file again and passes changed settings on to the daemon.
pub struct Reloader {
    file: PathBuf,
    current: Mutex<Settings>,
    log: LoggerHandle,
    tx: Sender<Settings>,
    rx: Receiver<Settings>,
}

impl Reloader {
    /// Creates a reloader; `settings` are those that the daemon was started with.
    pub fn new(file: &Path, settings: Settings, log: LoggerHandle) -> Reloader {
        let (tx, rx) = smol::channel::unbounded();
        Reloader { file: file.to_path_buf(), current: Mutex::new(settings), log, tx, rx }
    }

    /// Returns the channel on which changed settings arrive.
    pub fn changes(&self) -> Receiver<Settings> {
        self.rx.clone()
    }

    /// Reads the file; if it is invalid, the previous settings stay in force.
    pub fn reload(&self, trigger: &str) {
        let settings = match Settings::read(&self.file) {
            Ok(settings) => settings,
            Err(err) => return log::error!("reload ({trigger}): the old settings stay: {err}"),
        };
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if *current == settings {
            return log::info!("reload ({trigger}): nothing changed");
        }
        if current.log != settings.log {
            self.log.set_new_spec(logging::specification(&settings.log));
        }
        *current = settings.clone();
        let _receiver_gone = self.tx.try_send(settings);
        log::info!("reload ({trigger}): done");
    }
}

/// Reloads the settings each time the file has changed, until cancelled.
pub async fn watch(reloader: Arc<Reloader>) {
    let mut last_modified = modified_at(&reloader.file);
    loop {
        Timer::after(POLL_INTERVAL).await;
        let modified = modified_at(&reloader.file);
        if modified != last_modified && modified.is_some() {
            last_modified = modified;
            reloader.reload("file");
        }
    }
}

fn modified_at(file: &Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(file).and_then(|meta| meta.modified()).ok()
}
