//! Reading the settings again while the daemon runs.

use crate::logging;
use crate::settings::Settings;
use flexi_logger::LoggerHandle;
use smol::channel::{Receiver, Sender};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Time between two looks at the file: it may change without a signal, and an
/// operator who changed it waits for the effect.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Reads the settings again and hands on what changed.
pub struct Reloader {
    file: PathBuf,
    current: Mutex<Settings>,
    log: LoggerHandle,
    tx: Sender<Settings>,
    rx: Receiver<Settings>,
}

impl Reloader {
    /// Begins with the settings that the daemon was started with.
    pub fn new(file: &Path, settings: Settings, log: LoggerHandle) -> Reloader {
        let (tx, rx) = smol::channel::unbounded();
        Reloader { file: file.to_path_buf(), current: Mutex::new(settings), log, tx, rx }
    }

    /// Returns where changed settings arrive.
    pub fn changes(&self) -> Receiver<Settings> {
        self.rx.clone()
    }

    /// Reads the file; bad settings leave the old ones in force.
    pub fn reload(&self, why: &str) {
        let settings = match Settings::read(&self.file) {
            Ok(settings) => settings,
            Err(err) => return log::error!("reload ({why}): the old settings stay: {err}"),
        };
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if *current == settings {
            return log::info!("reload ({why}): nothing changed");
        }
        if current.log != settings.log {
            self.log.set_new_spec(logging::specification(&settings.log));
        }
        *current = settings.clone();
        let _daemon_ends = self.tx.try_send(settings);
        log::info!("reload ({why}): done");
    }
}

/// Reloads when the file has changed, until cancelled.
pub async fn watch(reloader: Arc<Reloader>) {
    let mut seen = modified(&reloader.file);
    loop {
        smol::Timer::after(LOOK_EVERY).await;
        let now = modified(&reloader.file);
        if now != seen && now.is_some() {
            seen = now;
            reloader.reload("file");
        }
    }
}

fn modified(file: &Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(file).and_then(|meta| meta.modified()).ok()
}
