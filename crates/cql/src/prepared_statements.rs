//! Prepared statements by the id that an endpoint assigned. A statement can be prepared again on an
//! endpoint that does not know its id.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use valehatch_net::lock;

/// Bytes that a remembered statement takes beside its text: its id and its entries.
const STATEMENT_OVERHEAD_BYTES: usize = 256;
/// Statements may take the front's memory divided by this.
const MEMORY_DIVISOR: usize = 32;

/// Statements prepared by clients. Memory is bounded by forgetting the oldest statement, which its
/// clients then have to prepare again.
pub struct PreparedStatements(Mutex<Statements>);

struct Statements {
    /// Maximum of `bytes`.
    max_bytes: usize,
    by_id: HashMap<Vec<u8>, Arc<str>>,
    /// Ids, oldest first.
    insertion_order: VecDeque<Vec<u8>>,
    /// Memory of all statements, in bytes.
    bytes: usize,
}

fn statement_bytes(statement: &str) -> usize {
    statement.len() + STATEMENT_OVERHEAD_BYTES
}

impl PreparedStatements {
    /// No statements yet, for a front that may use `memory` bytes.
    pub fn new(memory: usize) -> Self {
        Self(Mutex::new(Statements {
            max_bytes: memory / MEMORY_DIVISOR,
            by_id: HashMap::new(),
            insertion_order: VecDeque::new(),
            bytes: 0,
        }))
    }

    /// Returns the statement with this id, if it is remembered.
    pub fn get(&self, id: &[u8]) -> Option<Arc<str>> {
        lock(&self.0).by_id.get(id).cloned()
    }

    /// Remembers a statement under its id, and forgets the oldest ones while the bound is exceeded.
    pub fn insert(&self, id: &[u8], statement: &str) {
        let mut statements = lock(&self.0);
        statements.bytes += statement_bytes(statement);
        match statements.by_id.insert(id.to_vec(), Arc::from(statement)) {
            Some(replaced) => statements.bytes -= statement_bytes(&replaced),
            None => statements.insertion_order.push_back(id.to_vec()),
        }
        while statements.bytes > statements.max_bytes {
            let Some(forgotten) = statements.remove_oldest() else {
                break;
            };
            statements.bytes -= statement_bytes(&forgotten);
        }
    }
}

impl Statements {
    fn remove_oldest(&mut self) -> Option<Arc<str>> {
        let id = self.insertion_order.pop_front()?;
        self.by_id.remove(&id)
    }
}
