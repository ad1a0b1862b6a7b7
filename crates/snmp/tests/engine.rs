//! The engine, tested through datagrams: versions, users, views, walks, limits, malformed messages.

mod support;

use proptest::prelude::*;
use rstest::rstest;
use support::*;
use valehatch_snmp::engine::Stat;
use valehatch_snmp::message::{self, AUTH, PRIV};
use valehatch_snmp::snapshot::Value;

const USM: [u32; 9] = [1, 3, 6, 1, 6, 3, 15, 1, 1];

fn enterprise_oid(more: &[u32]) -> Vec<u32> {
    [&ROOT[..], &[1], more].concat()
}

fn text(t: &str) -> Value {
    Value::OctetString(t.as_bytes().to_vec())
}

/// Encodes a text in an index: its length, then its bytes.
fn index(t: &str) -> Vec<u32> {
    std::iter::once(u32::try_from(t.len()).unwrap())
        .chain(t.bytes().map(u32::from))
        .collect()
}

#[test]
fn full_walk_is_ordered_and_contains_every_object() {
    let mut agent = AgentFixture::new(snmp(""), 1, 5);
    let all = agent.walk(&[1, 3, 6, 1], 30, |_| ());
    assert!(all.windows(2).all(|w| w[0].0 < w[1].0));
    let has_object = |name: &[u32]| all.iter().any(|(n, _)| n.starts_with(name));
    for group in valehatch_snmp::schema::SCALAR_GROUPS {
        let base = match group.parent {
            valehatch_snmp::schema::Parent::Standard(oid) => oid.to_vec(),
            valehatch_snmp::schema::Parent::Enterprise(subid) => enterprise_oid(&[subid]),
        };
        for object in group.objects {
            assert!(
                has_object(&[&base[..], &[object.subid, 0]].concat()),
                "{}",
                object.name
            );
        }
    }
    for table in valehatch_snmp::schema::TABLES
        .iter()
        .filter(|t| t.name != "vhReceiver")
    {
        for column in table.columns {
            assert!(
                has_object(&enterprise_oid(&[table.subid, 1, column.subid])),
                "{}{}",
                table.name,
                column.name
            );
        }
    }
    let member = enterprise_oid(&[14, 1, 3]);
    assert_eq!(
        all.iter().filter(|(n, _)| n.starts_with(&member)).count(),
        8,
        "of both fronts"
    );
    // Values that do not change while the agent is queried: not those of the front table.
    for (name, value) in all
        .iter()
        .filter(|(n, _)| n.starts_with(&ROOT) && (2..=14).contains(&n[11]))
    {
        if name[11] != 2 {
            assert_eq!(agent.get(name), *value, "{name:?}");
        }
    }
}

#[rstest]
#[case(&[1, 3, 6, 1, 2, 1, 1, 9, 0], Value::NoSuchObject)]
#[case(&[1, 3, 6, 1, 2, 1, 1, 5], Value::NoSuchInstance)]
#[case(&[1, 3, 6, 1, 2, 1, 1, 5, 1], Value::NoSuchInstance)]
#[case(&[1, 3, 6, 1, 2, 1, 1, 5, 0], text("test"))]
#[case(&[1, 3, 6, 1, 6, 3, 10, 2, 1, 2, 0], Value::Integer(4))]
#[case(&[2, 5], Value::NoSuchObject)]
fn get_returns_value_or_exception(#[case] name: &[u32], #[case] wanted: Value) {
    assert_eq!(AgentFixture::new(snmp(""), 4, 1).get(name), wanted);
}

