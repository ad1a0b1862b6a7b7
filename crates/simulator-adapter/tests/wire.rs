//! The adapter, as a process on the wire.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_valehatch-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at a bad frame.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    let mut out = vec![code];
    out.extend(u32::try_from(body.len()).unwrap().to_be_bytes());
    out.extend(body);
    out
}

fn frame(number: u32, clock_ms: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut out = number.to_be_bytes().to_vec();
    out.extend(u32::try_from(body.len()).unwrap().to_be_bytes());
    out.extend(clock_ms.to_be_bytes());
    out.extend(body);
    out
}

const SETTINGS: &str = "classes.count=2
classes.0.deadline-ms=1500.0
classes.0.effect=safe
classes.0.group=all
classes.0.late-worth=0.2
classes.0.slo-ms=600.0
classes.0.window-ms=5000.0
classes.0.worth=1.0
classes.1.deadline-ms=3000.0
classes.1.effect=keyed
classes.1.group=cell
classes.1.late-worth=0.3
classes.1.slo-ms=1200.0
classes.1.window-ms=3000.0
classes.1.worth=3.0
family-info.needs-by-class=lag_bound,mutate
family-info.position-zero-ms=1000.0
family-info.role-listed=static
family-info.server-checks=bounce
family-info.staleness-bound-ms=1500.0,0.0
family-info.token-mode=brought
fleet-size=3
limits.cancel=true
limits.conn-idle-ms=15000.0
limits.max-attempts=10
limits.max-retry-after-ms=500.0
limits.most-held=20000
limits.probing=true
limits.retry-after=true
limits.second-copies=false
membership-mode=push
rules.ask-within-ms=10000.0
rules.cold-from=0.17
rules.cold-ms=15000.0
rules.tip-after-ms=1500.0
rules.tip-multiple=2.5
telemetry.fields=x0,x1,busy
telemetry.source=on_probe
tick-ms=5.0
zone=1
";

fn at(inst: u32) -> Vec<u8> {
    record(12, &[&inst.to_be_bytes()])
}

fn attach(text: &str) -> Vec<u8> {
    let len = u32::try_from(text.len()).unwrap().to_be_bytes();
    record(1, &[&9_u64.to_be_bytes(), &len, text.as_bytes()])
}

fn row(endpoint: u32, primary: bool) -> Vec<u8> {
    let role: f32 = if primary { 1.0 } else { 0.0 };
    [
        &0_f64.to_be_bytes()[..],
        &endpoint.to_be_bytes(),
        &1_f32.to_be_bytes(),
        &[1],
        &role.to_be_bytes(),
        &[1, 0],
        &11_u16.to_be_bytes(),
    ]
    .concat()
}

fn table(number: u16, rows: &[Vec<u8>]) -> Vec<u8> {
    let n = u32::try_from(rows.len()).unwrap().to_be_bytes();
    record(11, &[&number.to_be_bytes(), &n, &rows.concat()])
}

fn update(kind: u8, number: u16) -> Vec<u8> {
    record(2, &[&[kind], &41_u64.to_be_bytes(), &number.to_be_bytes()])
}

fn ask(request: u64, class: u8) -> Vec<u8> {
    record(
        3,
        &[
            &request.to_be_bytes(),
            &77_u64.to_be_bytes(),
            &240_f64.to_be_bytes(),
            &11_f32.to_be_bytes(),
            &0_f64.to_be_bytes(),
            &[class],
            &0_u32.to_be_bytes(),
            &4_u16.to_be_bytes(),
            &0_f32.to_be_bytes(),
        ],
    )
}

/// Code and fields of each record of each reply.
type Record = (u8, Vec<u8>);

