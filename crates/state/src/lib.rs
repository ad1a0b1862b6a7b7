//! The state directory: the durable request log and counters, and the snapshot for the next start.
//!
//! Each core sends records of final answers through a bounded queue, and never waits for the disk.
//! A thread writes the records, makes them durable in batches, and then publishes the counters. The
//! length of the queue is a setting, a batch between two flushes holds at most 4,096 queue entries,
//! and latency quantiles are kept for 256 rows.
//!
//! | file | content |
//! | --- | --- |
//! | `requests-00000001.log` … | one line with a checksum for each final answer |
//! | `marks.log`, `marks.old` | counters changed by each batch since the newest checkpoint, and since the previous one |
//! | `checkpoint`, `checkpoint.old` | all counters, the number of program starts, the log position up to which they count |
//! | `snapshot`, `snapshot.new` | the snapshot for the next start, and the one being written |
//! | `recovery.json` | whether service has been complete again since the last start |
//! | `lock` | locked while a gateway uses the directory |
//!
//! | module | purpose |
//! | --- | --- |
//! | `directory` | files of the request log on a disk |
//! | `recorder` | sending end of the queue, one for each core |
//! | `writer` | thread that writes the request log and publishes the counters |
//! | [`snapshot`] | reading and replacing the snapshot file |

#![forbid(unsafe_code)]

mod directory;
mod recorder;
pub mod snapshot;
mod writer;

pub use directory::StateDirectory;
pub use recorder::Recorder;
pub use writer::{PublishedCounters, RecordWriter, start};
