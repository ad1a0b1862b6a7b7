//! Notifications over SNMPv3: this engine is authoritative for traps, the receiver's for informs.

mod support;

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use support::{AgentFixture, ENGINE, PASSWORD, snmp};
use valehatch_snmp::message::{self, AUTH, Incoming, PRIV, V3Security};
use valehatch_snmp::notify::Notifier;
use valehatch_snmp::usm;

const RECEIVER_ENGINE: &str = "80001f88047265636569766572";

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    socket
}

/// Returns whether a notification is an inform, its request-id and its kind.
fn kind(pdus: &rasn_snmp::v2::Pdus) -> (bool, i32, u32) {
    use rasn_snmp::v2::Pdus;
    let (inform, pdu) = match pdus {
        Pdus::InformRequest(p) => (true, &p.0),
        Pdus::Trap(p) => (false, &p.0),
        other => panic!("{other:?}"),
    };
    let named = support::value(pdu.variable_bindings[1].value.clone());
    let valehatch_snmp::snapshot::Value::ObjectIdentifier(name) = named else {
        panic!("{named:?}")
    };
    (inform, pdu.request_id, *name.last().unwrap())
}

fn with_notifier(agent: &AgentFixture, work: impl FnOnce()) {
    let stop = Arc::new(AtomicBool::new(false));
    let (shared, notifier_stop) = (Arc::clone(&agent.shared), Arc::clone(&stop));
    let thread = std::thread::spawn(move || Notifier::new(shared, notifier_stop).run());
    work();
    stop.store(true, Ordering::Relaxed);
    thread.join().unwrap();
}

#[test]
fn trap_is_authenticated_and_encrypted_for_sender_engine() {
    let receiver = socket();
    let more = format!(
        "[[snmp.receiver]]\naddress = \"{}\"\nuser = \"secret\"\n",
        receiver.local_addr().unwrap()
    );
    let agent = AgentFixture::new(snmp(&more), 6, 2);
    with_notifier(&agent, || {
        let mut datagram = [0; 4096];
        let (length, _) = receiver.recv_from(&mut datagram).unwrap();
        let Some(Incoming::V3(secured)) = message::decode(&datagram[..length]) else {
            panic!()
        };
        assert_eq!(
            (hex::encode(&secured.engine).as_str(), secured.engine_time.0),
            (ENGINE, 6)
        );
        let (auth, privacy) = support::keys();
        assert!(message::has_valid_digest(
            &datagram[..length],
            &secured.digest,
            &auth
        ));
        let scoped = message::scoped_pdu(&secured, Some(&privacy)).unwrap();
        let (inform, _, kind) = kind(&scoped.data);
        assert_eq!(
            (inform, kind),
            (false, 1),
            "the first trap reports the start"
        );
    });
}

#[test]
fn inform_is_resent_with_reported_engine_time_until_acknowledged() {
    let receiver = socket();
    let engine = hex::decode(RECEIVER_ENGINE).unwrap();
    let auth = usm::localize(PASSWORD, &engine);
    let privacy: [u8; 16] = auth[..16].try_into().unwrap();
    let more = format!(
        "[[snmp.receiver]]\naddress = \"{}\"\nkind = \"inform\"\nuser = \"office\"\nengine-id = \"{RECEIVER_ENGINE}\"\n\
         auth-key = \"{}\"\npriv-key = \"{}\"\ntimeout-ms = 60000\n",
        receiver.local_addr().unwrap(),
        hex::encode(auth),
        hex::encode(privacy)
    );
    let agent = AgentFixture::new(snmp(&more), 6, 2);
    // No group's primary has changed, so that the start is the only notification.
    for front in 0..2 {
        let mut core_snapshot = support::live(1..=2);
        core_snapshot.groups[0].changes = 1;
        agent.publish(front, core_snapshot);
    }
    with_notifier(&agent, || {
        let engine_time = (3, 5000);
        let security = |id, flags: u8| V3Security {
            id,
            max_size: 1400,
            reportable: false,
            engine: &engine,
            engine_time,
            user: b"office",
            auth: Some(&auth),
            privacy: (flags & PRIV != 0).then_some((&privacy, [5; 8])),
        };
        let mut datagram = [0; 4096];
        let mut next = || {
            let (length, from) = receiver.recv_from(&mut datagram).unwrap();
            let bytes = datagram[..length].to_vec();
            let Some(Incoming::V3(secured)) = message::decode(&bytes) else {
                panic!()
            };
            assert!(
                secured.flags & AUTH != 0
                    && message::has_valid_digest(&bytes, &secured.digest, &auth)
            );
            (secured, from)
        };
        let began = Instant::now();
        // The receiver's time is not known yet: the first inform is outside its time window, which
        // the receiver reports.
        let (first, from) = next();
        assert_eq!(
            (hex::encode(&first.engine).as_str(), first.engine_time),
            (RECEIVER_ENGINE, (0, 0))
        );
        let name = [1, 3, 6, 1, 6, 3, 15, 1, 1, 2, 0];
        // A report with a wrong digest must not set the time.
        let forged = V3Security {
            auth: Some(&[1; 32]),
            engine_time: (9, 9),
            ..security(first.id, 0)
        };
        let report = || message::report(0, &name, 1);
        receiver
            .send_to(
                &message::encode_v3(&forged, &engine, b"", report()).unwrap(),
                from,
            )
            .unwrap();
        receiver
            .send_to(
                &message::encode_v3(&security(first.id, 0), &engine, b"", report()).unwrap(),
                from,
            )
            .unwrap();
        let (second, from) = next();
        assert_eq!((second.id, second.engine_time.0), (first.id, 3));
        assert!(
            (5000..5010).contains(&second.engine_time.1)
                && began.elapsed() < Duration::from_secs(9),
            "resent at once with the reported time"
        );
        let scoped = message::scoped_pdu(&second, Some(&privacy)).unwrap();
        let (inform, id, kind) = kind(&scoped.data);
        assert_eq!((inform, kind), (true, 1));
        let answer = message::encode_v3(
            &security(second.id, PRIV),
            &engine,
            b"",
            message::response(id, 0, 0, vec![]),
        );
        receiver.send_to(&answer.unwrap(), from).unwrap();
        let end = Instant::now() + Duration::from_secs(10);
        while agent.shared.receivers.load()[0].2.acknowledged == 0 {
            assert!(
                Instant::now() < end,
                "the inform was not acknowledged within 10 s"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(agent.shared.receivers.load()[0].1, 0, "the queue is empty");
    });
}
