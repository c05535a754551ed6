//! Entry VMs fail, leave, are drained and return: lookups must stop naming them in time
//! and name them again, and a restarted VM must have the current configuration.

use std::time::Duration;

use serde_json::json;
use testbed::process::{Process, wait_until};
use testbed::site::{Client, RegionPlan, Site, SitePlan, keys};
use tokio::time::Instant;
use waxwingctl::load::{Profile, Stream, run};

/// Maximum time until lookups no longer name a killed entry VM.
const DEAD_GONE_MAX: Duration = Duration::from_secs(12);
/// Maximum time until lookups no longer name a departed or drained entry VM.
const LEFT_GONE_MAX: Duration = Duration::from_secs(5);
const EXIT_WAIT: Duration = Duration::from_secs(30);

fn two_regions() -> SitePlan {
    let mut plan = SitePlan::small().unwrap();
    plan.regions = vec![
        RegionPlan::new("zapad", &["z1"]),
        RegionPlan::new("stred", &["s1"]),
    ];
    plan
}

/// Returns the names of the entry VMs that a lookup at this entry VM lists.
async fn looked_up_names(site: &Site, entry: usize) -> Vec<String> {
    let client = Client::new(site.entries[entry].api_addr, "terminy").await;
    let entries = client.map_or_else(|_| Vec::new(), |c| c.entries().to_vec());
    entries.iter().map(|vm| vm.name.to_string()).collect()
}

/// Waits until no entry VM's lookup lists this VM; returns the time that took.
async fn wait_gone(site: &Site, name: &str) -> Duration {
    let start = Instant::now();
    for entry in 0..site.entries.len() {
        let gone = || async {
            let names = looked_up_names(site, entry).await;
            (!names.is_empty() && !names.iter().any(|n| n == name)).then_some(())
        };
        wait_until("lookups don't list the VM", gone).await.unwrap();
    }
    start.elapsed()
}

#[tokio::test]
async fn killed_entry_vm_drops_out_everywhere() {
    let mut site = Site::start(two_regions()).await.unwrap();
    let mut first = site.entries.remove(0);
    first.process.kill().await.unwrap();
    let took = wait_gone(&site, &first.process.name).await;
    assert!(took < DEAD_GONE_MAX, "{took:?}");
}

#[tokio::test]
async fn leaving_entry_vm_drops_out_before_it_ends() {
    let mut site = Site::start(two_regions()).await.unwrap();
    let mut first = site.entries.remove(0);
    first.process.terminate().unwrap();
    let took = wait_gone(&site, &first.process.name).await;
    assert!(took < LEFT_GONE_MAX, "{took:?}");
    assert!(first.process.wait_exit(EXIT_WAIT).await.unwrap().success());
}

#[tokio::test]
async fn drained_entry_vm_drops_out_and_serves_on() {
    let site = Site::start(two_regions()).await.unwrap();
    let name = site.entries[0].process.name.clone();
    let output = site
        .ctl(&["drain", &format!("entry:{name}"), "--wait", "10"])
        .await
        .unwrap();
    assert_eq!(output.exit_code, 0, "{}", output.stderr);
    let took = wait_gone(&site, &name).await;
    assert!(took < LEFT_GONE_MAX, "{took:?}");
    let request = testbed::site::ClientRequest::new("/terminy/slots");
    let response = request.send_to(site.entries[0].front_addr).await.unwrap();
    assert_eq!(response.status, 200, "{response:?}");
}

#[tokio::test]
async fn frozen_entry_vm_comes_back() {
    let site = Site::start(two_regions()).await.unwrap();
    let others: Vec<usize> = (1..site.entries.len()).collect();
    let name = &site.entries[0].process.name;
    site.entries[0].process.freeze().unwrap();
    for listed in [false, true] {
        for entry in &others {
            let check = || async {
                let status = site.status(*entry).await?;
                let is_listed = status.entries.iter().any(|vm| vm.name.as_str() == name);
                (is_listed == listed).then_some(())
            };
            wait_until("the frozen VM is removed, then listed again", check)
                .await
                .unwrap();
        }
        if !listed {
            site.entries[0].process.thaw().unwrap();
        }
    }
}

#[tokio::test]
async fn restarted_entry_vm_serves_with_its_peers_version() {
    let mut site = Site::start(two_regions()).await.unwrap();
    let drain = ["drain", "entry:entry-stred-s1-1", "--wait", "10"];
    let output = site.ctl(&drain).await.unwrap();
    assert_eq!(output.exit_code, 0, "{}", output.stderr);
    let version = site.status(0).await.unwrap().config_version;
    for control in &mut site.controls {
        control.process.kill().await.unwrap();
    }
    let last = site.entries.len() - 1;
    let name = site.entries[last].process.name.clone();
    site.entries[last].process.kill().await.unwrap();
    let settings = site.dir().join(format!("{name}.jsonc"));
    let restarted = Process::start("waxwingd", &name, [settings], site.dir())
        .await
        .unwrap();
    let api = restarted.addr("desk").unwrap();
    // The first response of the VM, without a wait.
    let first = waxwingctl::control::status(api).await.unwrap();
    assert_eq!(first.config_version, version);
    let listed = || async {
        let status = site.status(0).await?;
        let back = status.entries.iter().any(|vm| vm.desk_addr == api);
        back.then_some(())
    };
    wait_until("the restarted VM is listed", listed)
        .await
        .unwrap();
}

/// When an owner dies, its backend servers get a new owner; the requests of both owners
/// together must not exceed a server's slots.
#[tokio::test]
async fn owners_never_overfill_a_server_while_one_dies() {
    let plan = SitePlan::small().unwrap();
    let plan = plan.with_setting("policy", json!({ "one_owner": true }));
    let mut site = Site::start(plan).await.unwrap();
    for backend in site.fleet("terminy") {
        backend
            .set_behaviour(json!({ "base_us": 50_000 }))
            .await
            .unwrap();
    }
    let mut first = site.entries.remove(0);
    let stream = Stream::new("terminy".parse().unwrap(), 900.0, keys()).with_deadline_ms(2_000);
    let profile = Profile::new(site.api_addrs(), 12.0, 31).with_streams(vec![stream]);
    let kill = async {
        tokio::time::sleep(Duration::from_secs(3)).await;
        first.process.kill().await.unwrap();
    };
    let (report, ()) = tokio::join!(run(&profile), kill);
    for backend in site.fleet("terminy") {
        let stats = backend.stats().await.unwrap();
        assert!(stats.started > 0, "{} ran nothing", backend.name);
        let highest = stats.occupancy.highest_offered;
        assert!(
            highest <= backend.slots,
            "{}: {stats:?}\n{}",
            backend.name,
            report.to_table()
        );
    }
}
