//! The front of the Cassandra native protocol, version 4: the same core behind another wire.

#![forbid(unsafe_code)]
#![expect(missing_docs, reason = "not yet split and documented")]

pub mod clients;
pub mod codec;
pub mod exchange;
pub mod nodes;

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use valehatch_net::lock;

/// Statements that may be remembered, and bytes of them.
const MOST: usize = 10_000;
const BYTES: usize = 4 * 1024 * 1024;

/// Prepared statements by the id that a node gave them: any node can be told of them again.
#[derive(Default)]
pub struct Prepared(Mutex<Known>);

#[derive(Default)]
struct Known {
    statements: HashMap<Vec<u8>, Arc<str>>,
    order: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl Prepared {
    pub fn get(&self, id: &[u8]) -> Option<Arc<str>> {
        lock(&self.0).statements.get(id).cloned()
    }

    /// Memory is bounded by forgetting the oldest, which its clients then prepare anew.
    pub fn insert(&self, id: &[u8], statement: &str) {
        let mut held = lock(&self.0);
        held.bytes += statement.len();
        match held.statements.insert(id.to_vec(), Arc::from(statement)) {
            Some(old) => held.bytes -= old.len(),
            None => held.order.push_back(id.to_vec()),
        }
        while held.order.len() > MOST || held.bytes > BYTES {
            let oldest = held
                .order
                .pop_front()
                .and_then(|id| held.statements.remove(&id));
            let Some(oldest) = oldest else { break };
            held.bytes -= oldest.len();
        }
    }
}
