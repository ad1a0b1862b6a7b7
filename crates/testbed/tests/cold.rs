//! The budget of a cold member over the sum of all gateways, in virtual time with the real reducer and decision module:
//! clients that come back, probes, a burst, a member that comes back, one that joins, and one that is made primary.

use rstest::rstest;
use valehatch_policy::Span;
use valehatch_testbed::experiment::{Experiment, Way};
use valehatch_testbed::fleet::{Fleet, Network};
use valehatch_testbed::world::{Cold, TIP_AFTER, TIP_MULTIPLE, World, warm_part};

/// What a warm member can do in a second: its cores by the mean work of a request, which is the same for all classes.
const WORK_MS: f64 = 40.0;

fn capacity(plan: &Experiment) -> f64 {
    plan.cores as f64 * 1000.0 / WORK_MS
}

/// Hundreds of gateways need more clients, or hardly any would meet the cold member.
const fn cores(gateways: usize) -> usize {
    if gateways < 300 { 1 } else { 4 }
}

/// Who is cold, and what for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Who {
    /// A replica that died and starts again as the burst begins.
    ComesBack,
    /// A replica that nobody had heard of.
    Joins,
    /// One that has just started is all that is left when the primary dies: writes have nowhere else to go.
    IsMadePrimary,
}

/// Five members, of which one is cold in the burst, at 0.7 of what they can do before it and twice that in it.
fn plan(gateways: usize, who: Who) -> Experiment {
    let event = |at: f64, member: usize, what: &str| {
        format!("[[event]]\nat-s = {at}\nmember = {member}\nwhat = \"{what}\"\n")
    };
    let events = match who {
        Who::ComesBack => event(4.0, 2, "dies") + &event(9.0, 2, "starts"),
        Who::Joins => event(9.0, 4, "joins"),
        // The next in order is made primary 2 s after the death.
        Who::IsMadePrimary => {
            event(4.0, 1, "dies") + &event(8.0, 1, "starts") + &event(8.1, 0, "dies")
        }
    };
    let class = |name: &str, part: f64, write: bool| {
        format!(
            "[[class]]\nname = \"{name}\"\npart = {part}\nwork-ms = {WORK_MS}\nwrite = {write}\naim-ms = 600\ndeadline-ms = 1500\nlate-worth = 0.3\n"
        )
    };
    let tenant = |name: &str, rate: f64, heeds: &str| {
        format!(
            "[[tenant]]\nname = \"{name}\"\nshare = 0.5\nrate = {rate}\nclients = 1000\nheeds = \"{heeds}\"\nburst = [8.0, 16.0, 2.0]\nallowance-per-s = {}\n",
            2.0 * rate / 1.4
        )
    };
    let cores = cores(gateways);
    let all = cores as f64 * 1000.0 / WORK_MS * 5.0;
    let text = format!(
        "name = \"cold\"\nabout = \"a cold member\"\nseconds = 20\ngateways = {gateways}\nmembers = 5\ncores = {cores}\nqueue = 64\nnet-ms = 0.5\nlag-ms = 8\nmax-hint-ms = 500\ndoors = [\"none\"]\n"
    ) + &class("read", 0.6, false)
        + &class("write", 0.4, true)
        + &tenant("hinted", 0.55 * all, "hint")
        + &tenant("hasty", 0.15 * all, "abuses")
        + &events;
    toml::from_str(&text).unwrap()
}

/// The most that a cold member got within one window, as a part of what it may get, and that window: what it got, and may.
fn most(plan: &Experiment, cold: &[Cold]) -> (f64, usize, f64) {
    let mut found = (0.0, 0, 0.0);
    let mut first = 0;
    for (last, request) in cold.iter().enumerate() {
        while request.at - cold[first].at >= TIP_AFTER {
            first += 1;
        }
        let able = capacity(plan) * warm_part(request.at - request.started);
        let n = TIP_MULTIPLE * able * TIP_AFTER.as_f64() / 1e6;
        let (got, may) = (last - first + 1, n + 2.0 * n.sqrt() + 2.0);
        if got as f64 / may > found.0 {
            found = (got as f64 / may, got, may);
        }
    }
    found
}

/// Plays a plan, each gateway told a number of gateways if there is one.
fn play(plan: &Experiment, seed: u64, told: &[u32]) -> Vec<Cold> {
    let mut world = World::new(plan, Way::None, seed, false).unwrap();
    told.iter()
        .enumerate()
        .for_each(|(gateway, routers)| world.tell_routers(gateway, *routers));
    world
        .run()
        .unwrap_or_else(|broken| panic!("{}", broken.rule))
        .cold
}

#[rstest]
fn all_gateways_together_keep_the_budget_of_a_cold_member(
    #[values(3, 30, 300)] gateways: usize,
    #[values(Who::ComesBack, Who::Joins, Who::IsMadePrimary)] who: Who,
) {
    let plan = plan(gateways, who);
    for seed in 1..=2 {
        let cold = play(&plan, seed, &[]);
        let (part, got, may) = most(&plan, &cold);
        println!(
            "{gateways} gateways, {who:?}, seed {seed}: {} in all, {got} of {may:.0} in a window",
            cold.len()
        );
        assert!(
            cold.len() > 50,
            "{} got to the cold member: nothing is shown by that",
            cold.len()
        );
        assert!(
            who != Who::IsMadePrimary || cold.iter().any(|c| c.primary),
            "it was no primary"
        );
        assert!(
            part <= 1.0,
            "{got} in a window in which {may:.0} push it over"
        );
    }
}

/// Gateways that hear nobody else do not know how many live: each goes by the configured number, as its membership says.
#[rstest]
fn gateways_that_do_not_know_how_many_live_keep_it_by_the_configured_number(
    #[values(3, 30, 300)] gateways: usize,
) {
    let network = Network {
        lost: 0.0,
        doubled: 0.0,
        delay: (Span(200), Span::from_millis(20)),
    };
    let mut fleet = Fleet::new(gateways, 3, Span::from_millis(500), 8192, network, 7);
    fleet.cut((0..gateways).collect(), false);
    (0..gateways).for_each(|n| fleet.start(n, 0).unwrap());
    fleet.run(Span::from_millis(120_000), |_| false).unwrap();
    let told: Vec<u32> = fleet
        .running()
        .map(|(_, heart)| heart.quota_divisor(valehatch_membership::Load::Overloaded))
        .collect();
    assert!(
        fleet
            .running()
            .all(|(_, heart)| heart.member_counts().live == 1),
        "each hears itself alone"
    );
    assert_eq!(told, vec![u32::try_from(gateways).unwrap(); gateways]);
    let plan = plan(gateways, Who::IsMadePrimary);
    for seed in 1..=2 {
        let (part, got, may) = most(&plan, &play(&plan, seed, &told));
        assert!(
            part <= 1.0,
            "{got} in a window in which {may:.0} push it over"
        );
    }
}

/// That the plan would show it: the same gateways, each of which takes itself for the only one.
#[test]
fn gateways_that_take_themselves_for_the_only_one_go_over() {
    let plan = plan(30, Who::IsMadePrimary);
    let (part, got, may) = most(&plan, &play(&plan, 1, &[1; 30]));
    assert!(part > 1.0, "{got} of {may:.0}");
}
