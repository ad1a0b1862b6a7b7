//! Tests of parsing complete and incomplete HTTP responses, in all forms of RFC 9112 that a server
//! may choose.

use valehatch_net::discovery::http::{HttpError, Response, Sending, parse_response};

fn complete(body: &str, reusable: bool) -> Result<Option<Response>, HttpError> {
    Ok(Some(Response {
        body: body.into(),
        reusable,
    }))
}

/// Responses whose end does not depend on the connection's close, with their bodies and whether the
/// connection is reusable.
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
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nContent-Length: 1\r\n\r\n\
         0005 ;a=\"b\"\r\nhello\r\n0\r\n\r\n",
        "hello",
        true,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n",
        "hello",
        true,
    ),
    (
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n\
         HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
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
fn response_is_complete_at_its_last_byte() {
    for (text, body, reusable) in FRAMED {
        let bytes = text.as_bytes();
        for end in 0..bytes.len() {
            assert_eq!(
                parse_response(&bytes[..end], Sending::Open),
                Ok(None),
                "{:?}",
                &text[..end]
            );
            assert!(
                parse_response(&bytes[..end], Sending::Ended).is_err(),
                "connection closed: {:?}",
                &text[..end]
            );
        }
        assert_eq!(
            parse_response(bytes, Sending::Open),
            complete(body, reusable),
            "{text:?}"
        );
        assert_eq!(
            parse_response(bytes, Sending::Ended),
            complete(body, false),
            "connection closed after it: {text:?}"
        );
    }
}

#[test]
fn bytes_after_response_make_connection_unusable() {
    for (text, body, _) in FRAMED {
        assert_eq!(
            parse_response(&[text.as_bytes(), b"x"].concat(), Sending::Open),
            complete(body, false),
            "{text:?}"
        );
    }
}

#[test]
fn response_without_length_ends_with_connection() {
    let text = b"HTTP/1.1 200 OK\r\n\r\n{\"rev\":1}";
    assert_eq!(parse_response(text, Sending::Open), Ok(None));
    assert_eq!(
        parse_response(text, Sending::Ended),
        complete("{\"rev\":1}", false)
    );
    assert_eq!(
        parse_response(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nx",
            Sending::Open
        ),
        Ok(None)
    );
}

#[test]
fn invalid_response_is_an_error() {
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
        let read = parse_response(case.as_bytes(), Sending::Open);
        assert!(read.is_err(), "{:?}: {read:?}", &case[..case.len().min(90)]);
    }
}
