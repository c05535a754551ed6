//! Changes of the configuration by `waxwingctl` on running processes.

use testbed::relay::Mode;
use testbed::site::{Client, ClientRequest};
use testbed::site::{Site, SitePlan};

async fn site() -> Site {
    Site::start(SitePlan::small().unwrap()).await.unwrap()
}

/// Guards against lost and doubled changes: a change based on an old version is refused,
/// a resent change is made once, and a change id can't be used for another change.
#[tokio::test]
async fn races_and_resends() {
    let site = site().await;
    let customers = site.files.customers.to_string_lossy().into_owned();
    let plans = site.files.plans.to_string_lossy().into_owned();
    let apply = |more: &'static [&'static str]| {
        let args = [&["apply", &customers, &plans], more].concat();
        let args: Vec<String> = args.iter().map(ToString::to_string).collect();
        let site = &site;
        async move {
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            site.ctl(&args).await.unwrap()
        }
    };
    let mut results = Vec::new();
    for more in [
        &["--base", "1", "--id", "first"][..],
        &["--base", "1", "--id", "second"],
        &["--base", "1", "--id", "first"],
        &["--base", "2", "--id", "first"],
    ] {
        let output = apply(more).await;
        results.push(format!(
            "apply {}\nexit code {}\n{}{}",
            more.join(" "),
            output.exit_code,
            output.stdout,
            output.stderr
        ));
    }
    insta::assert_snapshot!(results.join("\n"));
}

#[tokio::test]
async fn shown_configuration() {
    let site = site().await;
    assert_eq!(
        site.ctl(&["drain", "entry:entry-zapad-z1-1"])
            .await
            .unwrap()
            .exit_code,
        0
    );
    let output = site.ctl(&["show"]).await.unwrap();
    insta::assert_snapshot!(output.stdout);
    let output = site.ctl(&["show", "--json"]).await.unwrap();
    let config: world::Config = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(config.version, 2);
}

/// Entry VMs keep serving when all control VMs have failed.
#[tokio::test]
async fn service_goes_on_without_control() {
    let mut site = site().await;
    for relay in &site.control_relays {
        relay.set_mode(Mode::Reset);
    }
    for vm in &mut site.controls {
        vm.process.kill().await.unwrap();
    }
    let client = Client::new(site.api_addrs()[0], "terminy").await.unwrap();
    let response = client.send(&ClientRequest::new("/terminy/")).await.unwrap();
    assert_eq!(response.status, 200);
}
