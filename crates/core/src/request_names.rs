//! Names of requests that are not accepted again: those of open requests, and those of requests that
//! have ended and may have run. A client that has left, or has moved to the other process of a hot
//! restart, may send the same request again.
//!
//! Only requests that must not run twice are remembered. State: the names, bounded by number and by
//! age.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use valehatch_policy::{Idempotency, PeerProcess, RequestId, Span, Time};

use crate::messages::Effect;
use crate::reducer::State;
use crate::requests::PendingRequest;

/// Maximum number of ended requests whose names are remembered.
const MAX_ENDED: usize = 4_096;
/// How long the name of an ended request is remembered: several times the longest deadline.
const RETENTION: Span = Span::from_millis(15_000);

/// The name of a request that has ended and may have run.
#[derive(Debug)]
struct EndedRequest {
    name: Arc<str>,
    ended: Time,
}

/// Names that are in use.
#[derive(Debug, Default)]
pub(crate) struct RequestNames {
    open: BTreeSet<Arc<str>>,
    /// Names of ended requests.
    ended: BTreeSet<Arc<str>>,
    /// The same, in the order in which they ended.
    ended_in_order: VecDeque<EndedRequest>,
}

impl RequestNames {
    /// Whether a request with this name must not be accepted.
    pub(crate) fn is_in_use(&self, name: &Arc<str>) -> bool {
        self.open.contains(name) || self.ended.contains(name)
    }

    /// Adds the name of an open request.
    pub(crate) fn open(&mut self, name: Arc<str>) {
        self.open.insert(name);
    }

    /// Removes the name of a request that has ended and did not run, or may run again.
    pub(crate) fn close(&mut self, name: &Arc<str>) {
        self.open.remove(name);
    }

    /// Remembers the name of a request that may have run, here or in the other process of a hot
    /// restart.
    pub(crate) fn remember(&mut self, name: Arc<str>, now: Time) {
        if self.ended.insert(Arc::clone(&name)) {
            self.ended_in_order
                .push_back(EndedRequest { name, ended: now });
        }
        self.forget_old(now);
    }

    /// Forgets names that are too old, and the oldest of too many.
    pub(crate) fn forget_old(&mut self, now: Time) {
        while let Some(oldest) = self.ended_in_order.front()
            && (self.ended_in_order.len() > MAX_ENDED || oldest.ended + RETENTION < now)
        {
            self.ended.remove(&oldest.name);
            self.ended_in_order.pop_front();
        }
    }

    /// Names of ended requests that may have run, the oldest first.
    pub(crate) fn ended(&self) -> impl Iterator<Item = &Arc<str>> {
        self.ended_in_order.iter().map(|ended| &ended.name)
    }
}

impl State {
    /// The name of a request that may have run stays in use, unless the request may run twice: its
    /// client may send it again on another connection.
    pub(crate) fn close_name(&mut self, now: Time, id: RequestId, request: &PendingRequest) {
        let Some(name) = &request.name else {
            return;
        };
        self.names.close(name);
        let was_written = !self.connections_of(id).is_empty();
        let may_have_run = was_written || request.may_have_run_since.is_some();
        if may_have_run && !self.may_run_twice(request.class) {
            self.names.remember(Arc::clone(name), now);
        }
    }

    fn may_run_twice(&self, class: usize) -> bool {
        self.config.settings.classes[class].idempotency == Idempotency::Idempotent
    }

    /// Shares the name of a request that is about to be sent and must not run twice with the other
    /// process of a hot restart.
    pub(crate) fn share_name(&self, id: RequestId, effects: &mut Vec<Effect>) {
        if self.peer_process == PeerProcess::Gone {
            return;
        }
        let request = self.requests.get(&id);
        let shared = request.filter(|request| !self.may_run_twice(request.class));
        if let Some(name) = shared.and_then(|request| request.name.clone()) {
            effects.push(Effect::ShareRequestNames(vec![name]));
        }
    }

    /// Shares all names with another process that begins to serve.
    pub(crate) fn on_peer_process(&mut self, peer: PeerProcess, effects: &mut Vec<Effect>) {
        let before = std::mem::replace(&mut self.peer_process, peer);
        if before == peer || peer == PeerProcess::Gone {
            return;
        }
        let sent = self
            .requests
            .values()
            .filter(|request| request.attempts > 0 && !self.may_run_twice(request.class));
        let open = sent.filter_map(|request| request.name.clone());
        let names: Vec<_> = open.chain(self.names.ended().cloned()).collect();
        if !names.is_empty() {
            effects.push(Effect::ShareRequestNames(names));
        }
    }

    /// Requests that the other process of a hot restart has sent are not accepted here.
    pub(crate) fn on_peer_request_names(&mut self, now: Time, names: Vec<Arc<str>>) {
        for name in names {
            self.names.remember(name, now);
        }
    }
}
