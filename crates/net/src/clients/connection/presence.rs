//! How the gateway knows that a client is still connected.
//!
//! An attempt has to begin no later than [`LATEST_ATTEMPT_AFTER_CLOSE`] after its client has closed. The
//! core is told of a close once it is found here; it does not ask before an attempt. The end of a client's input says that it has left, but stands
//! behind the bytes that it has sent before; while its requests cannot be handled, nobody reads them. So
//! the absence of an end is no evidence. Evidence is, on any protocol:
//!
//! | evidence | why |
//! | --- | --- |
//! | all input that has arrived was read | the end would have been among it |
//! | something was written, and no reset has come since | the kernel of a closed client resets |
//! | a write waits for the client to read | a client that closes with unread bytes resets |
//!
//! While a connection is stalled, and its input was last read to the end more than [`EVIDENCE_TIMEOUT`] ago,
//! it is read ahead, which also says when the requests behind have arrived. If there is no memory for
//! that, nor other evidence, a message is written to the client: a liveness probe, or, if the protocol
//! has none, the rejection of the request that has waited longest.
//!
//! A half-close counts as a close once it is reached. Behind more bytes than there is memory for it is
//! not reached, and its client, which still reads, is served meanwhile.

use std::sync::Arc;

use valehatch_policy::{Span, Time};

use super::{ClientConnection, ConnectionState};

/// How long after its client has closed an attempt may begin.
pub(in crate::clients) const LATEST_ATTEMPT_AFTER_CLOSE: Span = Span::from_millis(100);
/// How long evidence counts. What is older is renewed with the next check of timeouts.
pub(in crate::clients) const EVIDENCE_TIMEOUT: Span = Span::from_millis(20);

/// When the client was last known to be connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::clients) struct PresenceEvidence {
    input_read_at: Time,
    written_at: Time,
}

impl PresenceEvidence {
    pub(in crate::clients) const fn new(now: Time) -> Self {
        Self {
            input_read_at: now,
            written_at: now,
        }
    }

    /// Whether the input was read to its end a short time ago.
    fn is_input_read(self, now: Time) -> bool {
        now <= self.input_read_at + EVIDENCE_TIMEOUT
    }

    fn is_recent(self, now: Time) -> bool {
        self.is_input_read(now) || now <= self.written_at + EVIDENCE_TIMEOUT
    }
}

impl ConnectionState {
    /// Records that responses or a probe were written completely.
    pub(in crate::clients) fn confirm_presence_by_write(&mut self, now: Time) {
        self.presence_evidence.written_at = now;
        self.rejects_request = false;
    }
}

impl ClientConnection {
    /// Has the input of a stalled connection read ahead, unless it was read to its end a short time ago
    /// or its client is slow to read.
    pub(in crate::clients) fn check_presence_if_stalled(&self, now: Time) {
        let mut state = self.state();
        if !state.waits_for_written_response
            || state.presence_evidence.is_input_read(now)
            || self.write_queue.is_writing()
        {
            return;
        }
        state.waits_for_written_response = false;
        state.reads_ahead = true;
        drop(state);
        self.wake();
    }

    fn is_presence_known(&self, state: &ConnectionState, now: Time) -> bool {
        state.presence_evidence.is_recent(now) || self.write_queue.is_writing()
    }

    /// Whether input that cannot be handled is to be read nevertheless.
    pub(in crate::clients) fn reads_ahead(&self) -> bool {
        self.state().reads_ahead
    }

    /// Records that all input that has arrived was read; returns when.
    pub(in crate::clients) fn confirm_presence_by_read(&self) -> Time {
        let now = self.clock.now();
        self.state().presence_evidence.input_read_at = now;
        now
    }

    /// Ends reading ahead, for which there is no memory. Has something written to the client unless it is
    /// known to be connected: a probe, or the rejection of the next request.
    pub(in crate::clients) fn confirm_presence_without_reading(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut state = self.state();
        state.reads_ahead = false;
        if self.is_presence_known(&state, now) {
            return;
        }
        let probe = self.handler.liveness_probe();
        state.rejects_request = probe.is_empty();
        drop(state);
        if !probe.is_empty() {
            self.send_probe(probe);
        }
    }

    /// Whether the next request is to be rejected, so that something is written to the client.
    pub(in crate::clients) fn rejects_request(&self) -> bool {
        self.state().rejects_request
    }
}
