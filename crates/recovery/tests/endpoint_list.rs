//! The cached endpoint list: only revisions of the same source are compared, and updates that a
//! forwarded list includes are not applied again.

use valehatch_policy::Time;
use valehatch_recovery::endpoint_list::{EndpointListCache, ForwardedListGuard, ListVersion};

const HERE: &str = "127.0.0.1:8500";
const THERE: &str = "127.0.0.2:8500";

fn version(source: &str, revision: u64) -> ListVersion {
    ListVersion {
        source: source.parse().unwrap(),
        revision,
    }
}

fn list(at: Option<(&str, u64)>) -> EndpointListCache {
    let mut list = EndpointListCache::default();
    list.version = at.map(|(source, revision)| version(source, revision));
    list
}

#[test]
fn later_revision_of_same_source_is_ahead() {
    let cases = [
        (Some((HERE, 6)), Some((HERE, 5)), true),
        (Some((HERE, 5)), Some((HERE, 5)), false),
        (Some((HERE, 4)), Some((HERE, 5)), false),
        (Some((THERE, 6)), Some((HERE, 5)), false),
        (Some((HERE, 6)), None, false),
        (None, Some((HERE, 5)), false),
    ];
    for (own, other, ahead) in cases {
        assert_eq!(
            list(own).is_ahead_of(&list(other)),
            ahead,
            "{own:?} and {other:?}"
        );
    }
    let encoded = list(Some((HERE, 6)));
    assert_eq!(EndpointListCache::decode(&encoded.encode()), Some(encoded));
    assert_eq!(EndpointListCache::decode(b"torn"), None);
}

/// The other process of this gateway forwards a list, then discovery answers with an older one.
/// Applying the older list would undo the newer changes, so it is skipped, but only until a
/// deadline, since discovery may start its revisions over.
#[test]
fn forwarded_list_covers_older_revisions_until_deadline() {
    let (now, end) = (Time(1_000_000), Time(7_000_000));
    let guard = ForwardedListGuard::new(&list(Some((HERE, 6))), now).unwrap();
    let cases = [
        (HERE, 5, now, true),
        (HERE, 6, now, false),
        (HERE, 7, now, false),
        (THERE, 5, now, false),
        (HERE, 5, Time(end.0 - 1), true),
        (HERE, 5, end, false),
    ];
    for (source, revision, at, covered) in cases {
        assert_eq!(
            guard.covers(version(source, revision), at),
            covered,
            "{source} {revision} {at:?}"
        );
    }
    let newer = |source: &str, revision| guard.is_newer_than(version(source, revision));
    assert!(newer(HERE, 5) && !newer(HERE, 6) && !newer(THERE, 5));
    assert_eq!(ForwardedListGuard::new(&list(None), now), None);
}
