//! The request log and the counters that outlive the process. The core hands each record to a bounded queue and never
//! waits; a thread of its own writes them, makes them durable in batches, and only then shows what they come to.
//!
//! | file in the folder | holds |
//! | --- | --- |
//! | `requests-00000001.log` … | one sealed line for each final answer |
//! | `marks.log`, `marks.old` | the counters that each batch touched, since the newest checkpoint and the one before |
//! | `checkpoint`, `checkpoint.old` | all counters, the starts of the program, and the place in the log they count up to |
//! | `snapshot`, `snapshot.new` | what the next start begins with, and the one that is being written |
//! | `recovery.json` | whether service is whole again since the last start |
//! | `lock` | held while a gateway uses the folder |

#![forbid(unsafe_code)]

mod folder;
mod recorder;
pub mod snapshot;

pub use folder::StateDirectory;
pub use recorder::{Entry, PublishedCounters, RecordWriter, Recorder, start};
