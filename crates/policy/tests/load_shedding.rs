//! Which new requests are shed under overload.

mod support;

use support::*;
use valehatch_policy::*;

const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn few_slow_responses_shed_nothing() {
    // One answer in six takes all of its aim, the others a twelfth: the mean is 0.25, over ten of them often beyond 0.4.
    let mut cfg = settings();
    cfg.routers = 300;
    let mut refused = 0;
    for seed in 0..20 {
        let mut s = Script::group_seeded(cfg.clone(), 9, 1, seed);
        for id in 1..=300 {
            s.request(id, ANY);
            refused += usize::from(s.refused(id));
            // Three slow ones one after the other, now and then.
            s.run(if (id + seed * 5) % 18 < 3 { 600 } else { 50 });
            let end = s
                .at(id)
                .and_then(|_| s.ended(id, Outcome::Ok, REPLICA, None));
            s.step(&end.into_iter().collect::<Vec<_>>());
        }
    }
    assert!(refused < 30, "{refused} of 6000");
}

#[test]
fn slow_responses_shed_low_priority_first() {
    let refused = |latency: i64| {
        let mut cfg = settings();
        cfg.routers = 300;
        cfg.classes[BOUNDED.0].consistency = Consistency::Eventual;
        cfg.classes[BOUNDED.0].priority_weight = 4.0;
        let mut s = Script::group(cfg, 9, 1);
        let mut at_once = [0, 0];
        for id in 1..=400 {
            let dear = usize::from(id % 2 == 0);
            s.request(id, if dear == 1 { BOUNDED } else { ANY });
            at_once[dear] += usize::from(s.refused(id));
            s.run(latency);
            if s.at(id).is_some() && !s.answers.contains_key(&RequestId(id)) {
                s.end(id, Outcome::Ok, REPLICA);
            }
        }
        at_once
    };
    assert_eq!(refused(50), [0, 0]);
    let [cheap, dear] = refused(520);
    assert!(cheap > 60 && dear * 2 < cheap, "{cheap} {dear}");
}
