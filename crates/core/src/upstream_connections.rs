//! Connections to upstream endpoints, in use and idle.

use crate::prelude::*;

/// How often idle connections are looked over.
pub(crate) const SWEEP: Span = Span::from_millis(250);
/// The part of the time a server lets a connection stand idle after which it is no longer used, in tenths:
/// a gateway of many meets a member less than once in that time, and each new connection costs the member work.
pub(crate) const IDLE_TENTHS: i64 = 8;

#[derive(Clone, Copy)]
pub(crate) enum Use {
    Idle(Time),
    Attempt(RequestId, u32, Time),
    Probe(Time),
}

pub(crate) struct Conn {
    pub(crate) endpoint: EndpointId,
    pub(crate) used: Use,
    /// When what it carries is over.
    pub(crate) until: Time,
    /// Of the attempt that it carries.
    pub(crate) permit: Option<SendPermit>,
}

impl State {
    /// What it means that there is no connection to a node: it is not listed, or this machine has none to give.
    pub(crate) fn no_connection(&self, endpoint: EndpointId) -> Outcome {
        if self.members.contains_key(&endpoint) {
            Outcome::LocalFailure
        } else {
            Outcome::ConnectFailed
        }
    }

    /// The connection to a node that was used last, or a new one while the budget of descriptors lasts.
    pub(crate) fn take_conn(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        used: Use,
        effects: &mut Vec<Effect>,
    ) -> Option<ConnectionId> {
        let address = Arc::clone(&self.members.get(&endpoint)?.1);
        let oldest = now - self.facts.idle();
        let last = self
            .idle
            .get(&endpoint)
            .and_then(|s| s.last().copied())
            .filter(|(at, _)| *at >= oldest);
        let id = match last {
            Some(last) => {
                self.idle.entry(endpoint).or_default().remove(&last);
                last.1
            }
            None => {
                if self.conns.len() >= self.facts.upstream_connection_limit {
                    let oldest = self.idle.values().filter_map(BTreeSet::first).min();
                    let Some((_, spare)) = oldest.copied() else {
                        effects.push(Effect::Log(LogEvent::UpstreamConnectionsExhausted(
                            self.conns.len(),
                        )));
                        return None;
                    };
                    self.close(spare, effects);
                }
                self.next_conn += 1;
                let id = ConnectionId(self.next_conn);
                effects.push(Effect::Connect {
                    connection: id,
                    address,
                });
                id
            }
        };
        self.conns.insert(
            id,
            Conn {
                endpoint,
                used,
                until: Time(i64::MAX),
                permit: None,
            },
        );
        Some(id)
    }

    pub(crate) fn wait_until(&mut self, connection: ConnectionId, until: Time) {
        self.conns
            .get_mut(&connection)
            .into_iter()
            .for_each(|c| c.until = until);
        self.due.insert((until, Due::Attempt(connection)));
    }

    pub(crate) fn close(&mut self, connection: ConnectionId, effects: &mut Vec<Effect>) {
        let Some(closed) = self.conns.remove(&connection) else {
            return;
        };
        if let Use::Idle(at) = closed.used
            && let Some(idle) = self.idle.get_mut(&closed.endpoint)
        {
            idle.remove(&(at, connection));
            if idle.is_empty() {
                self.idle.remove(&closed.endpoint);
            }
        }
        effects.push(Effect::CloseUpstream(connection));
    }

    pub(crate) fn close_idle(&mut self, endpoint: EndpointId, effects: &mut Vec<Effect>) {
        for (_, connection) in self.idle.get(&endpoint).cloned().unwrap_or_default() {
            self.close(connection, effects);
        }
    }
}

impl CoreConfig {
    /// How long a connection to a server may stand idle here: well below what the server allows.
    pub(crate) fn idle(&self) -> Span {
        Span(self.settings.limits.idle_connection_timeout.0 / 10 * IDLE_TENTHS)
    }
}
