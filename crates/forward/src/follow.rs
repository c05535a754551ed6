//! Follows two control VMs at a time, and moves on from one that falls silent,
//! is cut off from the others, or lags.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use discovery::{News, Row};
use peers::{ClientOnly, Identity, Links};
use rand::seq::IndexedRandom;
use routed_control::{FeedRequest, FeedResponse, Reader};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use wire::Body;
use wire::body::Feed;
use world::unit::as_ms;
use world::{Rank, Ranked, RegionName, Result};

use crate::dialect::Dialect;
use crate::pause;
use crate::state::State;

/// Control VMs that are followed at a time: while one is being replaced, news
/// still come from the other.
const FOLLOWED: usize = 2;

/// Longest wait for an answer: half a second for which a hub waits for news,
/// and a second for a way on which large answers are queued.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// Time for which a control VM may lag behind what is known here: replicas
/// learn of a commit with the next heartbeat of their leader, every 250 ms.
const BEHIND_MAX: Duration = Duration::from_secs(1);

/// Pause after a question that was not answered.
const PAUSE: Duration = Duration::from_millis(50);

/// Pause of the whole machine after which nothing is known of connections.
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// Time between two looks at tables and clocks.
const TEND_EVERY: Duration = Duration::from_millis(500);

/// A control VM that may be followed.
#[derive(Clone, Debug)]
struct Control {
    ip: IpAddr,
    region: Option<RegionName>,
}

/// Follows the control VMs.
pub struct Follow<D: Dialect> {
    state: Arc<State<D>>,
    links: Links<ClientOnly>,
    controls: Ranked<Vec<Control>>,
    following: Ranked<Following>,
}

/// Which control VMs are followed, and how far this entry VM is with each.
#[derive(Debug, Default)]
struct Following {
    now: [Option<IpAddr>; FOLLOWED],
    cursors: BTreeMap<IpAddr, Cursor>,
}

/// How far this entry VM is with the hub that it follows.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    boot: u64,
    roster: u64,
}

impl<D: Dialect> Follow<D> {
    /// Follows from the seeds on.
    ///
    /// # Errors
    /// [`world::Kind::BadRequest`] when this machine's name is none.
    pub fn new(state: Arc<State<D>>) -> Result<Self> {
        let settings = &state.settings;
        let identity = Identity::new(settings.spread.name.clone(), settings.secret.clone());
        let seed = |ip: &IpAddr| Control {
            ip: *ip,
            region: None,
        };
        let controls = settings.seeds.iter().map(seed).collect();
        Ok(Self {
            links: Links::new(identity, Arc::new(ClientOnly)),
            controls: Ranked::new(Rank::Members, controls),
            following: Ranked::new(Rank::Roster, Following::default()),
            state,
        })
    }

    /// Takes in other seeds.
    pub fn set_seeds(&self, seeds: &[IpAddr]) {
        let mut controls = self.controls.lock();
        for ip in seeds {
            if !controls.iter().any(|c| c.ip == *ip) {
                controls.push(Control {
                    ip: *ip,
                    region: None,
                });
            }
        }
    }

