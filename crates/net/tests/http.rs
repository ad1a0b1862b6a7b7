//! Answers over HTTP, whole and in the middle, in all the forms of RFC 9112 that a server may choose.

use valehatch_net::discovery::http::{Answer, answer};

fn whole(body: &str, keep: bool) -> Result<Option<Answer>, String> {
    Ok(Some(Answer {
        body: body.into(),
        keep,
    }))
}

/// Answers that tell their own end, and whether their connection can be used again.
const FRAMED: [(&str, &str, bool); 14] = [
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "hello",
        true,
    ),
    (
        "HTTP/1.1 200 OK\r\ncontent-length:5\r\nContent-Length: 5\r\n\r\nhello",
        "hello",
        true,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        "hello",
        true,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nContent-Length: 1\r\n\r\n0005 ;a=\"b\"\r\nhello\r\n0\r\n\r\n",
        "hello",
        true,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n",
        "hello",
        true,
    ),
    (
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "hello",
        true,
    ),
    (
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello",
        "hello",
        false,
    ),
    (
        "HTTP/1.1 200 OK\r\nConnection: Close, x\r\nContent-Length: 5\r\n\r\nhello",
        "hello",
        false,
    ),
    (
        "HTTP/1.1 200 OK\r\nConnection: x\r\nCONNECTION: y , close\r\nContent-Length: 5\r\n\r\nhello",
        "hello",
        false,
    ),
    (
        "HTTP/1.1 200 OK\r\nConnection: closed\r\nContent-Length: 5\r\n\r\nhello",
        "hello",
        true,
    ),
    (
        "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "hello",
        false,
    ),
    (
        "HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 5\r\n\r\nhello",
        "hello",
        true,
    ),
    ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", true),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "",
        true,
    ),
];

#[test]
fn an_answer_is_whole_at_its_last_byte_and_not_before() {
    for (text, body, keep) in FRAMED {
        let bytes = text.as_bytes();
        for end in 0..bytes.len() {
            assert_eq!(answer(&bytes[..end], false), Ok(None), "{:?}", &text[..end]);
            assert!(
                answer(&bytes[..end], true).is_err(),
                "ended: {:?}",
                &text[..end]
            );
        }
        assert_eq!(answer(bytes, false), whole(body, keep), "{text:?}");
        assert_eq!(
            answer(bytes, true),
            whole(body, false),
            "an end behind it: {text:?}"
        );
    }
}

#[test]
fn what_stands_behind_an_answer_is_not_read_as_the_next_ones_beginning() {
    for (text, body, _) in FRAMED {
        assert_eq!(
            answer(&[text.as_bytes(), b"x"].concat(), false),
            whole(body, false),
            "{text:?}"
        );
    }
}

#[test]
fn without_a_length_only_the_regular_end_of_the_connection_is_the_end() {
    let text = b"HTTP/1.1 200 OK\r\n\r\n{\"rev\":1}";
    assert_eq!(answer(text, false), Ok(None));
    assert_eq!(answer(text, true), whole("{\"rev\":1}", false));
    assert_eq!(
        answer(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nx",
            false
        ),
        Ok(None)
    );
}

#[test]
fn what_is_no_answer_is_an_error() {
    let chunked =
        |rest: &str| format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{rest}");
    let sized = |length: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\nhello");
    let cases = [
        "SSH-2.0-x\r\n\r\n".to_owned(),
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 204 No Content\r\n\r\n".to_owned(),
        "HTTP/1.1 101 Switching Protocols\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(17_000)),
        sized("+5"),
        sized("-1"),
        sized("5, 6"),
        sized("1048577"),
        sized("18446744073709551616"),
        chunked("+5\r\nhello\r\n0\r\n\r\n"),
        chunked("\r\nhello\r\n0\r\n\r\n"),
        chunked("x\r\n"),
        chunked("5\r\nhello world\r\n"),
        chunked("5\r\nhello\r\nffffffffffffffff\r\n"),
        chunked("100001\r\n"),
        chunked(&"5".repeat(17_000)),
        format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(1024 * 1024 + 1)),
        "x".repeat(3 * 1024 * 1024),
    ];
    for case in cases {
        let read = answer(case.as_bytes(), false);
        assert!(read.is_err(), "{:?}: {read:?}", &case[..case.len().min(90)]);
    }
}
