//! The cases.

use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::{HOST, Record, Site, ZONES, call, call_bytes, connect, exchange, ms, parse_headers, read_body, read_head};

/// Runs a case. Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn run(case: &str, record: &Arc<Record>, trouble: bool) -> i32 {
    match case {
        "first-ack" => first_ack(record, trouble),
        "first-start" => first_start(record, trouble),
        "late-order" => late_order(record, trouble),
        other => {
            eprintln!("no case {other}");
            2
        }
    }
}

/// Sends one request of a client on a new connection; returns the status of its answer.
fn ask(site: &Site, entry: usize, path: &str, id: &str) -> Option<u16> {
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nWaxwingchute-Request-Id: {id}\r\nWaxwingchute-Affinity-Key: {id}\r\n\
         Waxwingchute-Deadline-Ms: 2500\r\n\r\n"
    );
    let answer = connect(site.front_addr(entry), ms(3_000)).and_then(|mut s| exchange(&mut s, head.as_bytes()));
    let status = answer.ok().map(|a| a.status);
    site.record.line(&format!("client: {id} GET {path} to {} -> {status:?}", site.entries[entry].name));
    status
}

/// Case 6: as many control VMs as may be lost at once, two of six, lose their disks right
/// after the first configuration was acknowledged.
fn first_ack(record: &Arc<Record>, trouble: bool) -> i32 {
    let mut site = Site::new(Arc::clone(record), 6, 3, 2);
    // One way between regions: 12 ms on tolkeleht-menu, 55 ms on brana-gslb.
    site.delay_links(ms(12));
    let site = Arc::new(site);
    for machine in site.controls.iter().chain(&site.entries) {
        site.launch(machine, true);
    }
    // The operator sends the first configuration until it is accepted.
    let acknowledging = 1;
    let limit = Duration::from_secs(20);
    let accepted = site.order(acknowledging, "POST", "/config/patch", &site.first_config(), limit);
    if accepted.is_none_or(|a| a.status >= 300) {
        site.end();
        return 2;
    }
    record.line("first configuration acknowledged");
    let lost = [acknowledging, 0];
    if trouble {
        site.kill(&lost.map(|at| &site.controls[at]));
        for at in lost {
            site.wipe(&site.controls[at]);
        }
        thread::sleep(ms(1_000));
        for at in lost {
            site.launch(&site.controls[at], false);
        }
    }
    let back_at = Instant::now();
    for zone in 0..ZONES.len() {
        for service in ["find", "pay", "fetch"] {
            site.upstream(service, zone, 20);
        }
    }
    // Twice `recover_s`, which is 15 s.
    let read = site.order(2, "GET", "/config/get", "", Duration::from_secs(30));
    let names = ["r-find", "r-pay", "r-fetch"];
    let is_whole = |a: &crate::Answer| {
        let text = String::from_utf8_lossy(&a.body).into_owned();
        a.status == 200 && names.iter().all(|name| text.contains(name))
    };
    let kept = read.as_ref().is_some_and(is_whole);
    record.line(&format!("acknowledged configuration read back: {kept}"));
    thread::sleep(ms(16_000).saturating_sub(back_at.elapsed()));
    let (sent, served) = load(&site, ms(8_000));
    record.line(&format!("configuration kept: {kept}; requests sent {sent}, served {served}"));
    site.end();
    i32::from(!kept)
}

/// Sends requests to all entry VMs for `time`; returns how many were sent and served.
fn load(site: &Site, time: Duration) -> (usize, usize) {
    let (mut sent, mut served) = (0, 0);
    let begun = Instant::now();
    while begun.elapsed() < time {
        for entry in 0..site.entries.len() {
            let status = ask(site, entry, "/find/1", &format!("q{sent:06}"));
            sent += 1;
            served += usize::from(status == Some(200));
        }
        thread::sleep(ms(100));
    }
    (sent, served)
}

/// Case 8: the process of one of the three seeds is killed once, while the whole system
/// starts for the first time, and is back half a second later.
fn first_start(record: &Arc<Record>, trouble: bool) -> i32 {
    let site = Arc::new(Site::new(Arc::clone(record), 6, 3, 2));
    // All machines start within 0.3 s of each other; the third seed is the last one.
    site.launch(&site.controls[0], true);
    thread::sleep(ms(60));
    site.launch(&site.controls[1], true);
    for machine in site.controls[3..].iter().chain(&site.entries) {
        site.launch(machine, true);
    }
    thread::sleep(ms(90));
    if trouble {
        site.kill(&[&site.controls[0]]);
    }
    thread::sleep(ms(90));
    site.launch(&site.controls[2], true);
    thread::sleep(ms(400));
    if trouble {
        // The whole system does not start anew, and the disk is not empty.
        site.launch(&site.controls[0], false);
    }
    for zone in 0..ZONES.len() {
        for service in ["find", "pay", "fetch"] {
            site.upstream(service, zone, 20);
        }
    }
    thread::sleep(ms(1_000));
    // Over twice `recover_s`, which is 15 s.
    let limit = Duration::from_secs(40);
    let accepted = site.order(1, "POST", "/config/patch", &site.first_config(), limit);
    let accepted = accepted.is_some_and(|a| a.status < 300);
    record.line(&format!("first configuration accepted: {accepted}"));
    thread::sleep(ms(4_000));
    let (sent, served) = load(&site, ms(8_000));
    let read = (0..site.controls.len()).any(|at| {
        let answer = call(site.control_addr(at), "GET", "/config/get", "", ms(1_000)).ok();
        let status = answer.map(|a| a.status);
        record.line(&format!("operator: GET /config/get to {} -> {status:?}", site.controls[at].name));
        status == Some(200)
    });
    for machine in site.controls.iter().filter(|machine| site.has_ended(machine)) {
        record.line(&format!("{} has ended by itself", machine.name));
    }
    record.line(&format!("configuration accepted: {accepted}, read back: {read}; requests sent {sent}, served {served}"));
    site.end();
    i32::from(!(accepted && read && served * 4 > sent))
}

