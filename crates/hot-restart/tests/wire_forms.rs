//! Byte forms of the messages between two processes of one gateway. The file in `fixtures/` holds one of each kind as version
//! 0.4.0 wrote them, one after the other; later versions must read them and write the same bytes.

use valehatch_hot_restart::ProcessLimits;
use valehatch_hot_restart::words::{HEAD, HandoffMessage, VERSION, decode, encode, length};

const MESSAGES: &[u8] = include_bytes!("fixtures/messages.bin");

fn messages() -> Vec<HandoffMessage> {
    vec![
        HandoffMessage::Ask("gateway-1".into()),
        HandoffMessage::Take(vec![0, 1, 0x80, 0xff]),
        HandoffMessage::Busy,
        HandoffMessage::Held(ProcessLimits {
            descriptors: 384,
            bytes: 48 << 20,
        }),
        HandoffMessage::Leaves(ProcessLimits {
            descriptors: 7,
            bytes: 0,
        }),
        HandoffMessage::Ready,
        HandoffMessage::List(vec![0xab; 200]),
    ]
}

#[test]
fn stored_messages_are_read_and_written_unchanged() {
    assert_eq!(VERSION, 2);
    let (mut rest, mut read) = (MESSAGES, vec![]);
    while let Some((head, behind)) = rest.split_first_chunk::<HEAD>() {
        let (body, next) = behind.split_at(length(*head).unwrap());
        read.push(decode(body).unwrap());
        rest = next;
    }
    assert_eq!((read, rest), (messages(), &[][..]));
    assert_eq!(
        messages().iter().flat_map(encode).collect::<Vec<u8>>(),
        MESSAGES
    );
}
