//! The engine by datagrams: versions, users, views, walks, limits, and bytes that mean nothing.

mod support;

use proptest::prelude::*;
use rstest::rstest;
use support::*;
use valehatch_snmp::engine::Stat;
use valehatch_snmp::message::{self, AUTH, PRIV};
use valehatch_snmp::picture::Value;

const USM: [u32; 9] = [1, 3, 6, 1, 6, 3, 15, 1, 1];

fn own(more: &[u32]) -> Vec<u32> {
    [&ROOT[..], &[1], more].concat()
}

fn text(t: &str) -> Value {
    Value::Bytes(t.as_bytes().to_vec())
}

/// The index of a text.
fn index(t: &str) -> Vec<u32> {
    std::iter::once(u32::try_from(t.len()).unwrap())
        .chain(t.bytes().map(u32::from))
        .collect()
}

#[test]
fn a_walk_of_everything_is_in_order_and_has_every_object() {
    let mut scene = Scene::new(snmp(""), 1, 5);
    let all = scene.walk(&[1, 3, 6, 1], 30, |_| ());
    assert!(all.windows(2).all(|w| w[0].0 < w[1].0));
    let some = |name: &[u32]| all.iter().any(|(n, _)| n.starts_with(name));
    for scalars in valehatch_snmp::schema::SCALARS {
        let under = match scalars.at {
            valehatch_snmp::schema::At::Other(oid) => oid.to_vec(),
            valehatch_snmp::schema::At::Own(arc) => own(&[arc]),
        };
        for object in scalars.objects {
            assert!(
                some(&[&under[..], &[object.arc, 0]].concat()),
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
                some(&own(&[table.arc, 1, column.arc])),
                "{}{}",
                table.name,
                column.name
            );
        }
    }
    let member = own(&[14, 1, 3]);
    assert_eq!(
        all.iter().filter(|(n, _)| n.starts_with(&member)).count(),
        8,
        "of both fronts"
    );
    // What stands still while the agent is asked.
    for (name, value) in all
        .iter()
        .filter(|(n, _)| n.starts_with(&ROOT) && (2..=14).contains(&n[11]))
    {
        if name[11] != 2 {
            assert_eq!(scene.get(name), *value, "{name:?}");
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
fn a_get_finds_exactly_what_there_is(#[case] name: &[u32], #[case] wanted: Value) {
    assert_eq!(Scene::new(snmp(""), 4, 1).get(name), wanted);
}

#[test]
fn rows_are_named_by_front_and_name_whatever_their_place_in_the_file() {
    let mut scene = Scene::new(snmp(""), 1, 2);
    let name = [own(&[14, 1, 3]), index("bb"), vec![2]].concat();
    assert_eq!(scene.get(&name), text("member-2"));
    let ended = [own(&[3, 1, 3]), index("a"), index("read")].concat();
    assert_eq!(scene.get(&ended), Value::Counter64(0));
    let primary = [own(&[13, 1, 4]), index("a"), vec![1]].concat();
    assert_eq!(scene.get(&primary), text("member-1"));
    let allowance = [own(&[8, 1, 12]), index("a"), index("acme")].concat();
    assert_eq!(scene.get(&allowance), Value::Gauge(10_000));
}

#[test]
fn a_walk_sees_one_moment_though_everything_changes_under_it() {
    let mut scene = Scene::new(snmp(""), 1, 50);
    let mut turn = 0;
    // After each datagram other members are there, and those that stay have other names.
    let rows = scene.walk(&own(&[14]), 7, |scene| {
        turn += 1;
        let mut live = live((1..=50).filter(|n| n % 2 == turn % 2));
        live.endpoints
            .iter_mut()
            .for_each(|m| m.name = format!("other-{turn}").into());
        scene.publish(0, live);
        scene.later();
    });
    assert!(turn > 20);
    let of = |column: u32| {
        let begin = [own(&[14, 1, column]), index("bb")].concat();
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
        "each row is whole"
    );
    let again = scene.walk(&own(&[14, 1, 3]), 30, |_| ());
    assert!(
        again
            .iter()
            .any(|(_, v)| *v == text(&format!("other-{turn}"))),
        "a new walk sees what is new"
    );
}

#[test]
fn a_member_that_leaves_does_not_end_a_walk_that_asks_one_by_one() {
    let mut scene = Scene::new(snmp(""), 1, 9);
    let column = [own(&[14, 1, 3]), index("bb")].concat();
    let mut last = column.clone();
    let mut seen = vec![];
    for step in 0..9 {
        let answer = scene.ask(Verb::Next, &[last.clone()]);
        last.clone_from(&answer.bindings[0].0);
        seen.push(*last.last().unwrap());
        scene.publish(0, live((1..=9).filter(|n| *n > step + 2)));
        // So long a silence that the picture is given up: the rows that are left go on all the same.
        scene.now += if step == 4 { 6_000_000 } else { 1000 };
    }
    assert_eq!(seen[..5], [1, 2, 3, 4, 5]);
    assert!(
        seen[5..].is_sorted() && last.starts_with(&own(&[14, 1, 3]))
            || last.starts_with(&own(&[14, 1, 4]))
    );
}

#[test]
fn answers_stay_within_their_size_and_requests_within_their_names() {
    let mut scene = Scene::new(
        snmp("[snmp.limits]\nmax-size = 600\nmax-bindings = 8\n"),
        1,
        100,
    );
    let answer = scene.ask(Verb::Bulk(0, u32::MAX), &[own(&[14])]);
    assert!(
        answer.size <= 600 && answer.bindings.len() > 3,
        "{}",
        answer.size
    );
    let many = vec![vec![1, 3, 6, 1, 2, 1, 1, 1, 0]; 9];
    let answer = scene.ask(Verb::Get, &many);
    assert_eq!((answer.error, answer.bindings.len()), (1, 0), "tooBig");
    assert_eq!(scene.shared.stats.get(Stat::TooMany), 1);
    let long = scene.ask(
        Verb::Get,
        &vec![[own(&[14]), vec![u32::MAX; 60]].concat(); 8],
    );
    assert_eq!((long.error, long.bindings.len()), (1, 0));
    assert_eq!(
        scene
            .ask(Verb::Bulk(1, 0), &[vec![1, 3], vec![1, 3]])
            .bindings
            .len(),
        1
    );
    assert_eq!(scene.ask(Verb::Get, &[]).bindings.len(), 0);
    let end = scene.ask(Verb::Bulk(0, 5), &[vec![2, 100]]);
    assert_eq!(end.bindings, [(vec![2, 100], Value::EndOfView)]);
}

#[test]
fn nothing_can_be_set() {
    let mut scene = Scene::new(snmp(""), 1, 1);
    let answer = scene.ask(Verb::Set, &[vec![1, 3, 6, 1, 2, 1, 1, 6, 0]]);
    assert_eq!((answer.error, answer.index), (17, 1));
    let with = Secure::user("plain", 1);
    let answer = scene
        .v3(
            &with,
            request(Verb::Set, 5, &[vec![1, 3, 6, 1, 2, 1, 1, 6, 0]]),
        )
        .unwrap()
        .answer;
    assert_eq!((answer.error, answer.id), (17, 5));
}

#[test]
fn who_may_not_ask_gets_no_answer_and_is_counted() {
    let mut scene = Scene::new(
        snmp("[[snmp.community]]\nname = \"far\"\nfrom = [\"10.0.0.0/8\"]\n"),
        1,
        1,
    );
    let get = || request(Verb::Get, 1, &[vec![1, 3, 6, 1, 2, 1, 1, 5, 0]]);
    assert!(scene.v2c(b"wrong", get()).is_none());
    assert!(scene.v2c(b"far", get()).is_none());
    let trap = message::notification(false, 1, vec![]);
    assert!(scene.v2c(b"stays", trap).is_none());
    let stats = &scene.shared.stats;
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
fn a_view_shows_its_subtrees_and_nothing_else() {
    let more = "[[snmp.view]]\nname = \"few\"\ninclude = [\"1.3.6.1.2.1.1\", \"1.3.6.1.4.1.8072.9999.9999.5739.1.14.1.3\"]\n\
        exclude = [\"1.3.6.1.2.1.1.4\"]\n[[snmp.community]]\nname = \"few\"\nview = \"few\"\n";
    let mut scene = Scene::new(snmp(more), 1, 2);
    let (mut seen, mut last) = (vec![], vec![1, 3]);
    for id in 0..30 {
        scene.later();
        let answer = scene
            .v2c(b"few", request(Verb::Next, id, &[last.clone()]))
            .unwrap();
        let (name, value) = answer.bindings[0].clone();
        if value == Value::EndOfView {
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
    assert_eq!(seen.len(), 6 + 5, "and the members' names");
    let hidden = scene
        .v2c(
            b"few",
            request(Verb::Get, 1, &[vec![1, 3, 6, 1, 2, 1, 1, 4, 0]]),
        )
        .unwrap();
    assert_eq!(hidden.bindings[0].1, Value::NoSuchObject);
}

#[test]
fn a_user_is_answered_at_its_level_and_learns_engine_and_time_first() {
    let mut scene = Scene::new(snmp(""), 9, 1);
    let get = || request(Verb::Get, 3, &[vec![1, 3, 6, 1, 2, 1, 1, 5, 0]]);
    // RFC 3414, section 4: discovery, first the engine, then its boots and time.
    let none = Secure {
        engine: vec![],
        context: vec![],
        auth: None,
        privacy: None,
        ..Secure::user("secret", 0)
    };
    let found = scene.v3(&Secure { user: "", ..none }, get()).unwrap();
    assert_eq!(
        (
            hex::encode(&found.engine).as_str(),
            found.window.0,
            found.flags
        ),
        (ENGINE, 9, 0)
    );
    assert_eq!(
        found.answer.bindings[0],
        ([&USM[..], &[4, 0]].concat(), Value::Counter32(1))
    );
    let late = scene
        .v3(
            &Secure {
                privacy: None,
                ..Secure::user("plain", 0)
            },
            get(),
        )
        .unwrap();
    assert_eq!(
        (late.flags, late.window.0),
        (AUTH, 9),
        "signed, so that the time can be believed"
    );
    assert_eq!(late.answer.bindings[0].0, [&USM[..], &[2, 0]].concat());
    let secret = scene.v3(&Secure::user("secret", 9), get()).unwrap();
    assert_eq!((secret.flags, secret.answer.id), (AUTH | PRIV, 3));
    assert_eq!(secret.answer.bindings[0].1, text("test"));
    let plain = scene.v3(&Secure::user("plain", 9), get()).unwrap();
    assert_eq!(
        (plain.flags, &plain.answer.bindings[0].1),
        (AUTH, &text("test"))
    );
}

#[rstest]
#[case::another_engine(Secure { engine: vec![1, 2, 3, 4, 5], ..Secure::user("secret", 9) }, 4)]
#[case::an_unknown_user(Secure::user("nobody", 9), 3)]
#[case::no_authentication(Secure { auth: None, privacy: None, ..Secure::user("secret", 9) }, 1)]
#[case::a_user_who_must_encrypt(Secure { privacy: None, ..Secure::user("secret", 9) }, 1)]
#[case::a_user_who_cannot(Secure { privacy: Some([1; 16]), ..Secure::user("plain", 9) }, 1)]
#[case::a_wrong_key(Secure { auth: Some([1; 32]), ..Secure::user("secret", 9) }, 5)]
#[case::boots_of_before(Secure { window: (8, 0), ..Secure::user("secret", 9) }, 2)]
#[case::boots_to_come(Secure { window: (10, 0), ..Secure::user("secret", 9) }, 2)]
#[case::a_clock_that_is_wrong(Secure { window: (9, 152), ..Secure::user("secret", 9) }, 2)]
#[case::a_wrong_key_for_encryption(Secure { privacy: Some([1; 16]), ..Secure::user("secret", 9) }, 6)]
fn each_fault_gets_its_report_and_is_counted(#[case] with: Secure<'_>, #[case] stat: u32) {
    let mut scene = Scene::new(snmp(""), 9, 1);
    let get = || request(Verb::Get, 3, &[vec![1, 3, 6, 1, 2, 1, 1, 5, 0]]);
    let report = scene.v3(&with, get()).unwrap();
    assert!(report.answer.report);
    assert_eq!(
        report.answer.bindings,
        [([&USM[..], &[stat, 0]].concat(), Value::Counter32(1))]
    );
    assert!(
        scene
            .v3(
                &Secure {
                    reportable: false,
                    ..with
                },
                get()
            )
            .is_none(),
        "to who takes no reports"
    );
    assert_eq!(
        scene.get(&[&USM[..], &[stat, 0]].concat()),
        Value::Counter32(2)
    );
}

#[test]
fn a_message_of_before_a_restart_is_not_taken_again() {
    let message =
        Secure::user("secret", 3).write(request(Verb::Get, 1, &[vec![1, 3, 6, 1, 2, 1, 1, 5, 0]]));
    let first = Scene::new(snmp(""), 3, 1).raw(&message).unwrap();
    assert!(!Secured::read(&first).answer.report);
    let replayed = Scene::new(snmp(""), 4, 1).raw(&message).unwrap();
    assert_eq!(
        Secured::read(&replayed).answer.bindings[0].0,
        [&USM[..], &[2, 0]].concat()
    );
}

#[test]
fn boots_that_are_stuck_take_nothing_any_more() {
    let mut scene = Scene::new(snmp(""), 2_147_483_647, 1);
    let report = scene
        .v3(
            &Secure::user("secret", 2_147_483_647),
            request(Verb::Get, 1, &[]),
        )
        .unwrap();
    assert!(report.answer.report);
}

#[test]
fn another_context_or_model_is_not_served() {
    let mut scene = Scene::new(snmp(""), 9, 1);
    let get = || request(Verb::Get, 3, &[vec![1, 3, 6, 1, 2, 1, 1, 5, 0]]);
    let named = Secure {
        context_name: "x",
        ..Secure::user("secret", 9)
    };
    assert_eq!(
        scene.v3(&named, get()).unwrap().answer.bindings[0].0,
        [1, 3, 6, 1, 6, 3, 12, 1, 5, 0]
    );
    let other = Secure {
        context: vec![1; 6],
        ..Secure::user("secret", 9)
    };
    assert_eq!(
        scene.v3(&other, get()).unwrap().answer.bindings[0].0,
        [1, 3, 6, 1, 6, 3, 11, 2, 1, 3, 0]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_never_panic_and_get_no_answer(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut scene = Scene::new(snmp(""), 1, 1);
        prop_assert!(scene.raw(&bytes).is_none());
    }

    #[test]
    fn mutated_messages_never_panic_and_never_pass_for_another(
        which in 0..4_usize, changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..5), cut in any::<prop::sample::Index>(), cuts in any::<bool>(),
    ) {
        let mut scene = Scene::new(snmp(""), 1, 3);
        let names = [vec![1, 3, 6, 1, 2, 1, 1, 5, 0], own(&[14, 1, 3])];
        let whole = match which {
            0 => message::write_v2c(b"stays", request(Verb::Bulk(1, 9), 5, &names)).unwrap(),
            1 => message::write_v2c(b"stays", request(Verb::Next, 5, &names)).unwrap(),
            2 => Secure::user("plain", 1).write(request(Verb::Get, 5, &names)),
            _ => Secure::user("secret", 1).write(request(Verb::Bulk(0, 3), 5, &names)),
        };
        let mut bytes = whole.clone();
        for (at, to) in changes {
            let at = at.index(bytes.len());
            bytes[at] = to;
        }
        if cuts {
            bytes.truncate(cut.index(bytes.len()));
        }
        let answer = scene.raw(&bytes);
        if let Some(answer) = &answer {
            prop_assert!(answer.len() <= 1400);
            // A changed v3 message is never answered but by a report: what is signed cannot be changed.
            if which >= 2 && bytes != whole
                && let Some(message::Incoming::V3(secured)) = message::read(answer) {
                    prop_assert!(secured.flags & PRIV == 0);
                    let scoped = message::scoped(&secured, None).unwrap();
                    prop_assert!(matches!(message::said(scoped.data), message::Said::Report(_)));
                }
        }
    }
}
