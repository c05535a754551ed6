//! Entry VMs that start anew after changes have passed them by.

use testbed::process::wait_until;
use testbed::site::{Call, Plan, Site, Vm, key_of};
use waxwingctl::control::status;

async fn site() -> Site {
    Site::start(Plan::small().unwrap()).await.unwrap()
}

async fn kill_controls(site: &mut Site) {
    for vm in &mut site.controls {
        vm.process.kill().await.unwrap();
    }
}

/// Kills the first entry VM and starts it anew.
async fn restart(site: &mut Site) -> Vm {
    let mut old = site.entries.remove(0);
    old.process.kill().await.unwrap();
    let name = old.process.name.clone();
    site.start_entry(&name, &old.place).await.unwrap()
}

/// Sends requests until one is answered well; gives every refusal before it.
async fn until_served(vm: &Vm, call: &Call) -> Vec<String> {
    let mut refusals = Vec::new();
    for _ in 0..500 {
        let reply = call.send_to(vm.front_addr).await.unwrap();
        if reply.status == 200 {
            refusals.dedup();
            return refusals;
        }
        refusals.push(reply.summary());
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    panic!("never served: {refusals:?}");
}

fn assert_true(refusals: &[String]) {
    let is_false = |r: &&String| r.contains("bad_key") || r.contains("no_such_service");
    let wrong: Vec<_> = refusals.iter().filter(is_false).collect();
    assert!(
        wrong.is_empty(),
        "a customer was refused as unknown: {refusals:?}"
    );
}

#[tokio::test]
async fn restarted_entry_vm_never_takes_customers_for_unknown() {
    let mut site = site().await;
    let vm = restart(&mut site).await;
    assert_true(&until_served(&vm, &Call::new("/terminy/")).await);
}

#[tokio::test]
async fn restarted_entry_vm_learns_from_its_peers_without_control() {
    let mut site = site().await;
    let drain = ["drain", "entry:entry-zapad-z2-2", "--wait", "10"];
    assert_eq!(site.ctl(&drain).await.unwrap().code, 0);
    kill_controls(&mut site).await;
    let vm = restart(&mut site).await;
    let is_current = || async {
        let status = status(vm.desk_addr).await.ok()?;
        (status.config_version == 2).then_some(())
    };
    wait_until("restarted VM has the configuration", is_current)
        .await
        .unwrap();
    assert_true(&until_served(&vm, &Call::new("/terminy/")).await);
}

#[tokio::test]
async fn entry_vm_that_knows_no_configuration_says_so() {
    let mut site = site().await;
    kill_controls(&mut site).await;
    for vm in &mut site.entries {
        vm.process.kill().await.unwrap();
    }
    let place = site.entries[0].place.clone();
    let vm = site.start_entry("entry-alone", &place).await.unwrap();
    let call = Call::new("/terminy/").with_key(&key_of("gold"));
    let reply = call.send_to(vm.front_addr).await.unwrap();
    assert_eq!(reply.status, 503, "{reply:?}");
    assert_eq!(reply.ran.as_deref(), Some("not run"));
}
