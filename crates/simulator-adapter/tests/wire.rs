//! Tests of the adapter as a process: binary frames on stdin, replies on stdout.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use valehatch_policy::Role;

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_valehatch-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The write fails if the adapter exits early because of a malformed frame.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    let mut output = vec![code];
    output.extend(u32::try_from(body.len()).unwrap().to_be_bytes());
    output.extend(body);
    output
}

fn frame(number: u32, clock_ms: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut output = number.to_be_bytes().to_vec();
    output.extend(u32::try_from(body.len()).unwrap().to_be_bytes());
    output.extend(clock_ms.to_be_bytes());
    output.extend(body);
    output
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

fn select_instance(instance: u32) -> Vec<u8> {
    record(12, &[&instance.to_be_bytes()])
}

fn attach(text: &str) -> Vec<u8> {
    let length = u32::try_from(text.len()).unwrap().to_be_bytes();
    record(1, &[&9_u64.to_be_bytes(), &length, text.as_bytes()])
}

fn row(endpoint: u32, role: Role) -> Vec<u8> {
    let primary: f32 = match role {
        Role::Primary => 1.0,
        Role::Replica => 0.0,
    };
    [
        &0_f64.to_be_bytes()[..],
        &endpoint.to_be_bytes(),
        &1_f32.to_be_bytes(),
        &[1],
        &primary.to_be_bytes(),
        &[1, 0],
        &11_u16.to_be_bytes(),
    ]
    .concat()
}

fn table(number: u16, rows: &[Vec<u8>]) -> Vec<u8> {
    let count = u32::try_from(rows.len()).unwrap().to_be_bytes();
    record(11, &[&number.to_be_bytes(), &count, &rows.concat()])
}

fn update(kind: u8, number: u16) -> Vec<u8> {
    record(2, &[&[kind], &41_u64.to_be_bytes(), &number.to_be_bytes()])
}

fn request(id: u64, class: u8) -> Vec<u8> {
    record(
        3,
        &[
            &id.to_be_bytes(),
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

struct Record {
    code: u8,
    fields: Vec<u8>,
}

/// Splits the output into replies and returns the records of each.
fn replies(mut bytes: &[u8]) -> Vec<Vec<Record>> {
    let u32_at = |b: &[u8], at: usize| u32::from_be_bytes(b[at..at + 4].try_into().unwrap());
    let mut output = vec![];
    while !bytes.is_empty() {
        let length = u32_at(bytes, 4) as usize;
        let count = u32_at(bytes, 8);
        let (mut body, rest) = bytes[12..].split_at(length);
        let mut records = vec![];
        while !body.is_empty() {
            let length = u32_at(body, 1) as usize;
            records.push(Record {
                code: body[0],
                fields: body[5..5 + length].to_vec(),
            });
            body = &body[5 + length..];
        }
        assert_eq!(records.len(), count as usize);
        output.push(records);
        bytes = rest;
    }
    output
}

#[test]
fn empty_frame_or_input_succeeds() {
    let output = run(&frame(1, 240.0, &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0]);
    assert!(run(&[]).status.success());
}

#[test]
fn write_is_sent_to_primary_of_latest_endpoint_table() {
    let first = table(3, &[row(5, Role::Primary), row(6, Role::Replica)]);
    let second = table(3, &[row(8, Role::Primary), row(9, Role::Replica)]);
    let records = [
        select_instance(4),
        attach(SETTINGS),
        first,
        update(3, 3),
        second,
        select_instance(7),
        attach(SETTINGS),
        update(3, 3),
        request(12, 1),
    ];
    let mut input = frame(1, 5000.0, &records);
    input.extend(frame(2, 5005.0, &[select_instance(4), request(13, 1)]));
    let output = run(&input);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let mut selected = 0;
    let mut sends = vec![];
    for Record { code, fields } in replies(&output.stdout).into_iter().flatten() {
        match code {
            66 => selected = fields[3],
            70 => sends.push((selected, fields[7], fields[11])),
            _ => {}
        }
    }
    assert_eq!(
        sends,
        [(7, 12, 8), (4, 13, 5)],
        "instance, request, endpoint"
    );
}

#[test]
fn invalid_settings_crash_report_names_key_and_value() {
    let missing = SETTINGS.replace("limits.max-attempts=10\n", "");
    let wrong = SETTINGS.replace("membership-mode=push", "membership-mode=shout");
    for (text, key, value) in [
        (missing, "limits.max-attempts", "missing"),
        (wrong, "membership-mode", "shout"),
    ] {
        let output = run(&frame(1, 5000.0, &[select_instance(4), attach(&text)]));
        let records = replies(&output.stdout).remove(0);
        let Record { code, fields } = &records[1];
        let report = String::from_utf8_lossy(&fields[2..]);
        assert!(
            *code == 71 && report.contains(key) && report.contains(value),
            "{code} {report}"
        );
    }
}

#[test]
fn unknown_settings_are_ignored() {
    let text = format!("{SETTINGS}some.new-key=7\n");
    let output = run(&frame(1, 5000.0, &[select_instance(4), attach(&text)]));
    assert!(output.status.success());
    assert!(
        replies(&output.stdout)[0]
            .iter()
            .all(|record| record.code != 71)
    );
}

#[test]
fn malformed_input_fails_with_message() {
    let complete = frame(6, 5000.0, &[select_instance(4), attach(SETTINGS)]);
    let mut long = frame(6, 5000.0, &[select_instance(4)]);
    long[4..8].copy_from_slice(&u32::MAX.to_be_bytes());
    let mut overrun = select_instance(4);
    overrun[4] = 200;
    let cases = [
        (complete[..9].to_vec(), "header"),
        (complete[..40].to_vec(), "frame 6"),
        (long, "frame 6"),
        (frame(6, 5000.0, &[overrun]), "frame 6"),
        (frame(6, 5000.0, &[record(99, &[])]), "unknown code"),
        (
            frame(
                6,
                5000.0,
                &[select_instance(4), attach(SETTINGS), update(0, 9)],
            ),
            "no table 9",
        ),
        (
            frame(
                6,
                5000.0,
                &[select_instance(4), attach(SETTINGS), update(8, 9)],
            ),
            "unknown kind",
        ),
        (frame(6, 5000.0, &[request(1, 1)]), "no instance"),
        (
            frame(6, 5000.0, &[select_instance(4), request(1, 1)]),
            "never attached",
        ),
        (
            frame(
                6,
                5000.0,
                &[select_instance(4), attach(SETTINGS), request(1, 9)],
            ),
            "class 9",
        ),
        (frame(6, f64::NAN, &[]), "frame 6"),
    ];
    for (input, message) in cases {
        let output = run(&input);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && stderr.contains(message),
            "wanted {message:?}, got {stderr:?}"
        );
    }
}

#[test]
fn stopped_instance_restarts_without_earlier_requests() {
    let stop = record(10, &[]);
    let list = table(0, &[row(5, Role::Primary)]);
    let records = [
        select_instance(4),
        attach(SETTINGS),
        list,
        update(3, 0),
        request(1, 1),
        stop,
        attach(SETTINGS),
        update(3, 0),
    ];
    let mut input = frame(1, 5000.0, &records);
    input.extend(frame(2, 6000.0, &[select_instance(4), request(2, 1)]));
    let output = run(&input);
    let sent: Vec<u8> = replies(&output.stdout)
        .iter()
        .flatten()
        .filter(|record| record.code == 70)
        .map(|record| record.fields[7])
        .collect();
    assert_eq!(sent, [2]);
}
