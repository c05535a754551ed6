//! Lookups: order of entry VMs in an answer, distribution of a lost or draining
//! place's clients, and clients of an entry VM that leaves.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use steer::{
    BlockList, Blocks, Condition, GradualShift, LookupTables, PlaceView, Places, Policy,
    ShiftLimits, View,
};
use steer::{Plan, PriorityDemand};
use tokio::time::Instant;
use world::{
    DomainName, EntryVm, FailureDomain, MachineName, Region, RegionName, ServiceName, Zones,
};

const CLIENTS: u32 = 30_000;
const TTL_MS: u64 = 5_000;

fn site() -> Places {
    let region = |name: &str| Region {
        name: RegionName::new(name).expect("name"),
        domains: ["a", "b"]
            .map(|d| FailureDomain {
                name: DomainName::new(d).expect("name"),
            })
            .to_vec(),
    };
    Places::new(&Zones {
        regions: ["zapad", "stred", "vychod"].map(region).to_vec(),
        links: Vec::new(),
    })
}

fn vms(places: &Places) -> Vec<Arc<EntryVm>> {
    let addr = ([127, 0, 0, 1], 1).into();
    let vm = |place: &world::Place, n: usize| {
        let name = format!("{}-{}{n}", place.region, place.domain);
        Arc::new(EntryVm {
            name: MachineName::new(&name).expect("name"),
            place: place.clone(),
            front_addr: addr,
            desk_addr: addr,
            link_addr: addr,
        })
    };
    let of = |id| (1..=2).map(move |n| vm(places.place(id), n));
    places.ids().flat_map(of).collect()
}

fn lookup_tables(places: &Places) -> LookupTables {
    let zapad_a = places.place(places.ids().next().expect("place")).clone();
    let lists = [BlockList {
        home: zapad_a,
        blocks: vec!["10.0.0.0/8".parse().expect("block")],
    }];
    let blocks = Blocks::new(places, &lists).expect("blocks");
    LookupTables::new(places.clone(), Arc::new(blocks), TTL_MS).with_entries(vms(places))
}

/// Clients of 10.0.0.0/8, each in a steering group of its own.
fn clients() -> impl Iterator<Item = IpAddr> {
    (0..CLIENTS).map(|n| Ipv4Addr::from_bits((10 << 24) | (n << 8) | 9).into())
}

fn count_by_first_entry(tables: &LookupTables) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for client in clients() {
        let answer = tables.lookup(client, "terminy").expect("answer");
        let first = answer.entries.first().map_or("-", |vm| vm.name.as_str());
        *counts.entry(first.to_owned()).or_default() += 1;
    }
    counts
}

fn service() -> ServiceName {
    ServiceName::new("terminy").expect("name")
}

/// Returns the plan `seconds` after the given places entered these conditions.
fn plan_after(places: &Places, conditions: &[(usize, Condition)], seconds: u64) -> Plan {
    let capacity = [1_000.0, 1_000.0, 1_000.0, 1_000.0, 400.0, 400.0];
    let row = |capacity_per_s: f64| PlaceView {
        condition: Condition::Serving,
        capacity_per_s,
        demand: vec![PriorityDemand {
            priority: 1,
            rate_per_s: 200.0,
        }],
    };
    let mut view = View {
        places: places.clone(),
        rows: capacity.map(row).to_vec(),
    };
    let mut policy = GradualShift::new(ShiftLimits::default());
    let start = Instant::now();
    policy.step(start, &view);
    for (place, condition) in conditions {
        view.rows[*place].condition = *condition;
    }
    let mut plan = Plan::default();
    for second in 1..=seconds {
        plan = policy.step(start + std::time::Duration::from_secs(second), &view);
    }
    plan
}

#[test]
fn lost_region_is_spread_by_what_others_can_take() {
    let places = site();
    let lost = [(0, Condition::Lost), (1, Condition::Lost)];
    let before = count_by_first_entry(&lookup_tables(&places));
    let plan = plan_after(&places, &lost, 60);
    let after = count_by_first_entry(&lookup_tables(&places).with_plan(service(), plan));
    insta::assert_debug_snapshot!((before, after));
}

#[test]
fn clients_of_a_draining_domain_move_gradually_and_once() {
    let places = site();
    let drain = [(0, Condition::Draining)];
    let mut rows = Vec::new();
    let mut left_home = std::collections::BTreeSet::new();
    for seconds in [0, 1, 5, 10, 15, 20, 30] {
        let plan = plan_after(&places, &drain, seconds);
        let plan = if seconds == 0 { Plan::at_home(6) } else { plan };
        let tables = lookup_tables(&places).with_plan(service(), plan);
        let away: std::collections::BTreeSet<IpAddr> = clients()
            .filter(|c| {
                let answer = tables.lookup(*c, "terminy").expect("answer");
                answer.place != Some(answer.home)
            })
            .collect();
        assert!(left_home.is_subset(&away), "a moved client moved back");
        rows.push(format!("{seconds:2} s: {:5} of {CLIENTS} away", away.len()));
        left_home = away;
    }
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn entry_vm_that_leaves_moves_only_its_own_clients() {
    let places = site();
    let all_vms = lookup_tables(&places);
    let without_vm = all_vms.clone().with_entries(
        vms(&places)
            .into_iter()
            .filter(|vm| vm.name.as_str() != "zapad-a1"),
    );
    for client in clients() {
        let before = all_vms.lookup(client, "terminy").expect("answer");
        let after = without_vm.lookup(client, "terminy").expect("answer");
        let gone = |vm: &&Arc<EntryVm>| vm.name.as_str() == "zapad-a1";
        assert!(!after.entries.iter().any(|vm| gone(&vm)));
        if !before.entries.first().as_ref().is_some_and(gone) {
            assert_eq!(before.entries[0].name, after.entries[0].name);
        }
    }
    insta::assert_debug_snapshot!((
        count_by_first_entry(&all_vms),
        count_by_first_entry(&without_vm)
    ));
}

#[test]
fn order_of_an_answer() {
    let places = site();
    let tables = lookup_tables(&places);
    let rows: Vec<String> = ["10.1.2.3", "10.1.9.3", "192.0.2.1", "2001:db8::1"]
        .iter()
        .map(|c| {
            let answer = tables
                .lookup(c.parse().expect("address"), "terminy")
                .expect("answer");
            let names: Vec<&str> = answer.entries.iter().map(|vm| vm.name.as_str()).collect();
            format!("{c}: {} for {} ms", names.join(" "), answer.ttl_ms)
        })
        .collect();
    insta::assert_snapshot!(rows.join("\n"));
}