/// Zone that case 9 evacuates, as an index in [`ZONES`].
const EVACUATED: usize = 3;

/// Control VM that case 9 freezes.
const FROZEN: usize = 2;

/// Longest freeze, as in the users' site files.
const FREEZE_MAX: Duration = Duration::from_millis(5_900);

/// Case 9: a control VM is frozen while the operator ends an evacuation through it. The
/// operator goes on with another node and later evacuates the zone again.
fn late_order(record: &Arc<Record>, trouble: bool) -> i32 {
    let site = Arc::new(Site::new(Arc::clone(record), 6, 3, 2));
    for machine in site.controls.iter().chain(&site.entries) {
        site.launch(machine, true);
    }
    for zone in 0..ZONES.len() {
        for service in ["find", "pay", "fetch"] {
            site.upstream(service, zone, 20);
        }
    }
    thread::sleep(ms(1_500));
    let limit = Duration::from_secs(10);
    let accepted = site.order(0, "POST", "/config/patch", &site.first_config(), limit);
    if accepted.is_none_or(|a| a.status >= 300) {
        site.end();
        return 2;
    }
    thread::sleep(ms(5_000));
    let zone = ZONES[EVACUATED].0;
    let (start, end) = (format!("/evacuations/{zone}/start"), format!("/evacuations/{zone}/end"));
    let is_ok = |answer: Option<crate::Answer>| answer.is_some_and(|a| a.status < 300);
    let mut acked = is_ok(site.order(0, "POST", &start, "", limit));
    thread::sleep(ms(3_000));
    let frozen_at = Instant::now();
    if trouble {
        site.signal(&site.controls[FROZEN], "STOP");
    }
    // The node that the operator picks first gets no other call than this.
    if !first_call(&site, &end) {
        acked &= is_ok(site.order(0, "POST", &end, "", limit));
    }
    thread::sleep(ms(1_500));
    acked &= is_ok(site.order(0, "POST", &start, "", limit));
    let evacuated_at = Instant::now();
    record.line(&format!("evacuation of {zone} acknowledged again: {acked}"));
    if trouble {
        thread::sleep(ms(500).min(FREEZE_MAX.saturating_sub(frozen_at.elapsed())));
        site.signal(&site.controls[FROZEN], "CONT");
    }
    let thawed_at = Instant::now();
    if !acked || frozen_at.elapsed() > FREEZE_MAX + ms(100) {
        site.end();
        return 2;
    }
    // Past `evacuate_ms` and, since the thaw, `stable_window_ms`.
    let due = (evacuated_at + ms(5_000)).max(thawed_at + ms(4_000)) + ms(300);
    thread::sleep(due.saturating_duration_since(Instant::now()));
    let from_ms = record.now_ms();
    record.line("from now on no request may reach the zone");
    let mut sent = 0;
    while due.elapsed() < ms(8_000) {
        for entry in 0..site.entries.len() {
            ask(&site, entry, "/find/1", &format!("q{sent:06}"));
            sent += 1;
        }
        thread::sleep(ms(50));
    }
    let upstreams = site.upstreams.lock().unwrap().clone();
    let late = |runs: &Vec<u64>| runs.iter().filter(|at| **at >= from_ms).count();
    let inside = upstreams.iter().filter(|upstream| upstream.zone == EVACUATED);
    let reached: usize = inside.map(|u| u.runs.lock().unwrap().values().map(late).sum::<usize>()).sum();
    record.line(&format!("requests sent {sent}, run in the evacuated zone {reached}"));
    site.end();
    i32::from(reached > 0)
}

/// Sends an order to the node that is frozen, without trouble as to any other. After a
/// second without an answer the operator goes on, but still takes a late answer until
/// `ack_ms` (5 s). Returns whether the answer came within the second.
fn first_call(site: &Arc<Site>, path: &str) -> bool {
    let (addr, name) = (site.control_addr(FROZEN), site.controls[FROZEN].name.clone());
    let (answered, first) = std::sync::mpsc::channel();
    let (path, site) = (path.to_owned(), Arc::clone(site));
    thread::spawn(move || {
        let status = connect(addr, ms(5_000)).and_then(|mut stream| {
            stream.write_all(&call_bytes(addr, "POST", &path, ""))?;
            let (head, rest) = read_head(&mut stream)?;
            read_body(&mut stream, &parse_headers(&head), rest)?;
            Ok(head.split(' ').nth(1).unwrap_or("").to_owned())
        });
        site.record.line(&format!("operator: POST {path} to {name} -> {status:?}"));
        let _ = answered.send(status.is_ok_and(|s| s == "200"));
    });
    first.recv_timeout(ms(1_000)).unwrap_or(false)
}
