//! Shifts of traffic over time stay within their limits, although clients cache
//! answers. The baseline policy gets the same faults for comparison.

use std::fmt::Write;
use std::time::Duration;

use proptest::prelude::*;
use steer::hash::{Purpose, unit};
use steer::{
    AllAtOnce, Condition, GradualShift, PlaceView, Places, Plan, Policy, PriorityDemand,
    ShiftLimits, View,
};
use tokio::time::Instant;
use world::{DomainName, FailureDomain, Region, RegionName, Zones};

const CLIENTS: u64 = 12_000;
const TTL_S: u64 = 5;
const CAPACITY_PER_S: f64 = 1_000.0;

fn site(regions: usize, domains: usize, demand_per_s: f64) -> View {
    let region = |r: usize| Region {
        name: RegionName::new(&format!("r{r}")).expect("name"),
        domains: (0..domains)
            .map(|d| FailureDomain {
                name: DomainName::new(&format!("d{d}")).expect("name"),
            })
            .collect(),
    };
    let places = Places::new(&Zones {
        regions: (0..regions).map(region).collect(),
        links: Vec::new(),
    });
    let row = PlaceView {
        condition: Condition::Serving,
        capacity_per_s: CAPACITY_PER_S,
        demand: (0..4)
            .map(|priority| PriorityDemand {
                priority,
                rate_per_s: demand_per_s / 4.0,
            })
            .collect(),
    };
    View {
        rows: vec![row; places.len()],
        places,
    }
}

/// Clients that repeat their lookup when the cached answer has expired.
struct Clients {
    /// Place that each client uses.
    place_of: Vec<Option<usize>>,
}

impl Clients {
    /// Repeats the lookups that are due in this second and returns the rate at each
    /// place, requests per second.
    fn step(&mut self, second: u64, plan: &Plan, rate_per_s: f64) -> Vec<f64> {
        let homes = plan.homes.len();
        let mut rates = vec![0.0; homes];
        for (key, place) in (0u64..).zip(self.place_of.iter_mut()) {
            let home = usize::try_from(key).expect("small") % homes;
            // `key / 7` spreads the lookups over the lifetime of an answer.
            if (second + key / 7).is_multiple_of(TTL_S) || second == 0 {
                *place = target(key, home, plan);
            }
            if let Some(place) = place {
                rates[*place] += rate_per_s;
            }
        }
        rates
    }
}

fn target(key: u64, home: usize, plan: &Plan) -> Option<usize> {
    let row = &plan.homes[home];
    if unit(key, Purpose::Shift) < row.kept {
        return Some(home);
    }
    let placed: f64 = row.shifted.iter().map(|s| s.rate_per_s).sum();
    let mut point = unit(key, Purpose::Target) * (placed + row.refused_per_s);
    for shifted in &row.shifted {
        point -= shifted.rate_per_s;
        if point < 0.0 {
            return Some(shifted.to.index());
        }
    }
    None
}

/// A change of a place's condition at a given second.
struct Fault {
    name: &'static str,
    at_s: u64,
    place: usize,
    condition: Condition,
}

const fn fault(name: &'static str, at_s: u64, place: usize, condition: Condition) -> Fault {
    Fault {
        name,
        at_s,
        place,
        condition,
    }
}

/// Runs a policy over simulated seconds. Returns the faults, one row every 5 s, and
/// the steepest rise and highest load of a place.
fn run(policy: &mut impl Policy, mut view: View, faults: &[Fault], seconds: u64) -> String {
    let demand_per_s = view.rows[0].demand_per_s();
    let homes = u64::try_from(view.rows.len()).expect("small");
    let client_count = usize::try_from(CLIENTS).expect("small");
    let rate_per_s = demand_per_s * f64::from(u32::try_from(homes).expect("small"))
        / f64::from(u32::try_from(CLIENTS).expect("small"));
    let mut clients = Clients {
        place_of: vec![None; client_count],
    };
    let start = Instant::now();
    let mut out = String::new();
    let (mut before, mut worst_rise, mut worst_load) = (Vec::new(), 0.0f64, 0.0f64);
    for second in 0..seconds {
        for fault in faults.iter().filter(|f| f.at_s == second) {
            view.rows[fault.place].condition = fault.condition;
            writeln!(out, "{second:3} s: {} ", fault.name).expect("string");
        }
        let plan = policy.step(start + Duration::from_secs(second), &view);
        let rates = clients.step(second, &plan, rate_per_s);
        for (rate, old) in rates.iter().zip(&before) {
            worst_rise = worst_rise.max((rate - old) / CAPACITY_PER_S);
        }
        let top = rates.iter().copied().fold(0.0, f64::max);
        worst_load = worst_load.max(top / CAPACITY_PER_S);
        before = rates;
        if second % 5 == 4 {
            writeln!(out, "{second:3} s: {}", format_row(&plan, &before)).expect("string");
        }
    }
    let (rise, load) = (worst_rise * 100.0, worst_load * 100.0);
    write!(
        out,
        "steepest rise {rise:.1}% of capacity/s, highest load {load:.0}%"
    )
    .expect("string");
    out
}

