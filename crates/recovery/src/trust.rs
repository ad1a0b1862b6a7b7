//! How far a belief that was not learned since the start is trusted.

use valehatch_policy::Span;

/// Kinds of beliefs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Belief {
    /// Which members there are, with their states.
    List,
    /// That a member drains or is gone.
    Leaving,
    /// Which member is a group's primary.
    Primary,
    /// How far a member's log was.
    Position,
    /// That a member is warm.
    Warm,
    /// Which other gateways there are.
    Fleet,
}

/// Where it is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This gateway's own snapshot.
    Snapshot,
    /// Another gateway.
    Peer,
}

/// How far it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trust {
    /// As if it were not known.
    Nothing,
    /// It says where to look first; what is found there decides.
    Guess,
    /// It is acted on until something better is known.
    Held,
}

/// A list older than this names machines that may have been replaced by others at the same addresses.
pub const LIST: Span = Span::from_millis(15 * 60_000);
/// A primary that was believed longer ago than this saves no search.
pub const PRIMARY: Span = Span::from_millis(60_000);
/// Gateways are asked for longer: one that is not there costs a datagram now and then.
pub const FLEET: Span = Span::from_millis(24 * 3_600_000);

/// How far a belief goes by its source and age; `None`: it is not known how old it is, as where the clock stands before
/// the time at which it was noted.
#[must_use]
pub fn trust(belief: Belief, source: Source, age: Option<Span>) -> Trust {
    let Some(age) = age.filter(|age| *age >= Span(0)) else {
        return Trust::Nothing;
    };
    let within = |bound: Span, trust: Trust| if age <= bound { trust } else { Trust::Nothing };
    match (belief, source) {
        // The list that is held goes on to hold while discovery is silent; another's may be of another deployment.
        (Belief::List, Source::Snapshot) => within(LIST, Trust::Held),
        (Belief::List, Source::Peer) => within(LIST, Trust::Guess),
        // That one must not be used is safe to believe of whom it may.
        (Belief::Leaving, _) => within(LIST, Trust::Held),
        // The member's own answer is the proof, whoever told it.
        (Belief::Primary, _) => within(PRIMARY, Trust::Guess),
        // A log does not go back: what it had reached it has reached, at the time at which it was seen, if it is the same
        // process still; that is for whoever uses it to know. From another it is hearsay.
        (Belief::Position, Source::Snapshot) => within(LIST, Trust::Guess),
        (Belief::Position, Source::Peer) => Trust::Nothing,
        // It may have started anew since: warm is who has been seen to be.
        (Belief::Warm, _) => Trust::Nothing,
        (Belief::Fleet, _) => within(FLEET, Trust::Guess),
    }
}
