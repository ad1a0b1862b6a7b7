//! The slow-start budget of a cold member, summed over all gateways, under a virtual clock with the
//! real reducer and decision module: with retrying clients, probes, a burst, a member that
//! restarts, one that joins and one that becomes primary.

use rstest::rstest;
use valehatch_policy::Span;
use valehatch_testbed::experiment::{AdmissionMode, Experiment};
use valehatch_testbed::fleet::{Fleet, Network};
use valehatch_testbed::world::{
    ColdRequest, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, World, warm_capacity,
};

/// Mean work of a request, the same for all classes.
const WORK_MS: f64 = 40.0;

/// Capacity of a warm member, in requests per second.
fn capacity(plan: &Experiment) -> f64 {
    plan.cores as f64 * 1000.0 / WORK_MS
}

/// Cores of each member: with hundreds of gateways the load must be higher, or hardly any request
/// would reach the cold member.
const fn cores(gateways: usize) -> usize {
    if gateways < 300 { 1 } else { 4 }
}

/// The cold member and why it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ColdMember {
    /// A replica that died restarts during the burst.
    ComesBack,
    /// A new replica joins.
    Joins,
    /// The primary dies and a member that has just started succeeds it, so that all writes go to
    /// the cold member.
    IsMadePrimary,
}

/// Five members, one of them cold during a burst; the load is 0.7 of their capacity before the
/// burst and twice that in it.
fn plan(gateways: usize, cold_member: ColdMember) -> Experiment {
    let event = |at: f64, member: usize, what: &str| {
        format!("[[event]]\nat-s = {at}\nmember = {member}\nwhat = \"{what}\"\n")
    };
    let events = match cold_member {
        ColdMember::ComesBack => event(4.0, 2, "dies") + &event(9.0, 2, "starts"),
        ColdMember::Joins => event(9.0, 4, "joins"),
        // The next member becomes primary 2 s after the death.
        ColdMember::IsMadePrimary => {
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

/// Highest load of a cold member within one window: its ratio to the budget, the requests received,
/// and the budget.
fn peak_load(plan: &Experiment, cold: &[ColdRequest]) -> (f64, usize, f64) {
    let mut found = (0.0, 0, 0.0);
    let mut first = 0;
    for (last, request) in cold.iter().enumerate() {
        while request.at - cold[first].at >= OVERLOAD_WINDOW {
            first += 1;
        }
        let able = capacity(plan) * warm_capacity(request.at - request.started);
        let n = OVERLOAD_MULTIPLE * able * OVERLOAD_WINDOW.as_f64() / 1e6;
        let (got, may) = (last - first + 1, n + 2.0 * n.sqrt() + 2.0);
        if got as f64 / may > found.0 {
            found = (got as f64 / may, got, may);
        }
    }
    found
}

/// Runs a plan; `gateway_counts` sets the number of gateways that each gateway assumes.
fn run_plan(plan: &Experiment, seed: u64, gateway_counts: &[u32]) -> Vec<ColdRequest> {
    let mut world = World::new(plan, AdmissionMode::None, seed, false).unwrap();
    gateway_counts
        .iter()
        .enumerate()
        .for_each(|(gateway, routers)| world.set_gateway_count(gateway, *routers));
    world
        .run()
        .unwrap_or_else(|broken| panic!("{}", broken.rule))
        .cold
}

#[rstest]
fn all_gateways_together_stay_within_budget_of_cold_member(
    #[values(3, 30, 300)] gateways: usize,
    #[values(ColdMember::ComesBack, ColdMember::Joins, ColdMember::IsMadePrimary)]
    cold_member: ColdMember,
) {
    let plan = plan(gateways, cold_member);
    for seed in 1..=2 {
        let cold = run_plan(&plan, seed, &[]);
        let (part, got, may) = peak_load(&plan, &cold);
        println!(
            "{gateways} gateways, {cold_member:?}, seed {seed}: {} in all, {got} of {may:.0} in a window",
            cold.len()
        );
        assert!(
            cold.len() > 50,
            "only {} requests reached the cold member, too few for a verdict",
            cold.len()
        );
        assert!(
            cold_member != ColdMember::IsMadePrimary || cold.iter().any(|c| c.primary),
            "the cold member never was primary"
        );
        assert!(part <= 1.0, "{got} requests in a window, budget {may:.0}");
    }
}

/// Isolated gateways cannot count the live ones, so their membership reports the configured number.
#[rstest]
fn isolated_gateways_stay_within_budget_by_configured_number(
    #[values(3, 30, 300)] gateways: usize,
) {
    let network = Network {
        lost: 0.0,
        duplicated: 0.0,
        delay: (Span(200), Span::from_millis(20)),
    };
    let mut fleet = Fleet::new(gateways, 3, Span::from_millis(500), 8192, network, 7);
    fleet.partition((0..gateways).collect(), false);
    (0..gateways).for_each(|n| fleet.start(n, 0).unwrap());
    fleet.run(Span::from_millis(120_000), |_| false).unwrap();
    let gateway_counts: Vec<u32> = fleet
        .running()
        .map(|(_, membership)| membership.quota_divisor(valehatch_membership::Load::Overloaded))
        .collect();
    assert!(
        fleet
            .running()
            .all(|(_, membership)| membership.member_counts().live == 1),
        "each gateway knows only itself"
    );
    assert_eq!(
        gateway_counts,
        vec![u32::try_from(gateways).unwrap(); gateways]
    );
    let plan = plan(gateways, ColdMember::IsMadePrimary);
    for seed in 1..=2 {
        let (part, got, may) = peak_load(&plan, &run_plan(&plan, seed, &gateway_counts));
        assert!(part <= 1.0, "{got} requests in a window, budget {may:.0}");
    }
}

/// Control: with the same plan, gateways that each assume to be the only one exceed the budget.
#[test]
fn gateways_assuming_to_be_alone_exceed_budget() {
    let plan = plan(30, ColdMember::IsMadePrimary);
    let (part, got, may) = peak_load(&plan, &run_plan(&plan, 1, &[1; 30]));
    assert!(part > 1.0, "{got} of {may:.0}");
}
