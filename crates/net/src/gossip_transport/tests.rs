//! Tests of the datagram header and the build number.

use super::*;

#[test]
fn builds_have_different_numbers() {
    assert_eq!(
        [
            build_number("0.4.0"),
            build_number("0.4.1"),
            build_number("1"),
            build_number("")
        ],
        [1024, 1025, 0, 0]
    );
}

#[test]
fn fleets_have_different_headers_and_messages_fit_a_datagram() {
    assert_ne!(
        header(MEMBERSHIP_CHANNEL, "vestera"),
        header(MEMBERSHIP_CHANNEL, "vestera-test")
    );
    const {
        assert!(
            HEADER_BYTES + valehatch_membership::wire::MAX_DATAGRAM_BYTES <= MAX_DATAGRAM_BYTES
                && HEADER_BYTES + lists::MAX_DATAGRAM_BYTES <= MAX_DATAGRAM_BYTES
        )
    };
}
