//! Changes of the configuration by `waxwingctl` against live processes.

use testbed::relay::Mode;
use testbed::site::{Call, Client};
use testbed::site::{Plan, Site};

async fn site() -> Site {
    Site::start(Plan::small().unwrap()).await.unwrap()
}

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
    let mut shown = Vec::new();
    for more in [
        &["--base", "1", "--id", "first"][..],
        &["--base", "1", "--id", "second"],
        &["--base", "1", "--id", "first"],
        &["--base", "2", "--id", "first"],
    ] {
        let said = apply(more).await;
        shown.push(format!(
            "apply {}\nexit code {}\n{}{}",
            more.join(" "),
            said.code,
            said.out,
            said.err
        ));
    }
    insta::assert_snapshot!(shown.join("\n"));
}

#[tokio::test]
async fn shown_configuration() {
    let site = site().await;
    assert_eq!(
        site.ctl(&["drain", "entry:entry-zapad-z1-1"])
            .await
            .unwrap()
            .code,
        0
    );
    let said = site.ctl(&["show"]).await.unwrap();
    insta::assert_snapshot!(said.out);
    let said = site.ctl(&["show", "--json"]).await.unwrap();
    let config: world::Config = serde_json::from_str(&said.out).unwrap();
    assert_eq!(config.version, 2);
}

#[tokio::test]
async fn service_goes_on_without_control() {
    let mut site = site().await;
    for relay in &site.control_relays {
        relay.set_mode(Mode::Cut);
    }
    for vm in &mut site.controls {
        vm.process.kill().await.unwrap();
    }
    let client = Client::new(site.desks()[0], "terminy").await.unwrap();
    let reply = client.call(&Call::new("/terminy/")).await.unwrap();
    assert_eq!(reply.status, 200);
}
