//! Endpoints that the operators' file names: reads the file again whenever it changes, and hands
//! the endpoints to the cores.
//!
//! One thread. State: when the file was last modified as of the last read.

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

/// How often the file is checked: well within the grace period that a draining endpoint has for
/// requests already on their way, which is some hundred milliseconds at least.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A front whose endpoints the file names.
pub struct ConfiguredEndpoints {
    /// The front's name in the file.
    pub front: Arc<str>,
    /// The front's core.
    pub events: Sender<Event>,
}

/// Hands the endpoints to the cores now, whenever the file changes, and when `reload_requested` is
/// set; then calls `on_reload` with what was read. All other settings stay as at the start. A file
/// that is not valid changes nothing.
///
/// # Errors
/// The machine has no thread for it.
pub fn watch(
    path: PathBuf,
    first: &OperatorConfig,
    fronts: Vec<ConfiguredEndpoints>,
    reload_requested: Arc<AtomicBool>,
    on_reload: impl Fn(OperatorConfig) + Send + 'static,
) -> io::Result<()> {
    send_endpoints(&fronts, first);
    spawn("file watch", move || {
        // The file may have changed since the caller has read it, so the first check reads it
        // again.
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
