//! Which new requests are shed under overload.

mod support;

use support::*;
use valehatch_policy::*;

const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn few_slow_responses_shed_nothing() {
    // One response in six takes all of its latency objective, the others take a twelfth of it. The
    // mean is 0.25, but the mean of ten responses is often above 0.4.
    let mut cfg = settings();
    cfg.routers = 300;
    let mut rejected = 0;
    for seed in 0..20 {
        let mut script = Script::group_seeded(cfg.clone(), 9, 1, seed);
        for id in 1..=300 {
            script.request(id, EVENTUAL);
            rejected += usize::from(script.rejected(id));
            // From time to time, three slow responses follow one another.
            script.advance(if (id + seed * 5) % 18 < 3 { 600 } else { 50 });
            let end = script
                .sent_to(id)
                .and_then(|_| script.end_event(id, Outcome::Ok, REPLICA, None));
            script.step(&end.into_iter().collect::<Vec<_>>());
        }
    }
    assert!(rejected < 30, "{rejected} of 6000 requests rejected");
}

#[test]
fn slow_responses_shed_low_priority_first() {
    let rejected = |latency: i64| {
        let mut cfg = settings();
        cfg.routers = 300;
        cfg.classes[BOUNDED.0].consistency = Consistency::Eventual;
        cfg.classes[BOUNDED.0].priority_weight = 4.0;
        let mut script = Script::group(cfg, 9, 1);
        let mut shed = [0, 0];
        for id in 1..=400 {
            let high_priority = usize::from(id % 2 == 0);
            script.request(
                id,
                if high_priority == 1 {
                    BOUNDED
                } else {
                    EVENTUAL
                },
            );
            shed[high_priority] += usize::from(script.rejected(id));
            script.advance(latency);
            if script.sent_to(id).is_some() && !script.answers.contains_key(&RequestId(id)) {
                script.end(id, Outcome::Ok, REPLICA);
            }
        }
        shed
    };
    assert_eq!(rejected(50), [0, 0]);
    let [low, high] = rejected(520);
    assert!(
        low > 60 && high * 2 < low,
        "shed: {low} requests of low and {high} of high priority"
    );
}
