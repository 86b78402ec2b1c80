//! Reloads the settings file of a running node.

use std::{
    fmt, fs,
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use http::HeaderValue;
use slog::Logger;

use crate::{handle::NodeHandle, settings::Settings};

/// Interval at which the file is checked for changes, which may come without a signal.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The settings file of a running node. `load` parses the format that the deployment uses.
pub struct SettingsFile<L> {
    path: PathBuf,
    load: L,
    settings: Settings,
    modified: Option<SystemTime>,
    node: NodeHandle,
    log: Logger,
}

impl<L, E> SettingsFile<L>
where
    L: Fn(&Path) -> Result<Settings, E>,
    E: fmt::Display,
{
    /// Creates the watcher of a settings file from the settings with which the node was started.
    pub fn new(
        path: &Path,
        load: L,
        settings: Settings,
        node: NodeHandle,
        log: Logger,
    ) -> SettingsFile<L> {
        SettingsFile { path: path.into(), load, settings, modified: modified(path), node, log }
    }

    /// Reloads the file if its modification time has changed.
    pub fn reload_if_modified(&mut self) {
        if modified(&self.path) != self.modified {
            self.reload();
        }
    }

    /// Reloads the file and applies its limits and its service. An invalid file changes nothing. Addresses and the data
    /// centre belong to the instance, so changes to them need a restart to take effect.
    pub fn reload(&mut self) {
        self.modified = modified(&self.path);
        let settings = match (self.load)(&self.path) {
            Ok(settings) => settings,
            Err(error) => {
                slog::warn!(self.log, "reload-failed"; "error" => %error);
                return;
            }
        };
        if HeaderValue::from_str(&settings.service).is_err() {
            let service = settings.service.as_str();
            slog::warn!(self.log, "reload-failed"; "error" => "the service is not a header value",
                "service" => service);
            return;
        }
        let is_limits_changed = settings.limits != self.settings.limits;
        let is_service_changed = settings.service != self.settings.service;
        let needs_restart = !settings.has_same_place(&self.settings);
        slog::info!(self.log, "reload"; "service_changed" => is_service_changed,
            "limits_changed" => is_limits_changed, "needs_restart" => needs_restart);
        if is_limits_changed {
            self.node.set_limits(settings.limits);
        }
        if is_service_changed {
            self.node.set_service(settings.service.clone());
        }
        self.settings = settings;
    }
}

/// Returns the modification time of a file, or `None` if it is missing, for instance while it is being replaced.
fn modified(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|file| file.modified()).ok()
}
