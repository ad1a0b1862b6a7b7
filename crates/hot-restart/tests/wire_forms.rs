//! Byte forms of the messages between the two processes of a hot restart. The file in `fixtures/`
//! holds one of each kind as version 0.4.0 wrote them, one after the other; later versions must
//! read them and write the same bytes.

use valehatch_hot_restart::ProcessLimits;
use valehatch_hot_restart::messages::{
    HEADER_BYTES, HandoffMessage, PROTOCOL_VERSION, decode, decode_length, encode,
};

const MESSAGES: &[u8] = include_bytes!("fixtures/messages.bin");

fn messages() -> Vec<HandoffMessage> {
    vec![
        HandoffMessage::Request("gateway-1".into()),
        HandoffMessage::State(vec![0, 1, 0x80, 0xff]),
        HandoffMessage::Busy,
        HandoffMessage::Usage(ProcessLimits {
            descriptors: 384,
            bytes: 48 << 20,
        }),
        HandoffMessage::DrainingUsage(ProcessLimits {
            descriptors: 7,
            bytes: 0,
        }),
        HandoffMessage::Ready,
        HandoffMessage::EndpointList(vec![0xab; 200]),
    ]
}

#[test]
fn stored_messages_are_read_and_written_unchanged() {
    assert_eq!(PROTOCOL_VERSION, 2);
    let (mut rest, mut read) = (MESSAGES, vec![]);
    while let Some((head, behind)) = rest.split_first_chunk::<HEADER_BYTES>() {
        let (body, next) = behind.split_at(decode_length(*head).unwrap());
        read.push(decode(body).unwrap());
        rest = next;
    }
    assert_eq!((read, rest), (messages(), &[][..]));
    assert_eq!(
        messages().iter().flat_map(encode).collect::<Vec<u8>>(),
        MESSAGES
    );
}
