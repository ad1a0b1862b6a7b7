//! A planned restart while a long value is passed on: does the client get the whole value?
//!
//! The database gives a value of 2 MiB in pieces, over 6 s. The platform sends SIGTERM 0.5 s after
//! the client has got its first bytes, and would send SIGKILL 10 s after that.

#[path = "../stand-ins-2/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::thread;
use std::time::Instant;

const VALUE_BYTES: usize = 2 * 1024 * 1024;
const PIECE_BYTES: usize = 32 * 1024;
const PIECE_PAUSE_MS: u64 = 95;
const TERM_AFTER_MS: u64 = 500;
const KILL_AFTER_MS: u64 = 10_000;

fn value() -> Vec<u8> {
    (0..VALUE_BYTES).map(|n| (n / 7 % 251) as u8).collect()
}

fn slow_value(database: &Database, stream: &mut std::net::TcpStream, query: &str, _: usize) -> bool {
    let id = field(query, "id");
    if query.contains("INSERT") {
        return usual_answer(database, stream, query, b"written");
    }
    sleep_ms(60);
    let value = value();
    let begun = [row_description(), row_head(value.len())].concat();
    note(&format!("{}: begins the value of {id}", database.name));
    if stream.write_all(&begun).is_err() {
        return false;
    }
    for (n, piece) in value.chunks(PIECE_BYTES).enumerate() {
        if stream.write_all(piece).is_err() {
            note(&format!("{}: the gateway has ended the connection after {} bytes of {id}", database.name, n * PIECE_BYTES));
            return false;
        }
        sleep_ms(PIECE_PAUSE_MS);
    }
    note(&format!("{}: gave the whole value of {id}", database.name));
    stream.write_all(&[complete("SELECT 1"), database.end()].concat()).is_ok()
}

fn main() {
    begin();
    let primary = Database::start("primary", true, Box::new(slow_value));
    let replica = Database::start("replica", false, Box::new(slow_value));
    let entries = [Entry::of(&primary, "s-01"), Entry::of(&replica, "s-02")];
    let discovery = Discovery::start(41, &entries);
    let listen = free_address();
    let config = campsite().config(listen, discovery.address, &list_json(41, true, &entries));
    let gateway = Gateway::start(listen, &write_config(&config));
    sleep_ms(1_200);

    let mut client = Client::connect(listen, "a");
    client.send(&read_query("a1", "site-browse", 1500));
    if client.stream.peek(&mut [0]).unwrap_or(0) == 0 {
        finish(CANNOT_RUN, "no answer began");
    }
    note("client a: the answer has begun");
    sleep_ms(TERM_AFTER_MS);
    let term_at = Instant::now();
    if trouble() {
        gateway.signal("TERM");
        thread::spawn(move || {
            sleep_ms(KILL_AFTER_MS);
            gateway.signal("KILL");
        });
        thread::spawn(move || {
            while !gateway.has_ended() {
                sleep_ms(2);
            }
            note(&format!("platform: the gateway has ended {} ms after SIGTERM", term_at.elapsed().as_millis()));
        });
    }
    let reply = client.reply();
    let answered_ms = term_at.elapsed().as_millis();
    let mut rest = vec![];
    let _ = client.stream.set_read_timeout(Some(std::time::Duration::from_millis(200)));
    let _ = client.stream.read_to_end(&mut rest);
    gateway.record_log();
    match reply {
        Reply::Served(got) if got == value() => finish(HELD, "the client got the whole value"),
        Reply::Served(_) => finish(BROKEN, "the client got another value"),
        Reply::Ended(got) if answered_ms < u128::from(KILL_AFTER_MS) => finish(
            BROKEN,
            &format!("the gateway ended itself and cut the value after {got} of {} bytes, {answered_ms} ms after SIGTERM and before any SIGKILL, while the database still gave", VALUE_BYTES + 6),
        ),
        Reply::Ended(_) => finish(HELD, "SIGKILL found it, and the request came before SIGTERM"),
        other => finish(CANNOT_RUN, &format!("the value did not begin: {}", other.short())),
    }
}
