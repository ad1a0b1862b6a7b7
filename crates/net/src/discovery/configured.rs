//! Endpoints that the operators' configuration file names: reloads the file whenever it changes,
//! and sends the endpoints to the cores.
//!
//! Runs one thread. State: the file's modification time at the last read.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, SystemTime};

use crossbeam_channel::Sender;
use tracing::{info, warn};
use valehatch_config::operators::{EndpointSource, OperatorConfig, StaticEndpoint};
use valehatch_core::{Event, ListedEndpoint};

use crate::spawn;

/// How often the file is checked. Well within the grace period that a draining endpoint has for
/// requests already on their way, which is at least some hundred milliseconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A front whose endpoints the configuration file names.
pub struct ConfiguredEndpoints {
    /// The front's name in the file.
    pub front: Arc<str>,
    /// Sends the endpoints to the front's core.
    pub events: Sender<Event>,
}

/// Sends the endpoints to the cores now, whenever the file changes, and when `reload_requested` is
/// set; each reloaded configuration is then passed to `on_reload`. All other settings stay as they
/// were at the start. An invalid file changes nothing.
///
/// # Errors
/// Returns an error if the thread cannot be started.
pub fn watch(
    path: PathBuf,
    first: &OperatorConfig,
    fronts: Vec<ConfiguredEndpoints>,
    reload_requested: Arc<AtomicBool>,
    on_reload: impl Fn(OperatorConfig) + Send + 'static,
) -> io::Result<()> {
    send_endpoints(&fronts, first);
    spawn("file watch", move || {
        // The file may have changed since the caller read it, so the first check reads it again.
        let mut last_modified: Option<SystemTime> = None;
        loop {
            sleep(CHECK_INTERVAL);
            let modified = modified_at(&path);
            let changed = modified.is_some() && modified != last_modified;
            if !reload_requested.swap(false, Ordering::Relaxed) && !changed {
                continue;
            }
            last_modified = modified;
            match OperatorConfig::load(&path) {
                Ok(read) => {
                    send_endpoints(&fronts, &read);
                    on_reload(read);
                    info!("configuration file read again");
                }
                Err(e) => warn!(error = %e, "reload failed, keeping the configuration"),
            }
        }
    })
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|metadata| metadata.modified())
        .ok()
}

fn send_endpoints(fronts: &[ConfiguredEndpoints], read: &OperatorConfig) {
    for configured in fronts {
        let front = read.fronts.iter().find(|f| f.name == configured.front);
        match front.map(|front| &front.endpoints) {
            Some(EndpointSource::Static(endpoints)) => {
                let _ = configured.events.send(endpoint_list(endpoints));
            }
            Some(EndpointSource::Discovery(_)) => {}
            None => warn!(
                front = &*configured.front,
                "the file no longer names the front, keeping its endpoints"
            ),
        }
    }
}

fn endpoint_list(endpoints: &[StaticEndpoint]) -> Event {
    let listed = |endpoint: &StaticEndpoint| ListedEndpoint {
        record: endpoint.record.clone(),
        name: Arc::clone(&endpoint.name),
        address: Arc::from(endpoint.address.to_string()),
    };
    Event::EndpointList {
        complete: true,
        endpoints: endpoints.iter().map(listed).collect(),
    }
}
