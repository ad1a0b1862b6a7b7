//! In-memory storage that fails like a disk, and records to write to it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use valehatch_request_log::*;

/// In-memory storage. After a limited number of writing calls it fails: the first failing call may
/// do half of its work, further calls do nothing.
#[derive(Clone, Default)]
pub(crate) struct Memory(pub Arc<Mutex<Inner>>);

#[derive(Default)]
pub(crate) struct Inner {
    pub files: BTreeMap<String, Vec<u8>>,
    /// Number of further calls that succeed; `None` if all do.
    remaining_calls: Option<usize>,
    /// Whether the first failing call does half of its work.
    partial: bool,
}

impl Memory {
    pub(crate) fn limit(&self, remaining_calls: Option<usize>, partial: bool) {
        let mut inner = self.0.lock().unwrap();
        (inner.remaining_calls, inner.partial) = (remaining_calls, partial);
    }

    fn call(&self, work: impl FnOnce(&mut BTreeMap<String, Vec<u8>>, bool)) -> io::Result<()> {
        let mut inner = self.0.lock().unwrap();
        match inner.remaining_calls {
            Some(0) => {
                if std::mem::take(&mut inner.partial) {
                    work(&mut inner.files, true);
                }
                return Err(io::Error::other("no space is left"));
            }
            Some(n) => inner.remaining_calls = Some(n - 1),
            None => {}
        }
        work(&mut inner.files, false);
        Ok(())
    }
}

impl LogStorage for Memory {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.lock().unwrap().files.keys().cloned().collect())
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0
            .lock()
            .unwrap()
            .files
            .get(name)
            .cloned()
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let written = |partial| {
            &bytes[..if partial {
                bytes.len() / 2
            } else {
                bytes.len()
            }]
        };
        self.call(|files, partial| drop(files.insert(name.into(), written(partial).to_vec())))
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let written = |partial| {
            &bytes[..if partial {
                bytes.len() / 2
            } else {
                bytes.len()
            }]
        };
        self.call(|files, partial| {
            files
                .entry(name.into())
                .or_default()
                .extend_from_slice(written(partial))
        })
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let length = usize::try_from(length).unwrap();
        self.call(|files, _| files.entry(name.into()).or_default().truncate(length))
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if !self.0.lock().unwrap().files.contains_key(from) {
            return Err(io::ErrorKind::NotFound.into());
        }
        // A rename is atomic: a call that does half of its work does nothing.
        self.call(|files, partial| {
            if let (false, Some(bytes)) = (partial, files.get(from).cloned()) {
                files.remove(from);
                files.insert(to.into(), bytes);
            }
        })
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.call(|files, _| drop(files.remove(name)))
    }
    fn sync(&mut self) -> io::Result<()> {
        self.call(|_, _| ())
    }
}

pub(crate) fn record(n: u64) -> RequestRecord {
    let (class, outcome) = match n % 5 {
        0 => ("write", FinalOutcome::Rejected(RejectionReason::NeverSent)),
        1 => ("write", FinalOutcome::Late),
        _ => ("read", FinalOutcome::InTime),
    };
    RequestRecord {
        front: "a".into(),
        class: class.into(),
        tenant: None,
        group: 0,
        outcome,
        attempts: vec![AttemptRecord {
            endpoint: "m".into(),
            outcome: AttemptOutcome::Ok,
            duration_us: n,
        }],
        queued_us: 0,
        total_us: n,
    }
}

pub(crate) const SIZES: SegmentLimits = SegmentLimits {
    segment_bytes: 2000,
    segments: 2,
};
