//! Which new requests are shed under overload.

mod support;

use support::*;
use valehatch_policy::*;

const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn few_slow_responses_shed_nothing() {
    // One response in six takes all of its latency objective, the others a twelfth: the mean is
    // 0.25, but over ten of them often above 0.4.
    let mut cfg = settings();
    cfg.routers = 300;
    let mut rejected = 0;
    for seed in 0..20 {
        let mut script = Script::group_seeded(cfg.clone(), 9, 1, seed);
        for id in 1..=300 {
            script.request(id, EVENTUAL);
            rejected += usize::from(script.rejected(id));
            // Three slow ones one after the other, now and then.
            script.advance(if (id + seed * 5) % 18 < 3 { 600 } else { 50 });
            let end = script
                .sent_to(id)
                .and_then(|_| script.end_event(id, Outcome::Ok, REPLICA, None));
            script.step(&end.into_iter().collect::<Vec<_>>());
        }
    }
    assert!(rejected < 30, "{rejected} of 6000");
}

#[test]
fn slow_responses_shed_low_priority_first() {
    let rejected = |latency: i64| {
        let mut cfg = settings();
        cfg.routers = 300;
        cfg.classes[BOUNDED.0].consistency = Consistency::Eventual;
        cfg.classes[BOUNDED.0].priority_weight = 4.0;
        let mut script = Script::group(cfg, 9, 1);
        let mut at_once = [0, 0];
        for id in 1..=400 {
            let dear = usize::from(id % 2 == 0);
            script.request(id, if dear == 1 { BOUNDED } else { EVENTUAL });
            at_once[dear] += usize::from(script.rejected(id));
            script.advance(latency);
            if script.sent_to(id).is_some() && !script.answers.contains_key(&RequestId(id)) {
                script.end(id, Outcome::Ok, REPLICA);
            }
        }
        at_once
    };
    assert_eq!(rejected(50), [0, 0]);
    let [cheap, dear] = rejected(520);
    assert!(cheap > 60 && dear * 2 < cheap, "{cheap} {dear}");
}