#[test]
fn row_index_is_front_and_name_independent_of_file_order() {
    let mut agent = AgentFixture::new(snmp(""), 1, 2);
    let name = [enterprise_oid(&[14, 1, 3]), index("bb"), vec![2]].concat();
    assert_eq!(agent.get(&name), text("member-2"));
    let ended = [enterprise_oid(&[3, 1, 3]), index("a"), index("read")].concat();
    assert_eq!(agent.get(&ended), Value::Counter64(0));
    let primary = [enterprise_oid(&[13, 1, 4]), index("a"), vec![1]].concat();
    assert_eq!(agent.get(&primary), text("member-1"));
    let allowance = [enterprise_oid(&[8, 1, 12]), index("a"), index("acme")].concat();
    assert_eq!(agent.get(&allowance), Value::Gauge32(10_000));
}

#[test]
fn walk_is_served_from_one_snapshot_while_state_changes() {
    let mut agent = AgentFixture::new(snmp(""), 1, 50);
    let mut turn = 0;
    // After each datagram other endpoints are listed, under other names.
    let rows = agent.walk(&enterprise_oid(&[14]), 7, |agent| {
        turn += 1;
        let mut live = live((1..=50).filter(|n| n % 2 == turn % 2));
        live.endpoints
            .iter_mut()
            .for_each(|m| m.name = format!("other-{turn}").into());
        agent.publish(0, live);
        agent.advance_past_cache();
    });
    assert!(turn > 20);
    let of = |column: u32| {
        let begin = [enterprise_oid(&[14, 1, column]), index("bb")].concat();
        rows.iter()
            .filter(|(n, _)| n.starts_with(&begin))
            .cloned()
            .collect::<Vec<_>>()
    };
    let names = of(3);
    assert_eq!(names.len(), 50);
    for (name, value) in &names {
        assert_eq!(*value, text(&format!("member-{}", name.last().unwrap())));
    }
    assert!(
        (4..=12).all(|column| of(column).len() == 50),
        "every column has all rows"
    );
    let again = agent.walk(&enterprise_oid(&[14, 1, 3]), 30, |_| ());
    assert!(
        again
            .iter()
            .any(|(_, v)| *v == text(&format!("other-{turn}"))),
        "a new walk begins on a new snapshot"
    );
}

#[test]
fn getnext_walk_continues_after_endpoint_is_removed() {
    let mut agent = AgentFixture::new(snmp(""), 1, 9);
    let column = [enterprise_oid(&[14, 1, 3]), index("bb")].concat();
    let mut last = column.clone();
    let mut seen = vec![];
    for step in 0..9 {
        let answer = agent.query(Operation::GetNext, &[last.clone()]);
        last.clone_from(&answer.bindings[0].0);
        seen.push(*last.last().unwrap());
        agent.publish(0, live((1..=9).filter(|n| *n > step + 2)));
        // A silence that ends the walk: its snapshot is dropped, and the remaining rows follow.
        agent.now += if step == 4 { 6_000_000 } else { 1000 };
    }
    assert_eq!(seen[..5], [1, 2, 3, 4, 5]);
    assert!(
        seen[5..].is_sorted() && last.starts_with(&enterprise_oid(&[14, 1, 3]))
            || last.starts_with(&enterprise_oid(&[14, 1, 4]))
    );
}

#[test]
fn response_size_and_request_bindings_are_limited() {
    let mut agent = AgentFixture::new(
        snmp("[snmp.limits]\nmax-size = 600\nmax-bindings = 8\n"),
        1,
        100,
    );
    let answer = agent.query(Operation::GetBulk(0, u32::MAX), &[enterprise_oid(&[14])]);
    assert!(
        answer.size <= 600 && answer.bindings.len() > 3,
        "{}",
        answer.size
    );
    let many = vec![vec![1, 3, 6, 1, 2, 1, 1, 1, 0]; 9];
    let answer = agent.query(Operation::Get, &many);
    assert_eq!((answer.error, answer.bindings.len()), (1, 0), "tooBig");
    assert_eq!(agent.shared.stats.get(Stat::TooManyBindings), 1);
    let long = agent.query(
        Operation::Get,
        &vec![[enterprise_oid(&[14]), vec![u32::MAX; 60]].concat(); 8],
    );
    assert_eq!((long.error, long.bindings.len()), (1, 0));
    assert_eq!(
        agent
            .query(Operation::GetBulk(1, 0), &[vec![1, 3], vec![1, 3]])
            .bindings
            .len(),
        1
    );
    assert_eq!(agent.query(Operation::Get, &[]).bindings.len(), 0);
    let end = agent.query(Operation::GetBulk(0, 5), &[vec![2, 100]]);
    assert_eq!(end.bindings, [(vec![2, 100], Value::EndOfMibView)]);
}

