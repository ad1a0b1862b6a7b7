//! Notifications over v3: traps under this engine's authority, informs under the receiver's.

mod support;

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use support::{ENGINE, PASSWORD, Scene, snmp};
use valehatch_snmp::message::{self, AUTH, Incoming, PRIV, Sealing};
use valehatch_snmp::notify::Notifier;
use valehatch_snmp::usm;

const THEIRS: &str = "80001f88047265636569766572";

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    socket
}

/// The kind of a notification, whichever way it is sealed.
fn kind(pdus: &rasn_snmp::v2::Pdus) -> (bool, i32, u32) {
    use rasn_snmp::v2::Pdus;
    let (inform, pdu) = match pdus {
        Pdus::InformRequest(p) => (true, &p.0),
        Pdus::Trap(p) => (false, &p.0),
        other => panic!("{other:?}"),
    };
    let named = support::value(pdu.variable_bindings[1].value.clone());
    let valehatch_snmp::picture::Value::Name(name) = named else {
        panic!("{named:?}")
    };
    (inform, pdu.request_id, *name.last().unwrap())
}

fn running(scene: &Scene, work: impl FnOnce()) {
    let stop = Arc::new(AtomicBool::new(false));
    let (shared, halt) = (Arc::clone(&scene.shared), Arc::clone(&stop));
    let thread = std::thread::spawn(move || Notifier::new(shared, halt).run());
    work();
    stop.store(true, Ordering::Relaxed);
    thread.join().unwrap();
}

#[test]
fn a_trap_is_signed_and_encrypted_by_this_engine() {
    let receiver = socket();
    let more = format!(
        "[[snmp.receiver]]\naddress = \"{}\"\nuser = \"secret\"\n",
        receiver.local_addr().unwrap()
    );
    let scene = Scene::new(snmp(&more), 6, 2);
    running(&scene, || {
        let mut datagram = [0; 4096];
        let (length, _) = receiver.recv_from(&mut datagram).unwrap();
        let Some(Incoming::V3(secured)) = message::read(&datagram[..length]) else {
            panic!()
        };
        assert_eq!(
            (hex::encode(&secured.engine).as_str(), secured.window.0),
            (ENGINE, 6)
        );
        let (auth, privacy) = support::keys();
        assert!(message::authentic(
            &datagram[..length],
            &secured.digest,
            &auth
        ));
        let scoped = message::scoped(&secured, Some(&privacy)).unwrap();
        let (inform, _, kind) = kind(&scoped.data);
        assert_eq!((inform, kind), (false, 1), "it has started");
    });
}

#[test]
fn an_inform_learns_the_receivers_time_and_is_taken_once_it_is_acknowledged() {
    let receiver = socket();
    let engine = hex::decode(THEIRS).unwrap();
    let auth = usm::localize(PASSWORD, &engine);
    let privacy: [u8; 16] = auth[..16].try_into().unwrap();
    let more = format!(
        "[[snmp.receiver]]\naddress = \"{}\"\nkind = \"inform\"\nuser = \"office\"\nengine-id = \"{THEIRS}\"\n\
         auth-key = \"{}\"\npriv-key = \"{}\"\ntimeout-ms = 60000\n",
        receiver.local_addr().unwrap(),
        hex::encode(auth),
        hex::encode(privacy)
    );
    let scene = Scene::new(snmp(&more), 6, 2);
    // Groups that have not changed: the start is all there is to tell.
    for front in 0..2 {
        let mut board = support::live(1..=2);
        board.groups[0].changes = 1;
        scene.publish(front, board);
    }
    running(&scene, || {
        let window = (3, 5000);
        let seal = |id, flags: u8| Sealing {
            id,
            max_size: 1400,
            reportable: false,
            engine: &engine,
            window,
            user: b"office",
            auth: Some(&auth),
            privacy: (flags & PRIV != 0).then_some((&privacy, [5; 8])),
        };
        let mut datagram = [0; 4096];
        let mut next = || {
            let (length, from) = receiver.recv_from(&mut datagram).unwrap();
            let bytes = datagram[..length].to_vec();
            let Some(Incoming::V3(secured)) = message::read(&bytes) else {
                panic!()
            };
            assert!(
                secured.flags & AUTH != 0 && message::authentic(&bytes, &secured.digest, &auth)
            );
            (secured, from)
        };
        let began = Instant::now();
        // Nothing is known of this engine yet: the first one is out of its time window, and told so.
        let (first, from) = next();
        assert_eq!(
            (hex::encode(&first.engine).as_str(), first.window),
            (THEIRS, (0, 0))
        );
        let name = [1, 3, 6, 1, 6, 3, 15, 1, 1, 2, 0];
        // One that is not signed by the receiver teaches nothing.
        let forged = Sealing {
            auth: Some(&[1; 32]),
            window: (9, 9),
            ..seal(first.id, 0)
        };
        let report = || message::report(0, &name, 1);
        receiver
            .send_to(
                &message::write_v3(&forged, &engine, b"", report()).unwrap(),
                from,
            )
            .unwrap();
        receiver
            .send_to(
                &message::write_v3(&seal(first.id, 0), &engine, b"", report()).unwrap(),
                from,
            )
            .unwrap();
        let (second, from) = next();
        assert_eq!((second.id, second.window.0), (first.id, 3));
        assert!(
            (5000..5010).contains(&second.window.1) && began.elapsed() < Duration::from_secs(9),
            "at once"
        );
        let scoped = message::scoped(&second, Some(&privacy)).unwrap();
        let (inform, id, kind) = kind(&scoped.data);
        assert_eq!((inform, kind), (true, 1));
        let answer = message::write_v3(
            &seal(second.id, PRIV),
            &engine,
            b"",
            message::response(id, 0, 0, vec![]),
        );
        receiver.send_to(&answer.unwrap(), from).unwrap();
        let end = Instant::now() + Duration::from_secs(10);
        while scene.shared.receivers.load()[0].2.acknowledged == 0 {
            assert!(Instant::now() < end, "it was never acknowledged");
            std::thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(scene.shared.receivers.load()[0].1, 0, "nothing waits");
    });
}
