//! Requests that crash backend servers: which server has crashed, which requests ran
//! there, and which requests are no longer sent.
//!
//! A connection that breaks may have many causes. Only if the server then refuses a new
//! connection has it crashed, and the requests that broke there are marked. A request
//! equal to one that a server has just answered is not to blame: a popular one runs
//! nearly always somewhere, so also where a server crashes for another reason.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use affinity::Choice;
use balancer::{Crash, Fingerprint, Poison, PoisonSettings, Verdict};
use discovery::Finding;
use tokio::sync::Notify;
use tokio::time::Instant;
use world::{Error, ErrorKind, LockRank, RankedMutex, ServerName};

use crate::connection::{Connection, Failure};
use crate::dialect::Dialect;
use crate::refusal::Refusal;
use crate::state::State;

/// Most broken requests that are kept for one server: more than it runs at once.
const BROKEN_MAX: usize = 256;

/// Time after which an answer to an equal request no longer clears a request of a crash:
/// between one and two times this. Once a request crashes all its servers, nobody
/// answers it any more.
const ANSWERED_TIME: Duration = Duration::from_secs(5);

/// Most answered requests that are remembered in that time, at 8 bytes each and some for
/// the table.
const ANSWERED_MAX: usize = 16_384;

/// Most servers that may crash within [`MASS_TIME`] because of a request. More of them
/// have another cause, and marks of all that ran there would only be passed around.
const MASS_CRASHES: usize = 3;

/// Time in which crashes count as one event.
const MASS_TIME: Duration = Duration::from_secs(2);

/// Most requests that are named in the log line of a crash.
const LOGGED_MAX: usize = 8;

/// Marks of requests, and servers whose connections broke.
pub struct Crashes {
    table: RankedMutex<Table>,
    unchecked: Notify,
}

struct Table {
    poison: Poison,
    answered: Answered,
    /// Times of the latest crashes, at most [`MASS_CRASHES`].
    crashed_at: VecDeque<Instant>,
    /// By server and its start time.
    broken: HashMap<(ServerName, u64), Broken>,
}

/// Requests that servers have answered lately, in two generations of which the older one
/// is dropped after [`ANSWERED_TIME`].
struct Answered {
    newer: HashSet<Fingerprint>,
    older: HashSet<Fingerprint>,
    newer_since: Instant,
}

impl Answered {
    fn new(now: Instant) -> Self {
        Self {
            newer: HashSet::new(),
            older: HashSet::new(),
            newer_since: now,
        }
    }

    /// Drops what is too old by now.
    fn advance(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.newer_since);
        if age >= ANSWERED_TIME {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        if age >= ANSWERED_TIME * 2 {
            self.older.clear();
        }
    }

    fn record(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.advance(now);
        if self.newer.len() < ANSWERED_MAX {
            self.newer.insert(fingerprint);
        }
    }

    fn contains(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.advance(now);
        self.newer.contains(&fingerprint) || self.older.contains(&fingerprint)
    }
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
            answered: Answered::new(Instant::now()),
            crashed_at: VecDeque::new(),
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

    /// Records that a server has answered a request, which clears it if it is suspected.
    pub fn record_answer(&self, fingerprint: Fingerprint) {
        let now = Instant::now();
        let mut table = self.table.lock();
        table.answered.record(fingerprint, now);
        table.poison.clear_suspect(now, fingerprint);
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
        let Table {
            poison,
            answered,
            crashed_at,
            broken,
        } = &mut *table;
        let mut ran = broken.remove(&key).map_or_else(Vec::new, |b| b.ran);
        ran.retain(|fingerprint| !answered.contains(*fingerprint, now));
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
        if is_mass_crash(crashed_at, now) {
            return Vec::new();
        }
        poison.record_crash(now, &crash);
        let marks = crash.ran.iter().filter_map(|f| poison.mark(now, *f));
        marks.map(Finding::Crash).collect()
    }

    /// Merges a mark of another entry VM, unless an equal request was answered here lately;
    /// returns this entry VM's mark if that is confirmed by it.
    pub(crate) fn merge(&self, mark: &balancer::Mark) -> Option<Finding> {
        let now = Instant::now();
        let mut table = self.table.lock();
        if table.answered.contains(mark.fingerprint, now) {
            return None;
        }
        table.poison.merge(now, std::slice::from_ref(mark));
        let merged = table.poison.mark(now, mark.fingerprint)?;
        (merged.convicted && !mark.convicted).then_some(Finding::Crash(merged))
    }
}

/// Records a crash; returns whether it is one of more than [`MASS_CRASHES`] within
/// [`MASS_TIME`].
fn is_mass_crash(crashed_at: &mut VecDeque<Instant>, now: Instant) -> bool {
    let is_old = |at: &Instant| now.saturating_duration_since(*at) > MASS_TIME;
    while crashed_at.front().is_some_and(is_old) {
        crashed_at.pop_front();
    }
    let is_mass = crashed_at.len() >= MASS_CRASHES;
    if is_mass {
        crashed_at.pop_front();
    }
    crashed_at.push_back(now);
    is_mass
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
    let timeout = state.balancer.lock().connect_timeout(&choice.place.region);
    let opened = Connection::open(choice.addr, timeout).await;
    let refused = matches!(opened, Err(Failure::Refused));
    let is_leaving = || {
        let balancer = state.balancer.lock();
        balancer.is_leaving(&choice.server, choice.born_ms)
    };
    // A server that leaves ends as it has said.
    let crashed = refused && !is_leaving();
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
