//! Members that the operators' file names: a change of the file is taken as it comes.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, SystemTime};

use crossbeam_channel::Sender;
use tracing::{info, warn};
use valehatch_config::operators::{EndpointSource, OperatorConfig, StaticEndpoint};
use valehatch_core::{Event, ListedEndpoint};

/// How often the file is looked at: well within the grace that a drain leaves.
const LOOK: Duration = Duration::from_millis(100);

fn list(members: &[StaticEndpoint]) -> Event {
    let member = |m: &StaticEndpoint| ListedEndpoint {
        entry: m.record.clone(),
        name: Arc::clone(&m.name),
        address: Arc::from(m.address.to_string()),
    };
    Event::EndpointList {
        complete: true,
        members: members.iter().map(member).collect(),
    }
}

/// A front whose members the file names.
pub struct ConfiguredEndpoints {
    /// Its name in the file.
    pub front: Arc<str>,
    /// Its core.
    pub events: Sender<Event>,
}

/// Tells the cores of their members, now, whenever the file changes and when `again` is set, and hands on what the file
/// says then. All else that a front is made of stays as at the start; a file that is no good changes nothing.
pub fn watch(
    path: PathBuf,
    first: &OperatorConfig,
    fronts: Vec<ConfiguredEndpoints>,
    again: Arc<AtomicBool>,
    reread: impl Fn(OperatorConfig) + Send + 'static,
) -> std::io::Result<()> {
    let tell = move |read: &OperatorConfig| {
        for named in &fronts {
            let found = read.fronts.iter().find(|f| f.name == named.front);
            match found.map(|f| &f.endpoints) {
                Some(EndpointSource::Static(members)) => drop(named.events.send(list(members))),
                Some(EndpointSource::Discovery(_)) => {}
                None => {
                    warn!(
                        front = &*named.front,
                        "the front is no longer in the file; it goes on as it was"
                    )
                }
            }
        }
    };
    tell(first);
    let stamp = |path: &PathBuf| std::fs::metadata(path).and_then(|m| m.modified()).ok();
    // The file may have changed since it was read: the first look reads it once more.
    let mut seen: Option<SystemTime> = None;
    crate::spawn("members", move || {
        loop {
            sleep(LOOK);
            let now = stamp(&path);
            if !again.swap(false, Ordering::Relaxed) && (now.is_none() || now == seen) {
                continue;
            }
            seen = now;
            match OperatorConfig::load(&path) {
                Ok(read) => {
                    tell(&read);
                    reread(read);
                    info!("members were read again");
                }
                Err(e) => warn!("members and all else stay as they were: {e}"),
            }
        }
    })
}