    /// Follows until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut tasks = JoinSet::new();
        for place in 0..FOLLOWED {
            tasks.spawn(Arc::clone(&self).keep_following(place));
        }
        tasks.join_all().await;
    }

    async fn keep_following(self: Arc<Self>, place: usize) {
        let mut failed = None;
        loop {
            let Some(ip) = self.choose(place, failed) else {
                sleep(PAUSE).await;
                continue;
            };
            let reason = self.follow(ip).await;
            log::info!(target: "forward", control:% = ip, reason; "control VM not followed any more");
            self.following.lock().now[place] = None;
            failed = Some(ip);
            sleep(PAUSE).await;
        }
    }

    /// A control VM of the own region, else any; not the one that just failed,
    /// unless there is no other, and none that is followed already.
    fn choose(&self, place: usize, failed: Option<IpAddr>) -> Option<IpAddr> {
        let home = &self.state.settings.spread.place.region;
        let controls = self.controls.lock();
        let mut following = self.following.lock();
        let free = |c: &&Control| !following.now.contains(&Some(c.ip));
        let free: Vec<&Control> = controls.iter().filter(free).collect();
        let others = free.iter().filter(|c| Some(c.ip) != failed);
        let near = others.clone().filter(|c| c.region.as_ref() == Some(home));
        let (others, near): (Vec<_>, Vec<_>) = (others.collect(), near.collect());
        let mut rng = rand::rng();
        let chosen = if failed.is_none() {
            near.choose(&mut rng)
        } else {
            None
        };
        let chosen = chosen.or_else(|| others.choose(&mut rng)).map(|c| c.ip);
        let chosen = chosen.or_else(|| free.first().map(|c| c.ip));
        following.now[place] = chosen;
        chosen
    }

    /// Follows one control VM; gives why not any longer.
    async fn follow(&self, ip: IpAddr) -> &'static str {
        let addr = SocketAddr::new(ip, self.state.settings.link_port);
        let known = self.following.lock().cursors.get(&ip).copied();
        let mut cursor = known.unwrap_or_default();
        let mut followed = false;
        let mut fresh_at = Instant::now();
        loop {
            let asked_at = Instant::now();
            let Some(give) = self.ask(addr, cursor).await else {
                return "no answer";
            };
            let index = self.state.catalog.lock().index();
            let (current, newest) = (give.current, give.catalog_index);
            if !give.current && self.state.table.load().is_known() {
                return "cut off from the other control VMs";
            }
            if give.catalog_index >= index {
                fresh_at = Instant::now();
            } else if fresh_at.elapsed() > BEHIND_MAX {
                return "behind";
            }
            if !followed {
                log::info!(target: "forward", control:% = ip, index = give.catalog_index; "following");
                followed = true;
            }
            cursor = Cursor {
                boot: give.boot,
                roster: give.cursor,
            };
            self.following.lock().cursors.insert(ip, cursor);
            self.take(give);
            if current && newest >= index {
                self.state.confirm(asked_at);
            }
        }
    }

    fn take(&self, give: FeedResponse) {
        let now = Instant::now();
        if !give.catalog.is_empty() {
            self.state.merge_catalog(give.catalog);
        }
        let mut controls = Vec::new();
        let mut spread = self.state.spread.lock();
        if give.whole && give.settled {
            let kept: BTreeSet<_> = give.news.iter().map(|news| news.row.key()).collect();
            let gone: Vec<_> = spread
                .servers()
                .filter(|(name, _)| !kept.contains(&discovery::Key::Server((*name).clone())))
                .map(|(name, born_ms)| (name.clone(), born_ms))
                .collect();
            for (name, born_ms) in gone {
                spread.remove_server(&name, born_ms);
            }
        }
        for News { row, age_ms, lost } in give.news {
            match row {
                Row::Server(row) if lost => {
                    log::info!(
                        target: "belief", server:% = row.name, born_ms = row.born_ms, age_ms;
                        "server lost"
                    );
                    spread.remove_server(&row.name, row.born_ms);
                }
                Row::Server(row) => spread.apply_announcement(&row, age_ms, now),
                Row::Entry(row) => spread.update_entry_vm(&row.name, lost, now),
                Row::Control(row) if !lost => controls.push(row),
                Row::Control(_) => {}
            }
        }
        drop(spread);
        if controls.is_empty() {
            return;
        }
        let mut known = self.controls.lock();
        for row in controls {
            known.retain(|c| c.ip != row.link.ip());
            known.push(Control {
                ip: row.link.ip(),
                region: Some(row.place.region),
            });
        }
    }

    async fn ask(&self, addr: SocketAddr, cursor: Cursor) -> Option<FeedResponse> {
        let ask = FeedRequest {
            reader: Reader::Entry,
            me: self.state.me(),
            boot: cursor.boot,
            cursor: cursor.roster,
            catalog_index: self.state.catalog.lock().index(),
        };
        let payload = routed_control::feed::encode(&ask)
            .inspect_err(
                |e| log::error!(target: "forward", error:% = e; "a question was not encoded"),
            )
            .ok()?;
        let link = self.links.to(addr);
        match link.call(Body::FeedAsk(Feed { payload }), PATIENCE).await {
            Ok(Body::FeedGive(give)) => routed_control::feed::decode(&give.payload)
                .inspect_err(|e| log::warn!(target: "forward", error:% = e; "unreadable answer"))
                .ok(),
            Ok(_) | Err(_) => None,
        }
    }

    /// Tells every control VM at once that this entry VM leaves. Whoever is not
    /// reached hears of it from the others.
    pub fn say_leaving(self: &Arc<Self>) {
        let ips: Vec<IpAddr> = self.controls.lock().iter().map(|c| c.ip).collect();
        for ip in ips {
            let follow = Arc::clone(self);
            tokio::spawn(async move {
                let addr = SocketAddr::new(ip, follow.state.settings.link_port);
                let known = follow.following.lock().cursors.get(&ip).copied();
                let told = follow.ask(addr, known.unwrap_or_default()).await;
                log::info!(
                    target: "forward", control:% = ip, told = told.is_some();
                    "told that this entry VM leaves"
                );
            });
        }
    }
}

/// Tends the tables: shares, budgets, idle connections.
pub async fn tend<D: Dialect>(state: Arc<State<D>>) {
    let mut clock = pause::Clock::now();
    loop {
        sleep(TEND_EVERY).await;
        state.spread.lock().advance(Instant::now());
        state.pool.expire();
        state.measure_link();
        let paused = clock.advance().saturating_sub(TEND_EVERY);
        if paused > PAUSE_MAX {
            let paused_ms = as_ms(paused);
            log::warn!(target: "forward", paused_ms; "this machine stood still; idle connections dropped");
            state.pool.clear();
        }
    }
}
