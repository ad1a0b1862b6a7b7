//! How far knowledge is trusted that was not learned since the start.
//!
//! Inputs are its kind, its source and its age; ages are spans in whole microseconds. Pure
//! functions, no state.

use valehatch_policy::Span;

/// What the knowledge is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnowledgeKind {
    /// Which endpoints there are, with their states.
    EndpointList,
    /// That an endpoint drains or has left.
    Draining,
    /// Which endpoint is a group's primary.
    Primary,
    /// An endpoint's replication position.
    ReplicationPosition,
    /// That an endpoint is through its slow start.
    WarmedUp,
    /// Which other gateways there are.
    Gateways,
}

/// Where the knowledge comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnowledgeSource {
    /// This gateway's own snapshot.
    Snapshot,
    /// Another gateway.
    Peer,
}

/// How far the knowledge is used; a higher level includes the lower ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TrustLevel {
    /// As if it were not known.
    Ignored,
    /// It says where to look first; what is found there decides.
    Hint,
    /// It is acted on until something newer is known.
    Trusted,
}

/// Longest age of an endpoint list; an older one may name machines whose addresses others have now.
pub const MAX_LIST_AGE: Span = Span::from_millis(15 * 60_000);
/// Longest age of a known primary; an older one saves no search.
pub const MAX_PRIMARY_AGE: Span = Span::from_millis(60_000);
/// Longest age of the list of gateways. Longer than the others, since asking a gateway that has
/// gone costs one datagram.
pub const MAX_GATEWAYS_AGE: Span = Span::from_millis(24 * 3_600_000);

/// How far knowledge is trusted. An `age` of `None` is unknown, as where the wall clock stands
/// before the time of the record; unknown and negative ages are never trusted.
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
        // The cached list stays in use while discovery is silent. Another gateway's may be of
        // another deployment.
        (KnowledgeKind::EndpointList, KnowledgeSource::Snapshot) => {
            up_to(MAX_LIST_AGE, TrustLevel::Trusted)
        }
        (KnowledgeKind::EndpointList, KnowledgeSource::Peer) => {
            up_to(MAX_LIST_AGE, TrustLevel::Hint)
        }
        // Not using an endpoint is the safe error.
        (KnowledgeKind::Draining, _) => up_to(MAX_LIST_AGE, TrustLevel::Trusted),
        // The endpoint's own answer proves it, whatever the source was.
        (KnowledgeKind::Primary, _) => up_to(MAX_PRIMARY_AGE, TrustLevel::Hint),
        // A position never goes back while the same database process runs; who uses the hint checks
        // that it does.
        (KnowledgeKind::ReplicationPosition, KnowledgeSource::Snapshot) => {
            up_to(MAX_LIST_AGE, TrustLevel::Hint)
        }
        (KnowledgeKind::ReplicationPosition, KnowledgeSource::Peer) => TrustLevel::Ignored,
        // The endpoint may have restarted since; only what is observed now counts.
        (KnowledgeKind::WarmedUp, _) => TrustLevel::Ignored,
        (KnowledgeKind::Gateways, _) => up_to(MAX_GATEWAYS_AGE, TrustLevel::Hint),
    }
}
