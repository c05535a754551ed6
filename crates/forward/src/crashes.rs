//! Requests that crash backend servers: which server has crashed, which requests ran
//! there, and which requests are no longer sent.
//!
//! A connection that breaks may have many causes. Only if the server then refuses a new
//! connection has it crashed, and the requests that broke there are marked.

use std::collections::HashMap;
use std::sync::Arc;

use affinity::Choice;
use balancer::{Crash, Fingerprint, Poison, PoisonSettings, Verdict};
use discovery::Finding;
use tokio::sync::Notify;
use tokio::time::Instant;
use world::{Error, ErrorKind, LockRank, RankedMutex, ServerName};

use crate::attempt;
use crate::connection::{Connection, Failure};
use crate::dialect::Dialect;
use crate::refusal::Refusal;
use crate::state::State;

/// Most broken requests that are kept for one server: more than it runs at once.
const BROKEN_MAX: usize = 256;

/// Most requests that are named in the log line of a crash.
const LOGGED_MAX: usize = 8;

/// Marks of requests, and servers whose connections broke.
pub struct Crashes {
    table: RankedMutex<Table>,
    unchecked: Notify,
}

struct Table {
    poison: Poison,
    /// By server and its start time.
    broken: HashMap<(ServerName, u64), Broken>,
}

/// Requests whose connections to one server broke.
struct Broken {
    choice: Choice,
    ran: Vec<Fingerprint>,
    checking: bool,
}

impl Default for Crashes {
    fn default() -> Self {
        let table = Table {
            poison: Poison::new(PoisonSettings::default()),
            broken: HashMap::new(),
        };
        Self {
            table: RankedMutex::new(LockRank::Poison, table),
            unchecked: Notify::new(),
        }
    }
}

impl Crashes {
    /// Decides how to handle a request now.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let table = self.table.lock();
        table.poison.check(Instant::now(), fingerprint)
    }

    /// Refuses a request that has crashed backend servers, before it is sent.
    pub(crate) fn refusal(&self, fingerprint: Fingerprint) -> Option<Refusal> {
        let Verdict::Refuse { left_ms } = self.verdict(fingerprint) else {
            return None;
        };
        let detail = format!("request {fingerprint} has crashed backend servers");
        Some(Refusal {
            error: Error::new(ErrorKind::Quarantined, detail),
            retry_after_ms: Some(u32::try_from(left_ms).unwrap_or(u32::MAX)),
        })
    }

    /// Records that the connection broke on which a request ran.
    pub fn record_broken(&self, choice: &Choice, fingerprint: Fingerprint) {
        let key = (choice.server.clone(), choice.born_ms);
        let mut table = self.table.lock();
        let broken = table.broken.entry(key).or_insert_with(|| Broken {
            choice: choice.clone(),
            ran: Vec::new(),
            checking: false,
        });
        if broken.ran.len() < BROKEN_MAX {
            broken.ran.push(fingerprint);
        }
        self.unchecked.notify_one();
    }

    /// Clears a suspected request that a server has answered.
    pub fn clear(&self, fingerprint: Fingerprint) {
        let mut table = self.table.lock();
        table.poison.clear_suspect(Instant::now(), fingerprint);
    }

    /// Servers with broken connections that are not being checked yet.
    fn take_unchecked(&self) -> Vec<Choice> {
        let mut table = self.table.lock();
        let unchecked = table.broken.values_mut().filter(|broken| !broken.checking);
        let taken = unchecked.map(|broken| {
            broken.checking = true;
            broken.choice.clone()
        });
        taken.collect()
    }

    /// Ends the check of a server; if it has crashed, marks the requests that ran and
    /// returns the marks for other entry VMs.
    fn finish_check(&self, choice: &Choice, crashed: bool) -> Vec<Finding> {
        let now = Instant::now();
        let mut table = self.table.lock();
        let key = (choice.server.clone(), choice.born_ms);
        let ran = table.broken.remove(&key).map_or_else(Vec::new, |b| b.ran);
        let crash = crashed.then(|| Crash::new(&choice.server, choice.born_ms, ran));
        let Some(crash) = crash.flatten() else {
            return Vec::new();
        };
        let first = crash.ran.iter().take(LOGGED_MAX).map(ToString::to_string);
        log::warn!(
            target: "belief", server:% = choice.server, born_ms = choice.born_ms,
            addr:% = choice.addr, ran = crash.ran.len(),
            first:% = first.collect::<Vec<_>>().join(" ");
            "backend server crashed"
        );
        table.poison.record_crash(now, &crash);
        let marks = crash.ran.iter().filter_map(|f| table.poison.mark(now, *f));
        marks.map(Finding::Crash).collect()
    }

    /// Merges a mark of another entry VM; returns this entry VM's mark if that is
    /// confirmed by it.
    pub(crate) fn merge(&self, mark: &balancer::Mark) -> Option<Finding> {
        let now = Instant::now();
        let mut table = self.table.lock();
        table.poison.merge(now, std::slice::from_ref(mark));
        let merged = table.poison.mark(now, mark.fingerprint)?;
        (merged.convicted && !mark.convicted).then_some(Finding::Crash(merged))
    }
}

/// Checks servers whose connections broke, until the task is aborted.
pub async fn check_broken_servers<D: Dialect>(state: Arc<State<D>>) {
    loop {
        state.crashes.unchecked.notified().await;
        for choice in state.crashes.take_unchecked() {
            tokio::spawn(check_server(Arc::clone(&state), choice));
        }
    }
}

/// Connects to a server whose connections broke. A server that refuses has crashed; an
/// open connection is kept for later requests.
async fn check_server<D: Dialect>(state: Arc<State<D>>, choice: Choice) {
    let timeout = attempt::connect_timeout(&state, &choice);
    let opened = Connection::open(choice.addr, timeout).await;
    let crashed = matches!(opened, Err(Failure::Refused));
    if crashed {
        state.stats.record_crash(&choice);
    }
    for finding in state.crashes.finish_check(&choice, crashed) {
        state.findings.report(finding, Instant::now());
    }
    if let Ok(connection) = opened {
        state.pool.keep(&choice, connection);
    }
}
