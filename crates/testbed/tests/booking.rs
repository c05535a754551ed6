//! Bookings through real processes: what callers hear and what runs.

mod site;

use std::time::Duration;

use site::{SMALL_KEY, Site, Told, book, book_as};
use testbed::process::wait_until;
use testbed::relay::Mode;
use testbed::server::Behaviour;

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

/// Sends until the ledger tells more than that it can't be read or that an
/// attempt is running.
async fn settled(site: &Site, entry: usize, key: &str, query: &str) -> Told {
    let look = || async {
        let told = site.book(entry, key, query, 1_000).await;
        let is_open = ["still_running", "ledger_unread"].contains(&told.what.as_str());
        (!is_open).then_some(told)
    };
    wait_until("the key is settled", look).await.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resent_through_another_entry_vm() {
    let mut site = Site::start(1).await;
    let mut rows = Vec::new();
    rows.push(row("first", &site.book(0, "k", "", 5_000).await));
    rows.push(row("other entry VM", &site.book(1, "k", "", 5_000).await));
    rows.push(row("other request", &site.book(1, "k", "?x", 5_000).await));
    site.entries[0].kill().await.unwrap();
    rows.push(row("entry VM killed", &site.book(1, "k", "", 5_000).await));
    site.restart_control(0).await;
    rows.push(row(
        "control VM restarted",
        &settled(&site, 1, "k", "").await,
    ));
    rows.push(format!("{} runs", site.runs("k")));
    insta::assert_snapshot!(rows.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_vm_killed_while_it_runs() {
    let mut site = Site::start(1).await;
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
    let site = Site::start(1).await;
    let front = site.entries[0].addr("front").unwrap();
    let bytes = site.ledger_bytes();
    site.delay_replies(0, Duration::from_millis(400));
    let first = tokio::spawn(async move { book(front, "k", "", 1_000).await });
    until_begun(&site, bytes).await;
    site.entries[0].freeze().unwrap();
    site.delay_replies(0, Duration::ZERO);
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
    let site = Site::start(1).await;
    site.set_mode(0, Mode::Cut);
    let mut rows = vec![row("cut off", &site.book(0, "k", "", 1_000).await)];
    rows.push(format!("{} runs", site.runs("k")));
    rows.push(row("other entry VM", &site.book(1, "k", "", 5_000).await));
    site.set_mode(0, Mode::Pass);
    rows.push(row("cut healed", &site.book(0, "k", "", 5_000).await));
    rows.push(format!("{} runs", site.runs("k")));
    insta::assert_snapshot!(rows.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_while_it_runs() {
    let site = Site::start(1).await;
    let front = site.entries[0].addr("front").unwrap();
    let first = tokio::spawn(async move { book(front, "k", "?rig-ms=300", 1_000).await });
    until_runs(&site, "k").await;
    site.set_mode(0, Mode::Cut);
    let mut rows = vec![row("first", &first.await.unwrap())];
    rows.push(row(
        "other entry VM",
        &site.book(1, "k", "?rig-ms=300", 300).await,
    ));
    site.set_mode(0, Mode::Pass);
    rows.push(row(
        "cut healed",
        &settled(&site, 1, "k", "?rig-ms=300").await,
    ));
    rows.push(format!("{} runs", site.runs("k")));
    insta::assert_snapshot!(rows.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_cut_off_or_crossed() {
    let site = Site::start(1).await;
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

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn majority_of_control_vms_lost() {
    let mut site = Site::start(3).await;
    let mut rows = vec![row("before", &site.book(0, "a", "", 5_000).await)];
    for control in [1, 2] {
        site.controls[control].kill().await.unwrap();
    }
    rows.push(row("new booking", &site.book(0, "b", "", 1_000).await));
    rows.push(row("resent booking", &site.book(1, "a", "", 1_000).await));
    rows.push(row("read", &site.read(0).await));
    rows.push(format!("{} and {} runs", site.runs("a"), site.runs("b")));
    site.restart_control(1).await;
    rows.push(row("majority back", &settled(&site, 0, "b", "").await));
    rows.push(row("resent booking", &settled(&site, 1, "a", "").await));
    rows.push(format!("{} and {} runs", site.runs("a"), site.runs("b")));
    insta::assert_snapshot!(rows.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn over_its_plan() {
    let site = Site::start(1).await;
    let front = site.entries[0].addr("front").unwrap();
    let small = move |key: &'static str, query: &'static str| async move {
        book_as(SMALL_KEY, front, key, query, 5_000).await
    };
    let mut rows = vec![row("first", &small("a", "").await)];
    let long = tokio::spawn(small("b", "?rig-ms=2000"));
    until_runs(&site, "b").await;
    rows.push(row("resent meanwhile", &small("a", "").await));
    rows.push(row("third meanwhile", &small("c", "").await));
    rows.push(row("second", &long.await.unwrap()));
    rows.push(format!("{} and {} runs", site.runs("a"), site.runs("c")));
    insta::assert_snapshot!(rows.join("\n"));
}
