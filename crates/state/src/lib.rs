//! The state directory: the durable request log and counters, and the snapshot for the next start.
//!
//! Input: records of final answers from each core, through a bounded queue; a core never waits for
//! the disk. A thread writes them, makes them durable in batches, and then publishes the counters.
//! Bounds: the queue's length is a setting, a batch holds at most 4,096 queue entries between two
//! flushes, and latency quantiles are kept for 256 rows.
//!
//! | file in the directory | content |
//! | --- | --- |
//! | `requests-00000001.log` … | one line with a checksum for each final answer |
//! | `marks.log`, `marks.old` | the counters that each batch changed, since the newest checkpoint and the one before |
//! | `checkpoint`, `checkpoint.old` | all counters, the starts of the program, the position in the log they count up to |
//! | `snapshot`, `snapshot.new` | what the next start begins with, and the one that is being written |
//! | `recovery.json` | whether service is complete again since the last start |
//! | `lock` | locked while a gateway uses the directory |
//!
//! | module | job |
//! | --- | --- |
//! | `directory` | the files of the request log on a disk |
//! | `recorder` | a core's end of the queue |
//! | `writer` | the thread that writes the request log and publishes the counters |
//! | [`snapshot`] | the snapshot's file |

#![forbid(unsafe_code)]

mod directory;
mod recorder;
pub mod snapshot;
mod writer;

pub use directory::StateDirectory;
pub use recorder::Recorder;
pub use writer::{PublishedCounters, RecordWriter, start};