fn replies(mut bytes: &[u8]) -> Vec<(u32, Vec<Record>)> {
    let word = |b: &[u8], at: usize| u32::from_be_bytes(b[at..at + 4].try_into().unwrap());
    let mut out = vec![];
    while !bytes.is_empty() {
        let (number, length, count) = (word(bytes, 0), word(bytes, 4) as usize, word(bytes, 8));
        let (mut body, rest) = bytes[12..].split_at(length);
        let mut records = vec![];
        while !body.is_empty() {
            let n = word(body, 1) as usize;
            records.push((body[0], body[5..5 + n].to_vec()));
            body = &body[5 + n..];
        }
        assert_eq!(records.len(), count as usize);
        out.push((number, records));
        bytes = rest;
    }
    out
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_no_error() {
    let out = run(&frame(1, 240.0, &[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0]);
    assert!(run(&[]).status.success());
}

#[test]
fn a_write_is_sent_to_the_listed_primary_by_tables_in_event_order() {
    let first = table(3, &[row(5, true), row(6, false)]);
    let second = table(3, &[row(8, true), row(9, false)]);
    let records = [
        at(4),
        attach(SETTINGS),
        first,
        update(3, 3),
        second,
        at(7),
        attach(SETTINGS),
        update(3, 3),
        ask(12, 1),
    ];
    let mut input = frame(1, 5000.0, &records);
    input.extend(frame(2, 5005.0, &[at(4), ask(13, 1)]));
    let out = run(&input);
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let mut who = 0;
    let mut sends = vec![];
    for (code, fields) in replies(&out.stdout).into_iter().flat_map(|(_, r)| r) {
        match code {
            66 => who = fields[3],
            70 => sends.push((who, fields[7], fields[11])),
            _ => {}
        }
    }
    assert_eq!(sends, [(7, 12, 8), (4, 13, 5)], "instance, request, node");
}

#[test]
fn bad_settings_are_reported_as_a_crash_that_names_key_and_value() {
    let missing = SETTINGS.replace("limits.max-attempts=10\n", "");
    let wrong = SETTINGS.replace("membership-mode=push", "membership-mode=shout");
    for (text, key, value) in [
        (missing, "limits.max-attempts", "missing"),
        (wrong, "membership-mode", "shout"),
    ] {
        let out = run(&frame(1, 5000.0, &[at(4), attach(&text)]));
        let records = replies(&out.stdout).remove(0).1;
        let (code, fields) = &records[1];
        let said = String::from_utf8_lossy(&fields[2..]);
        assert!(
            *code == 71 && said.contains(key) && said.contains(value),
            "{code} {said}"
        );
    }
}

#[test]
fn unknown_settings_are_skipped() {
    let text = format!("{SETTINGS}some.new-key=7\n");
    let out = run(&frame(1, 5000.0, &[at(4), attach(&text)]));
    assert!(out.status.success());
    assert!(
        replies(&out.stdout)[0]
            .1
            .iter()
            .all(|(code, _)| *code != 71)
    );
}

#[test]
fn malformed_input_gets_a_plain_message_and_a_failure() {
    let whole = frame(6, 5000.0, &[at(4), attach(SETTINGS)]);
    let mut long = frame(6, 5000.0, &[at(4)]);
    long[4..8].copy_from_slice(&u32::MAX.to_be_bytes());
    let mut overrun = at(4);
    overrun[4] = 200;
    let cases = [
        (whole[..9].to_vec(), "header"),
        (whole[..40].to_vec(), "frame 6"),
        (long, "frame 6"),
        (frame(6, 5000.0, &[overrun]), "frame 6"),
        (frame(6, 5000.0, &[record(99, &[])]), "unknown code"),
        (
            frame(6, 5000.0, &[at(4), attach(SETTINGS), update(0, 9)]),
            "no table 9",
        ),
        (
            frame(6, 5000.0, &[at(4), attach(SETTINGS), update(8, 9)]),
            "unknown kind",
        ),
        (frame(6, 5000.0, &[ask(1, 1)]), "no instance"),
        (frame(6, 5000.0, &[at(4), ask(1, 1)]), "never attached"),
        (
            frame(6, 5000.0, &[at(4), attach(SETTINGS), ask(1, 9)]),
            "class 9",
        ),
        (frame(6, f64::NAN, &[]), "frame 6"),
    ];
    for (input, message) in cases {
        let out = run(&input);
        let said = String::from_utf8_lossy(&out.stderr);
        assert!(
            !out.status.success() && said.contains(message),
            "wanted {message:?}, got {said:?}"
        );
    }
}

#[test]
fn a_stopped_instance_is_forgotten_and_may_start_again_in_the_same_batch() {
    let stop = record(10, &[]);
    let list = table(0, &[row(5, true)]);
    let records = [
        at(4),
        attach(SETTINGS),
        list,
        update(3, 0),
        ask(1, 1),
        stop,
        attach(SETTINGS),
        update(3, 0),
    ];
    let mut input = frame(1, 5000.0, &records);
    input.extend(frame(2, 6000.0, &[at(4), ask(2, 1)]));
    let out = run(&input);
    let sent: Vec<u8> = replies(&out.stdout)
        .iter()
        .flat_map(|(_, r)| r)
        .filter(|r| r.0 == 70)
        .map(|r| r.1[7])
        .collect();
    assert_eq!(sent, [2]);
}
