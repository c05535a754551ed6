//! Entry VMs come and go; look-ups and the configuration follow.

use std::time::Duration;

use serde_json::json;
use testbed::process::{Process, wait_until};
use testbed::site::{Client, Plan, RegionPlan, Site, keys};
use tokio::time::Instant;
use waxwingctl::load::{Profile, Stream, run};

/// A dead entry VM is out of look-ups after this time.
const DEAD_MAX: Duration = Duration::from_secs(12);
/// A departed or drained entry VM is out of look-ups after this time.
const GONE_MAX: Duration = Duration::from_secs(5);
const EXIT_WAIT: Duration = Duration::from_secs(30);

fn two_regions() -> Plan {
    let mut plan = Plan::small().unwrap();
    plan.regions = vec![
        RegionPlan::new("zapad", &["z1"]),
        RegionPlan::new("stred", &["s1"]),
    ];
    plan
}

async fn named(site: &Site, entry: usize) -> Vec<String> {
    let client = Client::new(site.entries[entry].desk_addr, "terminy").await;
    let entries = client.map_or_else(|_| Vec::new(), |c| c.entries().to_vec());
    entries.iter().map(|vm| vm.name.to_string()).collect()
}

/// Waits until no look-up of the site names this VM; the time it took.
async fn until_gone(site: &Site, name: &str) -> Duration {
    let start = Instant::now();
    for entry in 0..site.entries.len() {
        let gone = || async {
            let named = named(site, entry).await;
            (!named.is_empty() && !named.iter().any(|n| n == name)).then_some(())
        };
        wait_until("the VM is out of look-ups", gone).await.unwrap();
    }
    start.elapsed()
}

#[tokio::test]
async fn killed_entry_vm_drops_out_everywhere() {
    let mut site = Site::start(two_regions()).await.unwrap();
    let mut first = site.entries.remove(0);
    first.process.kill().await.unwrap();
    let took = until_gone(&site, &first.process.name).await;
    assert!(took < DEAD_MAX, "{took:?}");
}

#[tokio::test]
async fn leaving_entry_vm_drops_out_before_it_ends() {
    let mut site = Site::start(two_regions()).await.unwrap();
    let mut first = site.entries.remove(0);
    first.process.terminate().unwrap();
    let took = until_gone(&site, &first.process.name).await;
    assert!(took < GONE_MAX, "{took:?}");
    assert!(first.process.ended(EXIT_WAIT).await.unwrap().success());
}

#[tokio::test]
async fn drained_entry_vm_drops_out_and_serves_on() {
    let site = Site::start(two_regions()).await.unwrap();
    let name = site.entries[0].process.name.clone();
    let said = site
        .ctl(&["drain", &format!("entry:{name}"), "--wait", "10"])
        .await
        .unwrap();
    assert_eq!(said.code, 0, "{}", said.err);
    let took = until_gone(&site, &name).await;
    assert!(took < GONE_MAX, "{took:?}");
    let call = testbed::site::Call::new("/terminy/slots");
    let reply = call.send_to(site.entries[0].front_addr).await.unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
}

#[tokio::test]
async fn frozen_entry_vm_comes_back() {
    let site = Site::start(two_regions()).await.unwrap();
    let others: Vec<usize> = (1..site.entries.len()).collect();
    let name = &site.entries[0].process.name;
    site.entries[0].process.freeze().unwrap();
    for listed in [false, true] {
        for entry in &others {
            let seen = || async {
                let status = site.status(*entry).await?;
                let is_listed = status.entries.iter().any(|vm| vm.name.as_str() == name);
                (is_listed == listed).then_some(())
            };
            wait_until("the frozen VM is out, then back", seen)
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
    let said = site.ctl(&drain).await.unwrap();
    assert_eq!(said.code, 0, "{}", said.err);
    let version = site.status(0).await.unwrap().config_version;
    for control in &mut site.controls {
        control.process.kill().await.unwrap();
    }
    let last = site.entries.len() - 1;
    let name = site.entries[last].process.name.clone();
    site.entries[last].process.kill().await.unwrap();
    let settings = site.dir().join(format!("{name}.jsonc"));
    let again = Process::start("waxwingd", &name, [settings], site.dir())
        .await
        .unwrap();
    let desk = again.addr("desk").unwrap();
    // Its first answer, with no wait.
    let first = waxwingctl::control::status(desk).await.unwrap();
    assert_eq!(first.config_version, version);
    let listed = || async {
        let status = site.status(0).await?;
        let back = status.entries.iter().any(|vm| vm.desk_addr == desk);
        back.then_some(())
    };
    wait_until("the restarted VM is listed", listed)
        .await
        .unwrap();
}

#[tokio::test]
async fn owners_never_overfill_a_server_while_one_dies() {
    let plan = Plan::small().unwrap();
    let plan = plan.with_setting("policy", json!({ "one_owner": true }));
    let mut site = Site::start(plan).await.unwrap();
    for backend in site.fleet("terminy") {
        backend.set(json!({ "base_us": 50_000 })).await.unwrap();
    }
    let mut first = site.entries.remove(0);
    let stream = Stream::new("terminy".parse().unwrap(), 900.0, keys()).with_deadline_ms(2_000);
    let profile = Profile::new(site.desks(), 12.0, 31).with_streams(vec![stream]);
    let kill = async {
        tokio::time::sleep(Duration::from_secs(3)).await;
        first.process.kill().await.unwrap();
    };
    let (report, ()) = tokio::join!(run(&profile), kill);
    for backend in site.fleet("terminy") {
        let stats = backend.stats().await.unwrap();
        assert!(stats.started > 0, "{} ran nothing", backend.name);
        let highest = stats.crowd.highest_offered;
        assert!(
            highest <= backend.slots,
            "{}: {stats:?}\n{}",
            backend.name,
            report.to_table()
        );
    }
}
