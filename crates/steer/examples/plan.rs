//! Measures the time of one step of the gradual policy, including building the
//! lookup tables: `cargo run --release -p steer --example plan -- [PLACES]
//! [SERVICES] [VMS]`.

use std::sync::Arc;
use std::time::Duration;

use steer::{
    Blocks, Condition, GradualShift, LookupTables, PlaceView, Places, Policy, PriorityDemand,
    ShiftLimits, View,
};
use tokio::time::Instant;
use world::{
    DomainName, EntryVm, FailureDomain, MachineName, Region, RegionName, ServiceName, Zones,
};

const REGIONS: usize = 4;
const STEPS: u32 = 500;
const PRIORITIES: u8 = 3;

fn places(count: usize) -> Places {
    let domains = |r: usize| (0..count).filter(move |p| p % REGIONS == r);
    let domain = |p: usize| FailureDomain {
        name: DomainName::new(&format!("d{p}")).expect("name"),
    };
    let region = |r: usize| Region {
        name: RegionName::new(&format!("r{r}")).expect("name"),
        domains: domains(r).map(domain).collect(),
    };
    Places::new(&Zones {
        regions: (0..REGIONS).map(region).collect(),
        links: Vec::new(),
    })
}

fn vm(index: usize, places: &Places) -> Arc<EntryVm> {
    let addr = ([127, 0, 0, 1], 1).into();
    let place = places.ids().nth(index % places.len()).expect("place");
    Arc::new(EntryVm {
        name: MachineName::new(&format!("entry-{index}")).expect("name"),
        place: places.place(place).clone(),
        front_addr: addr,
        desk_addr: addr,
        link_addr: addr,
    })
}

fn view(places: &Places) -> View {
    let row = PlaceView {
        condition: Condition::Serving,
        capacity_per_s: 1_000.0,
        demand: (0..PRIORITIES)
            .map(|priority| PriorityDemand {
                priority,
                rate_per_s: 150.0,
            })
            .collect(),
    };
    View {
        rows: vec![row; places.len()],
        places: places.clone(),
    }
}

fn main() {
    let mut args = std::env::args().skip(1).map_while(|a| a.parse().ok());
    let places = places(args.next().unwrap_or(14));
    let services: usize = args.next().unwrap_or(3);
    let vms: Vec<_> = (0..args.next().unwrap_or(680))
        .map(|index| vm(index, &places))
        .collect();
    let mut view = view(&places);
    let mut policies = vec![GradualShift::new(ShiftLimits::default()); services];
    let blocks = Arc::new(Blocks::default());
    let start = Instant::now();
    let mut now = start;
    for step in 0..STEPS {
        now += Duration::from_millis(500);
        view.rows[0].condition = if step % 100 < 50 {
            Condition::Lost
        } else {
            Condition::Serving
        };
        let mut tables = LookupTables::new(places.clone(), Arc::clone(&blocks), 5_000)
            .with_entries(vms.iter().map(Arc::clone));
        for (index, policy) in policies.iter_mut().enumerate() {
            let name = ServiceName::new(&format!("service-{index}")).expect("name");
            tables = tables.with_plan(name, policy.step(now, &view));
        }
        std::hint::black_box(tables);
    }
    println!(
        "{} places, {services} services, {} entry VMs: {:?} a step",
        places.len(),
        vms.len(),
        start.elapsed() / STEPS
    );
}
