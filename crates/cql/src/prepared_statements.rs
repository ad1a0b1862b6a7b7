//! Prepared statements by the id that an endpoint assigned. A statement can be prepared again on an
//! endpoint that does not know its id.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use valehatch_net::lock;

/// Maximum of remembered statements.
const MAX_STATEMENTS: usize = 10_000;
/// Maximum total length of remembered statements, in bytes.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Statements prepared by clients. Memory is bounded by forgetting the oldest statement, which its
/// clients then have to prepare again.
#[derive(Default)]
pub struct PreparedStatements(Mutex<Statements>);

#[derive(Default)]
struct Statements {
    by_id: HashMap<Vec<u8>, Arc<str>>,
    /// Ids, oldest first.
    insertion_order: VecDeque<Vec<u8>>,
    /// Total length of all statements, in bytes.
    bytes: usize,
}

impl PreparedStatements {
    /// Returns the statement with this id, if it is remembered.
    pub fn get(&self, id: &[u8]) -> Option<Arc<str>> {
        lock(&self.0).by_id.get(id).cloned()
    }

    /// Remembers a statement under its id, and forgets the oldest ones while the bounds are
    /// exceeded.
    pub fn insert(&self, id: &[u8], statement: &str) {
        let mut statements = lock(&self.0);
        statements.bytes += statement.len();
        match statements.by_id.insert(id.to_vec(), Arc::from(statement)) {
            Some(replaced) => statements.bytes -= replaced.len(),
            None => statements.insertion_order.push_back(id.to_vec()),
        }
        while statements.exceed_bounds() {
            let Some(forgotten) = statements.remove_oldest() else {
                break;
            };
            statements.bytes -= forgotten.len();
        }
    }
}

impl Statements {
    fn exceed_bounds(&self) -> bool {
        self.insertion_order.len() > MAX_STATEMENTS || self.bytes > MAX_BYTES
    }

    fn remove_oldest(&mut self) -> Option<Arc<str>> {
        let id = self.insertion_order.pop_front()?;
        self.by_id.remove(&id)
    }
}
