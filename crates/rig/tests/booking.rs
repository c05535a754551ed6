//! Bookings through real processes: what callers hear and what runs.

mod site;

use std::time::Duration;

use rig::process::wait_until;
use rig::relay::Mode;
use rig::server::Behaviour;
use site::{Site, Told, book};

fn row(what: &str, told: &Told) -> String {
    format!("{what:24} {} ({})", told.what, told.ran)
}

async fn until_begun(site: &Site, bytes_before: u64) {
    let begun = || async { (site.ledger_bytes() > bytes_before).then_some(()) };
    wait_until("begin is on disk", begun).await.unwrap();
}

async fn until_runs(site: &Site, key: &str) {
    let runs = || async { (site.runs(key) > 0).then_some(()) };
    wait_until("the backend server runs it", runs)
        .await
        .unwrap();
}

/// Sends until something else than "still running" is told.
async fn settled(site: &Site, entry: usize, key: &str, query: &str) -> Told {
    let look = || async {
        let told = site.book(entry, key, query, 1_000).await;
        (told.what != "still_running").then_some(told)
    };
    wait_until("the key is settled", look).await.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resent_through_another_entry_vm() {
    let mut site = Site::start().await;
    let mut rows = Vec::new();
    rows.push(row("first", &site.book(0, "k", "", 5_000).await));
    rows.push(row("other entry VM", &site.book(1, "k", "", 5_000).await));
    rows.push(row("other request", &site.book(1, "k", "?x", 5_000).await));
    site.entries[0].kill().await.unwrap();
    rows.push(row("entry VM killed", &site.book(1, "k", "", 5_000).await));
    site.restart_control().await;
    rows.push(row(
        "control VM restarted",
        &settled(&site, 1, "k", "").await,
    ));
    rows.push(format!("{} runs", site.runs("k")));
    insta::assert_snapshot!(rows.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_vm_killed_while_it_runs() {
    let mut site = Site::start().await;
    let front = site.entries[0].addr("front").unwrap();
    let first = tokio::spawn(async move { book(front, "k", "?rig-ms=1500", 1_000).await });
    until_runs(&site, "k").await;
    site.entries[0].kill().await.unwrap();
    let mut rows = vec![row("first", &first.await.unwrap())];
    rows.push(row(
        "resent at once",
        &site.book(1, "k", "?rig-ms=1500", 300).await,
    ));
    rows.push(row(
        "resent later",
        &settled(&site, 1, "k", "?rig-ms=1500").await,
    ));
    rows.push(format!("{} runs", site.runs("k")));
    insta::assert_snapshot!(rows.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_between_begin_and_dispatch() {
    let site = Site::start().await;
    let front = site.entries[0].addr("front").unwrap();
    let bytes = site.ledger_bytes();
    site.relays[0].set_delay(Duration::ZERO, Duration::from_millis(400));
    let first = tokio::spawn(async move { book(front, "k", "", 1_000).await });
    until_begun(&site, bytes).await;
    site.entries[0].freeze().unwrap();
    site.relays[0].set_delay(Duration::ZERO, Duration::ZERO);
    // The resend waits for longer than the frozen right lasts.
    let mut rows = vec![row(
        "resent while frozen",
        &site.book(1, "k", "", 1_500).await,
    )];
    rows.push(format!("{} runs", site.runs("k")));
    site.entries[0].thaw().unwrap();
    // Whether its abandon is stored before its caller's deadline is drawn by the scheduler.
    let thawed = first.await.unwrap();
    let told = ["ledger_away", "deadline_waiting", "deadline_running"];
    assert!(told.contains(&thawed.what.as_str()), "{thawed:?}");
    rows.push(row(
        "resent after the thaw",
        &settled(&site, 1, "k", "").await,
    ));
    rows.push(row("once more", &site.book(0, "k", "", 5_000).await));
    rows.push(format!("{} runs", site.runs("k")));
    insta::assert_snapshot!(rows.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_from_the_ledger() {
    let site = Site::start().await;
    site.relays[0].set_mode(Mode::Cut);
    let mut rows = vec![row("cut off", &site.book(0, "k", "", 1_000).await)];
    rows.push(format!("{} runs", site.runs("k")));
    rows.push(row("other entry VM", &site.book(1, "k", "", 5_000).await));
    site.relays[0].set_mode(Mode::Pass);
    rows.push(row("cut healed", &site.book(0, "k", "", 5_000).await));
    rows.push(format!("{} runs", site.runs("k")));
    insta::assert_snapshot!(rows.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_while_it_runs() {
    let site = Site::start().await;
    let front = site.entries[0].addr("front").unwrap();
    let first = tokio::spawn(async move { book(front, "k", "?rig-ms=300", 1_000).await });
    until_runs(&site, "k").await;
    site.relays[0].set_mode(Mode::Cut);
    let mut rows = vec![row("first", &first.await.unwrap())];
    rows.push(row(
        "other entry VM",
        &site.book(1, "k", "?rig-ms=300", 300).await,
    ));
    site.relays[0].set_mode(Mode::Pass);
    rows.push(row(
        "cut healed",
        &settled(&site, 1, "k", "?rig-ms=300").await,
    ));
    rows.push(format!("{} runs", site.runs("k")));
    insta::assert_snapshot!(rows.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_cut_off_or_crossed() {
    let site = Site::start().await;
    let mut rows = Vec::new();
    let cut = Behaviour {
        cut_per_mille: 1_000,
        ..Behaviour::default()
    };
    let crossed = Behaviour {
        cross_per_mille: 1_000,
        ..Behaviour::default()
    };
    for (key, behaviour) in [("cut", cut), ("crossed", crossed)] {
        site.behave(behaviour);
        rows.push(row(key, &site.book(0, key, "", 5_000).await));
        site.behave(Behaviour::default());
        rows.push(row("resent", &site.book(1, key, "", 5_000).await));
        rows.push(format!("{} runs", site.runs(key)));
    }
    insta::assert_snapshot!(rows.join("\n"));
}
