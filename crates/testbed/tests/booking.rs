//! Bookings through real processes under single faults: the responses that clients
//! receive, and the number of runs on the backend server. A booking must run at most once
//! and its stored response must survive the fault.

mod site;

use std::time::Duration;

use site::{BookingResult, SMALL_KEY, Site, book, book_as};
use testbed::process::wait_until;
use testbed::relay::Mode;
use testbed::server::Behaviour;

fn row(label: &str, result: &BookingResult) -> String {
    format!("{label:24} {} ({})", result.outcome, result.ran)
}

/// Waits until the ledger's log has grown, that is, until the start of an operation is
/// stored.
async fn wait_begin_stored(site: &Site, bytes_before: u64) {
    let is_stored = || async { (site.ledger_bytes() > bytes_before).then_some(()) };
    wait_until("the start of the operation is on disk", is_stored)
        .await
        .unwrap();
}

async fn wait_run(site: &Site, key: &str) {
    let runs = || async { (site.runs(key) > 0).then_some(()) };
    wait_until("the backend server runs the booking", runs)
        .await
        .unwrap();
}

/// Resends the booking while the result is `still_running` or `ledger_unread`; returns the
/// first other result.
async fn send_until_settled(site: &Site, entry: usize, key: &str, query: &str) -> BookingResult {
    let poll = || async {
        let result = site.book(entry, key, query, 1_000).await;
        let is_unsettled = ["still_running", "ledger_unread"].contains(&result.outcome.as_str());
        (!is_unsettled).then_some(result)
    };
    wait_until("the booking has an outcome", poll)
        .await
        .unwrap()
}

/// A resend through another entry VM, also after the first one was killed or the control VM
/// was restarted, must return the stored response instead of a second run.
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
        &send_until_settled(&site, 1, "k", "").await,
    ));
    rows.push(format!("{} runs", site.runs("k")));
    insta::assert_snapshot!(rows.join("\n"));
}

/// When an entry VM is killed while its booking runs, a resend must not run the booking
/// again, although no response was stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_vm_killed_while_it_runs() {
    let mut site = Site::start(1).await;
    let front = site.entries[0].addr("front").unwrap();
    let first = tokio::spawn(async move { book(front, "k", "?rig-ms=1500", 1_000).await });
    wait_run(&site, "k").await;
    site.entries[0].kill().await.unwrap();
    let mut rows = vec![row("first", &first.await.unwrap())];
    rows.push(row(
        "resent at once",
        &site.book(1, "k", "?rig-ms=1500", 300).await,
    ));
    rows.push(row(
        "resent later",
        &send_until_settled(&site, 1, "k", "?rig-ms=1500").await,
    ));
    rows.push(format!("{} runs", site.runs("k")));
    insta::assert_snapshot!(rows.join("\n"));
}

/// An entry VM that is frozen after the operation's start is stored, but before it sends
/// the request, must not run the operation when it resumes after its execution grant has
/// expired.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_between_begin_and_dispatch() {
    let site = Site::start(1).await;
    let front = site.entries[0].addr("front").unwrap();
    let bytes = site.ledger_bytes();
    site.delay_responses(0, Duration::from_millis(400));
    let first = tokio::spawn(async move { book(front, "k", "", 1_000).await });
    wait_begin_stored(&site, bytes).await;
    site.entries[0].freeze().unwrap();
    site.delay_responses(0, Duration::ZERO);
    // The resend's deadline is later than the expiry of the frozen VM's execution grant.
    let mut rows = vec![row(
        "resent while frozen",
        &site.book(1, "k", "", 1_500).await,
    )];
    rows.push(format!("{} runs", site.runs("k")));
    site.entries[0].thaw().unwrap();
    // It depends on scheduling whether the entry VM stores that it has abandoned the
    // operation before the client's deadline.
    let thawed = first.await.unwrap();
    let allowed = ["ledger_away", "deadline_waiting", "deadline_running"];
    assert!(allowed.contains(&thawed.outcome.as_str()), "{thawed:?}");
    rows.push(row(
        "resent after the thaw",
        &send_until_settled(&site, 1, "k", "").await,
    ));
    rows.push(row("once more", &site.book(0, "k", "", 5_000).await));
    rows.push(format!("{} runs", site.runs("k")));
    insta::assert_snapshot!(rows.join("\n"));
}

/// An entry VM that can't reach the ledger must not run a booking.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_from_the_ledger() {
    let site = Site::start(1).await;
    site.set_mode(0, Mode::Reset);
    let mut rows = vec![row("cut off", &site.book(0, "k", "", 1_000).await)];
    rows.push(format!("{} runs", site.runs("k")));
    rows.push(row("other entry VM", &site.book(1, "k", "", 5_000).await));
    site.set_mode(0, Mode::Pass);
    rows.push(row("cut healed", &site.book(0, "k", "", 5_000).await));
    rows.push(format!("{} runs", site.runs("k")));
    insta::assert_snapshot!(rows.join("\n"));
}

/// An entry VM that loses the ledger while its booking runs can't store the response; it
/// must store it when the ledger is reachable again, without a second run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_while_it_runs() {
    let site = Site::start(1).await;
    let front = site.entries[0].addr("front").unwrap();
    let first = tokio::spawn(async move { book(front, "k", "?rig-ms=300", 1_000).await });
    wait_run(&site, "k").await;
    site.set_mode(0, Mode::Reset);
    let mut rows = vec![row("first", &first.await.unwrap())];
    rows.push(row(
        "other entry VM",
        &site.book(1, "k", "?rig-ms=300", 300).await,
    ));
    site.set_mode(0, Mode::Pass);
    rows.push(row(
        "cut healed",
        &send_until_settled(&site, 1, "k", "?rig-ms=300").await,
    ));
    rows.push(format!("{} runs", site.runs("k")));
    insta::assert_snapshot!(rows.join("\n"));
}

/// After a truncated response or one of another request, the booking may have run: a resend
/// must not run it again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_response_or_another_requests() {
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
        site.set_behaviour(behaviour);
        rows.push(row(key, &site.book(0, key, "", 5_000).await));
        site.set_behaviour(Behaviour::default());
        rows.push(row("resent", &site.book(1, key, "", 5_000).await));
        rows.push(format!("{} runs", site.runs(key)));
    }
    insta::assert_snapshot!(rows.join("\n"));
}

/// Without a majority of control VMs no booking runs, but reads are served; when the
/// majority is back, stored responses are still returned.
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
    rows.push(row(
        "majority back",
        &send_until_settled(&site, 0, "b", "").await,
    ));
    rows.push(row(
        "resent booking",
        &send_until_settled(&site, 1, "a", "").await,
    ));
    rows.push(format!("{} and {} runs", site.runs("a"), site.runs("b")));
    insta::assert_snapshot!(rows.join("\n"));
}

/// A resend of a finished booking returns the stored response even while the customer's
/// plan admits no further booking.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn over_its_plan() {
    let site = Site::start(1).await;
    let front = site.entries[0].addr("front").unwrap();
    let small = move |key: &'static str, query: &'static str| async move {
        book_as(SMALL_KEY, front, key, query, 5_000).await
    };
    let mut rows = vec![row("first", &small("a", "").await)];
    let long = tokio::spawn(small("b", "?rig-ms=2000"));
    wait_run(&site, "b").await;
    rows.push(row("resent meanwhile", &small("a", "").await));
    rows.push(row("third meanwhile", &small("c", "").await));
    rows.push(row("second", &long.await.unwrap()));
    rows.push(format!("{} and {} runs", site.runs("a"), site.runs("c")));
    insta::assert_snapshot!(rows.join("\n"));
}