#[test]
fn set_is_refused_with_not_writable() {
    let mut agent = AgentFixture::new(snmp(""), 1, 1);
    let answer = agent.query(Operation::Set, &[vec![1, 3, 6, 1, 2, 1, 1, 6, 0]]);
    assert_eq!((answer.error, answer.index), (17, 1));
    let with = V3Sender::user("plain", 1);
    let answer = agent
        .v3(
            &with,
            request(Operation::Set, 5, &[vec![1, 3, 6, 1, 2, 1, 1, 6, 0]]),
        )
        .unwrap()
        .answer;
    assert_eq!((answer.error, answer.id), (17, 5));
}

#[test]
fn unauthorized_v2c_message_is_dropped_and_counted() {
    let mut agent = AgentFixture::new(
        snmp("[[snmp.community]]\nname = \"far\"\nfrom = [\"10.0.0.0/8\"]\n"),
        1,
        1,
    );
    let get = || request(Operation::Get, 1, &[vec![1, 3, 6, 1, 2, 1, 1, 5, 0]]);
    assert!(agent.v2c(b"wrong", get()).is_none());
    assert!(agent.v2c(b"far", get()).is_none());
    let trap = message::notification(false, 1, vec![]);
    assert!(agent.v2c(b"stays", trap).is_none());
    let stats = &agent.shared.stats;
    let counted = [
        Stat::BadCommunityNames,
        Stat::BadSources,
        Stat::UnknownPduHandlers,
    ]
    .map(|s| stats.get(s));
    assert_eq!(
        (counted, stats.get(Stat::InPkts), stats.get(Stat::Answered)),
        ([1; 3], 3, 0)
    );
}

#[test]
fn view_shows_only_its_subtrees() {
    let more = "[[snmp.view]]\nname = \"few\"\ninclude = [\"1.3.6.1.2.1.1\", \"1.3.6.1.4.1.8072.9999.9999.5739.1.14.1.3\"]\n\
        exclude = [\"1.3.6.1.2.1.1.4\"]\n[[snmp.community]]\nname = \"few\"\nview = \"few\"\n";
    let mut agent = AgentFixture::new(snmp(more), 1, 2);
    let (mut seen, mut last) = (vec![], vec![1, 3]);
    for id in 0..30 {
        agent.advance_past_cache();
        let answer = agent
            .v2c(b"few", request(Operation::GetNext, id, &[last.clone()]))
            .unwrap();
        let (name, value) = answer.bindings[0].clone();
        if value == Value::EndOfMibView {
            break;
        }
        last.clone_from(&name);
        seen.push(name);
    }
    let system = seen
        .iter()
        .filter(|n| n.starts_with(&[1, 3, 6, 1, 2, 1, 1]))
        .map(|n| n[7])
        .collect::<Vec<_>>();
    assert_eq!(system, [1, 2, 3, 5, 6, 7]);
    assert_eq!(seen.len(), 6 + 5, "six scalars, and the endpoints' names");
    let hidden = agent
        .v2c(
            b"few",
            request(Operation::Get, 1, &[vec![1, 3, 6, 1, 2, 1, 1, 4, 0]]),
        )
        .unwrap();
    assert_eq!(hidden.bindings[0].1, Value::NoSuchObject);
}

