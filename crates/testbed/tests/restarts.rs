//! Entry VMs that restart without the current configuration: until they have fetched it
//! they must not refuse customers as unknown.

use testbed::process::wait_until;
use testbed::site::{ClientRequest, Entry, Site, SitePlan, key_of};
use waxwingctl::control::status;

async fn site() -> Site {
    Site::start(SitePlan::small().unwrap()).await.unwrap()
}

async fn kill_controls(site: &mut Site) {
    for vm in &mut site.controls {
        vm.process.kill().await.unwrap();
    }
}

/// Kills the first entry VM and starts it again under the same name.
async fn restart_first_entry(site: &mut Site) -> Entry {
    let mut old = site.entries.remove(0);
    old.process.kill().await.unwrap();
    let name = old.process.name.clone();
    site.start_entry(&name, &old.place).await.unwrap()
}

/// Sends requests until one succeeds; returns the distinct refusals before it.
async fn refusals_until_served(vm: &Entry, request: &ClientRequest) -> Vec<String> {
    let mut refusals = Vec::new();
    for _ in 0..500 {
        let response = request.send_to(vm.front_addr).await.unwrap();
        if response.status == 200 {
            refusals.dedup();
            return refusals;
        }
        refusals.push(response.summary());
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    panic!("never served: {refusals:?}");
}

/// Asserts that no refusal claims that the customer or the service is unknown.
fn assert_no_unknown_customer(refusals: &[String]) {
    let is_unknown = |r: &&String| r.contains("bad_key") || r.contains("no_such_service");
    let unknown: Vec<_> = refusals.iter().filter(is_unknown).collect();
    assert!(
        unknown.is_empty(),
        "a customer was refused as unknown: {refusals:?}"
    );
}

#[tokio::test]
async fn restarted_entry_vm_never_takes_customers_for_unknown() {
    let mut site = site().await;
    let vm = restart_first_entry(&mut site).await;
    assert_no_unknown_customer(&refusals_until_served(&vm, &ClientRequest::new("/terminy/")).await);
}

#[tokio::test]
async fn restarted_entry_vm_learns_from_its_peers_without_control() {
    let mut site = site().await;
    let drain = ["drain", "entry:entry-zapad-z2-2", "--wait", "10"];
    assert_eq!(site.ctl(&drain).await.unwrap().exit_code, 0);
    kill_controls(&mut site).await;
    let vm = restart_first_entry(&mut site).await;
    let is_current = || async {
        let status = status(vm.api_addr).await.ok()?;
        (status.config_version == 2).then_some(())
    };
    wait_until("restarted VM has the configuration", is_current)
        .await
        .unwrap();
    assert_no_unknown_customer(&refusals_until_served(&vm, &ClientRequest::new("/terminy/")).await);
}

/// Without any source of the configuration, an entry VM refuses requests as temporarily
/// unavailable.
#[tokio::test]
async fn entry_vm_that_knows_no_configuration_says_so() {
    let mut site = site().await;
    kill_controls(&mut site).await;
    for vm in &mut site.entries {
        vm.process.kill().await.unwrap();
    }
    let place = site.entries[0].place.clone();
    let vm = site.start_entry("entry-alone", &place).await.unwrap();
    let request = ClientRequest::new("/terminy/").with_key(&key_of("gold"));
    let response = request.send_to(vm.front_addr).await.unwrap();
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(response.ran.as_deref(), Some("not run"));
}
