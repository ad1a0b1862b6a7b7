//! Who holds a place at the door, until when, and who goes when a newcomer needs one. No input, no output.

use std::time::{Duration, Instant};

/// So long a caller may take for its first bytes before a newcomer may have its place.
pub(crate) const GRACE: Duration = Duration::from_millis(2);
/// So long what a caller still sends after its answer is taken in, so that no reset tears the answer away.
pub(crate) const LINGER: Duration = Duration::from_secs(1);

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its head is not whole yet.
    Reading,
    /// Its answer is decided and not all written.
    Answering,
    /// Its answer is written; what it still sends is dropped.
    Draining,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    accepted: Instant,
    /// When its stage began.
    since: Instant,
    stage: Stage,
}

/// Where a newcomer can go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Room {
    /// This place is free.
    Free(usize),
    /// The call at this place has to go first.
    After(usize),
    /// Nobody may be sent away before then.
    Later(Instant),
}

/// The places, as many as there will ever be.
#[derive(Debug)]
pub(crate) struct Table {
    calls: Vec<Option<Call>>,
    patience: Duration,
}

impl Table {
    pub(crate) fn new(places: usize, patience: Duration) -> Self {
        Self {
            calls: vec![None; places.max(1)],
            patience,
        }
    }

    pub(crate) fn places(&self) -> usize {
        self.calls.len()
    }

    /// The stage of the call at a place, if there is one.
    pub(crate) fn stage(&self, place: usize) -> Option<Stage> {
        self.calls[place].map(|call| call.stage)
    }

    /// A call begins at a place.
    pub(crate) fn begin(&mut self, place: usize, now: Instant) {
        self.calls[place] = Some(Call {
            accepted: now,
            since: now,
            stage: Stage::Reading,
        });
    }

    /// The call at a place has come further.
    pub(crate) fn advance(&mut self, place: usize, stage: Stage, now: Instant) {
        if let Some(call) = &mut self.calls[place] {
            (call.stage, call.since) = (stage, now);
        }
    }

    /// The place is free again.
    pub(crate) fn end(&mut self, place: usize) {
        self.calls[place] = None;
    }

    /// Where a newcomer can go: a free place; else that of the oldest call of those that can best be spared.
    pub(crate) fn room(&self, now: Instant) -> Room {
        if let Some(place) = self.calls.iter().position(Option::is_none) {
            return Room::Free(place);
        }
        let calls = || {
            self.calls
                .iter()
                .enumerate()
                .filter_map(|(place, call)| Some((place, (*call)?)))
        };
        let ripe = calls().filter(|(_, call)| call.since + GRACE <= now);
        match ripe.min_by_key(|(_, call)| (call.worth(now), call.accepted)) {
            Some((place, _)) => Room::After(place),
            None => Room::Later(
                calls()
                    .map(|(_, call)| call.since + GRACE)
                    .min()
                    .unwrap_or(now),
            ),
        }
    }

    /// A place whose call has had its time.
    pub(crate) fn overdue(&self, now: Instant) -> Option<usize> {
        self.calls
            .iter()
            .position(|call| call.is_some_and(|call| call.until(self.patience) <= now))
    }

    /// When the next call has had its time.
    pub(crate) fn next(&self) -> Option<Instant> {
        self.calls
            .iter()
            .flatten()
            .map(|call| call.until(self.patience))
            .min()
    }
}

impl Call {
    fn until(&self, patience: Duration) -> Instant {
        let end = self.accepted + patience;
        if self.stage == Stage::Draining {
            end.min(self.since + LINGER)
        } else {
            end
        }
    }

    /// The less, the sooner it is sent away: who has long had its answer, who has not asked, who is being answered.
    fn worth(&self, now: Instant) -> u8 {
        match self.stage {
            Stage::Draining if self.since + LINGER / 4 <= now => 0,
            Stage::Reading => 1,
            Stage::Draining => 2,
            Stage::Answering => 3,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    /// Stage, ms from the accept, ms in this stage.
    type Given = (Stage, u64, u64);

    fn table(given: &[Given], places: usize, now: Instant) -> Table {
        let mut table = Table::new(places, Duration::from_secs(4));
        for (place, &(stage, age, since)) in given.iter().enumerate() {
            table.begin(place, now - Duration::from_millis(age));
            table.advance(place, stage, now - Duration::from_millis(since));
        }
        table
    }

    #[rstest]
    #[case::empty(&[], 2, Room::Free(0))]
    #[case::one_left(&[(Stage::Reading, 3_000, 3_000)], 2, Room::Free(1))]
    #[case::oldest(&[(Stage::Reading, 30, 30), (Stage::Reading, 40, 40)], 2, Room::After(1))]
    #[case::silent_before_answered(&[(Stage::Draining, 90, 80), (Stage::Reading, 40, 40)], 2, Room::After(1))]
    #[case::long_answered_first(&[(Stage::Reading, 900, 900), (Stage::Draining, 800, 250)], 2, Room::After(1))]
    #[case::answered_before_being_answered(
        &[(Stage::Answering, 900, 900), (Stage::Draining, 80, 80)], 2, Room::After(1))]
    #[case::last_of_all(&[(Stage::Answering, 90, 90), (Stage::Answering, 80, 80)], 2, Room::After(0))]
    #[case::too_young_is_passed_over(&[(Stage::Reading, 1, 1), (Stage::Draining, 9, 9)], 2, Room::After(1))]
    fn a_newcomer_finds_room(#[case] given: &[Given], #[case] places: usize, #[case] room: Room) {
        let now = Instant::now() + Duration::from_secs(10);
        assert_eq!(table(given, places, now).room(now), room);
    }

    #[test]
    fn those_who_have_just_come_are_waited_for() {
        let now = Instant::now() + Duration::from_secs(10);
        let table = table(&[(Stage::Reading, 0, 0), (Stage::Reading, 1, 1)], 2, now);
        let then = now + Duration::from_millis(1);
        assert_eq!(table.room(now), Room::Later(then));
        assert_eq!(table.room(then), Room::After(1));
    }

    #[rstest]
    #[case::silent(Stage::Reading, 100, 100, 3_900)]
    #[case::no_reader(Stage::Answering, 1_000, 10, 3_000)]
    #[case::answered(Stage::Draining, 1_000, 100, 900)]
    #[case::answered_late(Stage::Draining, 3_900, 100, 100)]
    fn each_stays_for_its_time(
        #[case] stage: Stage,
        #[case] age: u64,
        #[case] since: u64,
        #[case] left: u64,
    ) {
        let now = Instant::now() + Duration::from_secs(10);
        let mut table = table(&[(stage, age, since)], 3, now);
        let end = now + Duration::from_millis(left);
        assert_eq!(table.next(), Some(end));
        assert_eq!(table.overdue(end - Duration::from_millis(1)), None);
        assert_eq!(table.overdue(end), Some(0));
        table.end(0);
        assert_eq!((table.overdue(end), table.next()), (None, None));
    }
}