#[test]
fn discovery_then_request_is_answered_at_its_security_level() {
    let mut agent = AgentFixture::new(snmp(""), 9, 1);
    let get = || request(Operation::Get, 3, &[vec![1, 3, 6, 1, 2, 1, 1, 5, 0]]);
    // RFC 3414, section 4: discovery, first the engine, then its boots and time.
    let none = V3Sender {
        engine: vec![],
        context: vec![],
        auth: None,
        privacy: None,
        ..V3Sender::user("secret", 0)
    };
    let found = agent.v3(&V3Sender { user: "", ..none }, get()).unwrap();
    assert_eq!(
        (
            hex::encode(&found.engine).as_str(),
            found.engine_time.0,
            found.flags
        ),
        (ENGINE, 9, 0)
    );
    assert_eq!(
        found.answer.bindings[0],
        ([&USM[..], &[4, 0]].concat(), Value::Counter32(1))
    );
    let late = agent
        .v3(
            &V3Sender {
                privacy: None,
                ..V3Sender::user("plain", 0)
            },
            get(),
        )
        .unwrap();
    assert_eq!(
        (late.flags, late.engine_time.0),
        (AUTH, 9),
        "authenticated, so that the sender can trust the time"
    );
    assert_eq!(late.answer.bindings[0].0, [&USM[..], &[2, 0]].concat());
    let secret = agent.v3(&V3Sender::user("secret", 9), get()).unwrap();
    assert_eq!((secret.flags, secret.answer.id), (AUTH | PRIV, 3));
    assert_eq!(secret.answer.bindings[0].1, text("test"));
    let plain = agent.v3(&V3Sender::user("plain", 9), get()).unwrap();
    assert_eq!(
        (plain.flags, &plain.answer.bindings[0].1),
        (AUTH, &text("test"))
    );
}

#[rstest]
#[case::unknown_engine(V3Sender { engine: vec![1, 2, 3, 4, 5], ..V3Sender::user("secret", 9) }, 4)]
#[case::unknown_user(V3Sender::user("nobody", 9), 3)]
#[case::no_authentication(V3Sender { auth: None, privacy: None, ..V3Sender::user("secret", 9) }, 1)]
#[case::unencrypted_for_user_with_mandatory_privacy(V3Sender { privacy: None, ..V3Sender::user("secret", 9) }, 1)]
#[case::encrypted_for_user_without_privacy(V3Sender { privacy: Some([1; 16]), ..V3Sender::user("plain", 9) }, 1)]
#[case::wrong_authentication_key(V3Sender { auth: Some([1; 32]), ..V3Sender::user("secret", 9) }, 5)]
#[case::earlier_boots(V3Sender { engine_time: (8, 0), ..V3Sender::user("secret", 9) }, 2)]
#[case::later_boots(V3Sender { engine_time: (10, 0), ..V3Sender::user("secret", 9) }, 2)]
#[case::time_outside_window(V3Sender { engine_time: (9, 152), ..V3Sender::user("secret", 9) }, 2)]
#[case::wrong_privacy_key(V3Sender { privacy: Some([1; 16]), ..V3Sender::user("secret", 9) }, 6)]
fn invalid_v3_message_is_counted_and_reported(#[case] with: V3Sender<'_>, #[case] stat: u32) {
    let mut agent = AgentFixture::new(snmp(""), 9, 1);
    let get = || request(Operation::Get, 3, &[vec![1, 3, 6, 1, 2, 1, 1, 5, 0]]);
    let report = agent.v3(&with, get()).unwrap();
    assert!(report.answer.report);
    assert_eq!(
        report.answer.bindings,
        [([&USM[..], &[stat, 0]].concat(), Value::Counter32(1))]
    );
    assert!(
        agent
            .v3(
                &V3Sender {
                    reportable: false,
                    ..with
                },
                get()
            )
            .is_none(),
        "no report without the reportable flag"
    );
    assert_eq!(
        agent.get(&[&USM[..], &[stat, 0]].concat()),
        Value::Counter32(2)
    );
}

