//! Connections from clients.

use crate::prelude::*;

#[derive(Default)]
pub(crate) struct Client {
    pub(crate) open: BTreeSet<RequestId>,
}
