//! How far knowledge from before the start is trusted.
//!
//! Inputs are the kind, the source and the age of the knowledge; ages are spans in whole
//! microseconds. Pure functions, no state.

use valehatch_policy::Span;

/// Subject of the knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnowledgeKind {
    /// The listed endpoints with their states.
    EndpointList,
    /// An endpoint is draining or has left.
    Draining,
    /// An endpoint is the primary of its group.
    Primary,
    /// The replication position of an endpoint.
    ReplicationPosition,
    /// An endpoint has completed its slow start.
    WarmedUp,
    /// The addresses of the other gateways.
    Gateways,
}

/// Source of the knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnowledgeSource {
    /// The snapshot of this gateway itself.
    Snapshot,
    /// A datagram of another gateway.
    Peer,
}

/// How far knowledge is used; a higher level includes the lower ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TrustLevel {
    /// The knowledge is not used.
    Ignored,
    /// The knowledge determines what to try first; the result of that attempt is authoritative.
    Hint,
    /// The knowledge is acted on until newer knowledge replaces it.
    Trusted,
}

/// Maximum age of an endpoint list. The addresses in an older list may have been reassigned to
/// other machines.
pub const MAX_LIST_AGE: Span = Span::from_millis(15 * 60_000);
/// Maximum age of a known primary. An older one does not shorten the search for the primary.
pub const MAX_PRIMARY_AGE: Span = Span::from_millis(60_000);
/// Maximum age of the list of gateways. Longer than the other maximum ages, since contacting a
/// gateway that no longer exists costs only one datagram.
pub const MAX_GATEWAYS_AGE: Span = Span::from_millis(24 * 3_600_000);

/// Returns how far knowledge is trusted. An `age` of `None` is unknown, for example because the
/// wall clock is behind the time of the record. Knowledge of unknown or negative age is never used.
#[must_use]
pub fn trust(kind: KnowledgeKind, source: KnowledgeSource, age: Option<Span>) -> TrustLevel {
    let Some(age) = age.filter(|age| *age >= Span(0)) else {
        return TrustLevel::Ignored;
    };
    let up_to = |max_age: Span, level: TrustLevel| {
        if age <= max_age {
            level
        } else {
            TrustLevel::Ignored
        }
    };
    match (kind, source) {
        // The cached list stays in use while discovery does not answer. A list from another gateway
        // is only a hint, since that gateway may belong to another deployment.
        (KnowledgeKind::EndpointList, KnowledgeSource::Snapshot) => {
            up_to(MAX_LIST_AGE, TrustLevel::Trusted)
        }
        (KnowledgeKind::EndpointList, KnowledgeSource::Peer) => {
            up_to(MAX_LIST_AGE, TrustLevel::Hint)
        }
        // If this knowledge is wrong, an endpoint is not used, which is the safer error.
        (KnowledgeKind::Draining, _) => up_to(MAX_LIST_AGE, TrustLevel::Trusted),
        // A hint suffices from either source: the endpoint's own answer proves that it is the
        // primary.
        (KnowledgeKind::Primary, _) => up_to(MAX_PRIMARY_AGE, TrustLevel::Hint),
        // A position never goes back while the same database process runs. The user of the hint
        // must check that the process is still the same.
        (KnowledgeKind::ReplicationPosition, KnowledgeSource::Snapshot) => {
            up_to(MAX_LIST_AGE, TrustLevel::Hint)
        }
        (KnowledgeKind::ReplicationPosition, KnowledgeSource::Peer) => TrustLevel::Ignored,
        // The endpoint may have restarted in the meantime, so only current observations count.
        (KnowledgeKind::WarmedUp, _) => TrustLevel::Ignored,
        (KnowledgeKind::Gateways, _) => up_to(MAX_GATEWAYS_AGE, TrustLevel::Hint),
    }
}