#[test]
fn message_replayed_after_restart_is_rejected() {
    let message = V3Sender::user("secret", 3).write(request(
        Operation::Get,
        1,
        &[vec![1, 3, 6, 1, 2, 1, 1, 5, 0]],
    ));
    let first = AgentFixture::new(snmp(""), 3, 1)
        .send_datagram(&message)
        .unwrap();
    assert!(!V3Response::read(&first).answer.report);
    let replayed = AgentFixture::new(snmp(""), 4, 1)
        .send_datagram(&message)
        .unwrap();
    assert_eq!(
        V3Response::read(&replayed).answer.bindings[0].0,
        [&USM[..], &[2, 0]].concat()
    );
}

#[test]
fn engine_with_maximum_boots_rejects_every_message() {
    let mut agent = AgentFixture::new(snmp(""), 2_147_483_647, 1);
    let report = agent
        .v3(
            &V3Sender::user("secret", 2_147_483_647),
            request(Operation::Get, 1, &[]),
        )
        .unwrap();
    assert!(report.answer.report);
}

#[test]
fn unknown_context_or_context_engine_is_reported() {
    let mut agent = AgentFixture::new(snmp(""), 9, 1);
    let get = || request(Operation::Get, 3, &[vec![1, 3, 6, 1, 2, 1, 1, 5, 0]]);
    let named = V3Sender {
        context_name: "x",
        ..V3Sender::user("secret", 9)
    };
    assert_eq!(
        agent.v3(&named, get()).unwrap().answer.bindings[0].0,
        [1, 3, 6, 1, 6, 3, 12, 1, 5, 0]
    );
    let other = V3Sender {
        context: vec![1; 6],
        ..V3Sender::user("secret", 9)
    };
    assert_eq!(
        agent.v3(&other, get()).unwrap().answer.bindings[0].0,
        [1, 3, 6, 1, 6, 3, 11, 2, 1, 3, 0]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_get_no_answer(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut agent = AgentFixture::new(snmp(""), 1, 1);
        prop_assert!(agent.send_datagram(&bytes).is_none());
    }

    #[test]
    fn mutated_message_does_not_panic_and_v3_gets_report_only(
        which in 0..4_usize, changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..5), cut in any::<prop::sample::Index>(), cuts in any::<bool>(),
    ) {
        let mut agent = AgentFixture::new(snmp(""), 1, 3);
        let names = [vec![1, 3, 6, 1, 2, 1, 1, 5, 0], enterprise_oid(&[14, 1, 3])];
        let original = match which {
            0 => message::encode_v2c(b"stays", request(Operation::GetBulk(1, 9), 5, &names)).unwrap(),
            1 => message::encode_v2c(b"stays", request(Operation::GetNext, 5, &names)).unwrap(),
            2 => V3Sender::user("plain", 1).write(request(Operation::Get, 5, &names)),
            _ => V3Sender::user("secret", 1).write(request(Operation::GetBulk(0, 3), 5, &names)),
        };
        let mut bytes = original.clone();
        for (at, to) in changes {
            let at = at.index(bytes.len());
            bytes[at] = to;
        }
        if cuts {
            bytes.truncate(cut.index(bytes.len()));
        }
        let answer = agent.send_datagram(&bytes);
        if let Some(answer) = &answer {
            prop_assert!(answer.len() <= 1400);
            // A changed v3 message fails authentication: only a report may answer it.
            if which >= 2 && bytes != original
                && let Some(message::Incoming::V3(secured)) = message::decode(answer) {
                    prop_assert!(secured.flags & PRIV == 0);
                    let scoped = message::scoped_pdu(&secured, None).unwrap();
                    prop_assert!(matches!(message::parse_pdu(scoped.data), message::PduContent::Report(_)));
                }
        }
    }
}