fn format_row(plan: &Plan, rates: &[f64]) -> String {
    let kept: Vec<String> = plan
        .homes
        .iter()
        .map(|h| format!("{:.2}", h.kept))
        .collect();
    let rates: Vec<String> = rates.iter().map(|r| format!("{r:4.0}")).collect();
    let refused: f64 = plan.homes.iter().map(|h| h.refused_per_s).sum();
    let cutoffs: Vec<String> = plan
        .homes
        .iter()
        .filter(|h| h.refused_per_s > 0.0)
        .map(|h| format!("{}:{:.2}", h.cutoff.priority, h.cutoff.share))
        .collect();
    format!(
        "kept {} rates {} refused {refused:.0} {}",
        kept.join(" "),
        rates.join(" "),
        cutoffs.join(" ")
    )
}

fn run_both_policies(demand_per_s: f64, faults: &[Fault], seconds: u64) -> String {
    let view = site(3, 2, demand_per_s);
    let gradual = run(
        &mut GradualShift::new(ShiftLimits::default()),
        view.clone(),
        faults,
        seconds,
    );
    let all_at_once = run(&mut AllAtOnce, view, faults, seconds);
    format!("gradual\n{gradual}\n\nall at once\n{all_at_once}")
}

#[test]
fn drain_of_a_domain() {
    let faults = [
        fault("drain r0/d0", 10, 0, Condition::Draining),
        fault("undrain r0/d0", 50, 0, Condition::Serving),
    ];
    insta::assert_snapshot!(run_both_policies(400.0, &faults, 90));
}

#[test]
fn loss_and_return_of_a_region() {
    let faults = [
        fault("lose r0/d0", 10, 0, Condition::Lost),
        fault("lose r0/d1", 10, 1, Condition::Lost),
        fault("return r0/d0", 40, 0, Condition::Serving),
        fault("return r0/d1", 40, 1, Condition::Serving),
    ];
    insta::assert_snapshot!(run_both_policies(500.0, &faults, 80));
}

#[test]
fn drain_of_a_region_while_another_is_lost() {
    let faults = [
        fault("lose r2/d0", 10, 4, Condition::Lost),
        fault("lose r2/d1", 10, 5, Condition::Lost),
        fault("drain r0/d0", 40, 0, Condition::Draining),
        fault("drain r0/d1", 40, 1, Condition::Draining),
    ];
    insta::assert_snapshot!(run_both_policies(500.0, &faults, 80));
}

fn conditions() -> impl Strategy<Value = Condition> {
    prop_oneof![
        3 => Just(Condition::Serving),
        1 => Just(Condition::Draining),
        1 => Just(Condition::Lost),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Under any order of faults: no place is assigned more than the usable share
    /// of its capacity; kept shares and intakes change within their limits;
    /// kept, shifted and refused traffic add up to the demand; two policies with
    /// the same inputs return the same plan.
    #[test]
    fn limits_hold_under_any_order_of_faults(
        steps in prop::collection::vec((0usize..6, conditions(), 1u64..12), 1..40),
        demand_per_s in 50.0f64..850.0,
    ) {
        let limits = ShiftLimits::default();
        let mut view = site(3, 2, demand_per_s);
        let (mut policy, mut twin) = (GradualShift::new(limits), GradualShift::new(limits));
        let mut now = Instant::now();
        let mut shifted_in_before = [0.0; 6];
        let mut kept_before = [1.0; 6];
        for (place, condition, seconds) in steps {
            view.rows[place].condition = condition;
            for _ in 0..seconds {
                now += Duration::from_secs(1);
                let plan = policy.step(now, &view);
                prop_assert_eq!(&plan, &twin.step(now, &view));
                let demand = vec![demand_per_s; 6];
                let assigned = plan.assigned_per_s(&demand);
                for index in 0..6 {
                    let home = &plan.homes[index];
                    let shifted: f64 = home.shifted.iter().map(|s| s.rate_per_s).sum();
                    let total = home.kept * demand_per_s + shifted + home.refused_per_s;
                    prop_assert!((total - demand_per_s).abs() < 1e-6);
                    prop_assert!(assigned[index] <= limits.fill_share * CAPACITY_PER_S + 1e-6);
                    let shifted_in = assigned[index] - home.kept * demand_per_s;
                    let rise = shifted_in - shifted_in_before[index];
                    prop_assert!(rise <= limits.intake_share_per_s * CAPACITY_PER_S + 1e-6);
                    shifted_in_before[index] = shifted_in;
                    let kept_rise = home.kept - kept_before[index];
                    prop_assert!(kept_rise <= limits.shift_share_per_s + 1e-9);
                    if view.rows[index].condition != Condition::Lost {
                        prop_assert!(-kept_rise <= limits.shift_share_per_s + 1e-9);
                    }
                    kept_before[index] = home.kept;
                }
            }
        }
    }
}
