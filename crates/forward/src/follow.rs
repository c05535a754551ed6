//! Long-polls the feeds of two control VMs at a time. Switches to another
//! control VM when one is unresponsive, isolated from the others, or lags.

mod apply;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use discovery::{Key, Update};
use peers::{Identity, Links, suspension};
use rand::seq::IndexedRandom;
use routed_control::{FeedPage, FeedRequest, Paging, Reader};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use wire::Body;
use world::unit::as_ms;
use world::{LockRank, RankedMutex, RegionName, Result};

use self::apply::Received;
use crate::dialect::Dialect;
use crate::feed_link::{self, FeedClient};
use crate::state::State;
use crate::transfer::Transfer;

/// Control VMs that are followed at a time: while one is being replaced,
/// updates still arrive from the other.
const FOLLOWED: usize = 2;

/// Time in which no byte of a feed response arrives after which the request has failed:
/// a control VM holds it for up to half a second until it has updates, and large responses
/// queued on the network may delay its response by a second.
const FEED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which the catalog of a control VM may be older than the local one:
/// replicas learn of a commit with the leader's next heartbeat, every 250 ms.
const LAG_MAX: Duration = Duration::from_secs(1);

/// Pause before following another control VM after a failed feed request.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Suspension of this machine after which idle connections are dropped, since
/// servers may have closed them meanwhile.
const SUSPENSION_MAX: Duration = Duration::from_secs(1);

/// Interval of the maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// A known control VM. The region of a seed is unknown until its announcement
/// arrives.
#[derive(Clone, Debug)]
struct Control {
    ip: IpAddr,
    region: Option<RegionName>,
}

/// Follows the control VMs and applies their feeds to the state.
pub struct ControlFollower<D: Dialect> {
    state: Arc<State<D>>,
    links: Links<FeedClient<D>>,
    controls: RankedMutex<Vec<Control>>,
    following: RankedMutex<Following>,
}

/// Control VMs followed now, and the feed cursor for each known one.
#[derive(Debug, Default)]
struct Following {
    followed: [Option<IpAddr>; FOLLOWED],
    cursors: BTreeMap<IpAddr, Cursor>,
    transfer: Transfer,
    /// Keys of the rows so far, for each control VM whose whole registry is arriving.
    arriving: BTreeMap<IpAddr, BTreeSet<Key>>,
}

impl Following {
    /// Records a response with rows from `ip`. Returns the keys of all rows of its
    /// registry when the response completes a transfer of the whole.
    fn record(&mut self, position: usize, ip: IpAddr, page: &FeedPage) -> Option<BTreeSet<Key>> {
        self.transfer.record(position, page.has_more());
        let response = &page.response;
        if response.whole {
            self.arriving.insert(ip, BTreeSet::new());
        }
        let keys = self.arriving.get_mut(&ip)?;
        let rows = response.news.iter().chain(&response.findings);
        keys.extend(rows.map(|update| update.row.key()));
        if response.more {
            return None;
        }
        self.arriving.remove(&ip)
    }
}

/// Position in the feed of a control VM.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    /// Incarnation of the control VM.
    incarnation: u64,
    /// Position in its updates of the discovery registry.
    registry: u64,
    /// Position up to which findings were reported to it.
    reported: u64,
}

impl<D: Dialect> ControlFollower<D> {
    /// Starts with the seeds of the settings as the known control VMs.
    ///
    /// # Errors
    /// [`world::ErrorKind::BadRequest`] when this machine's name is invalid.
    pub fn new(state: Arc<State<D>>) -> Result<Self> {
        let settings = &state.settings;
        let identity = Identity::new(settings.balancer.name.clone(), settings.secret.clone());
        let seed = |ip: &IpAddr| Control {
            ip: *ip,
            region: None,
        };
        let controls = settings.seeds.iter().map(seed).collect();
        Ok(Self {
            links: Links::new(identity, Arc::new(FeedClient::new(Arc::clone(&state)))),
            controls: RankedMutex::new(LockRank::Members, controls),
            following: RankedMutex::new(LockRank::Registry, Following::default()),
            state,
        })
    }

    /// Adds seeds to the known control VMs.
    pub fn add_seeds(&self, seeds: &[IpAddr]) {
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

    /// Follows control VMs until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        let mut tasks = JoinSet::new();
        for position in 0..FOLLOWED {
            tasks.spawn(Arc::clone(&self).keep_following(position));
        }
        tasks.join_all().await;
    }

    /// Keeps one of the [`FOLLOWED`] positions filled: follows a control VM and,
    /// when that ends, another one.
    async fn keep_following(self: Arc<Self>, position: usize) {
        let mut failed = None;
        loop {
            let Some(ip) = self.choose(position, failed) else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            let reason = self.follow(position, ip).await;
            let busy_percent = self.state.busy_percent();
            log::info!(
                target: "forward", control:% = ip, reason, busy_percent;
                "stopped following a control VM"
            );
            self.release(position);
            failed = Some(ip);
            sleep(RETRY_PAUSE).await;
        }
    }

    fn release(&self, position: usize) {
        let mut following = self.following.lock();
        following.followed[position] = None;
        following.transfer.end(position);
    }

    /// Chooses a control VM that is not followed yet, preferably of this region.
    /// After a failure, chooses from all regions, and the failed one only if
    /// there is no other.
    fn choose(&self, position: usize, failed: Option<IpAddr>) -> Option<IpAddr> {
        let home = &self.state.settings.balancer.place.region;
        let controls = self.controls.lock();
        let mut following = self.following.lock();
        let available = |c: &&Control| !following.followed.contains(&Some(c.ip));
        let available: Vec<&Control> = controls.iter().filter(available).collect();
        let others = available.iter().filter(|c| Some(c.ip) != failed);
        let near = others.clone().filter(|c| c.region.as_ref() == Some(home));
        let (others, near): (Vec<_>, Vec<_>) = (others.collect(), near.collect());
        let mut rng = rand::rng();
        let chosen = if failed.is_none() {
            near.choose(&mut rng)
        } else {
            None
        };
        let chosen = chosen.or_else(|| others.choose(&mut rng)).map(|c| c.ip);
        let chosen = chosen.or_else(|| available.first().map(|c| c.ip));
        following.followed[position] = chosen;
        chosen
    }

    /// Follows one control VM; returns the reason for stopping.
    async fn follow(&self, position: usize, ip: IpAddr) -> &'static str {
        let addr = SocketAddr::new(ip, self.state.settings.link_port);
        let known = self.following.lock().cursors.get(&ip).copied();
        let mut cursor = known.unwrap_or_default();
        let mut logged = false;
        let mut caught_up_at = Instant::now();
        loop {
            let requested_at = Instant::now();
            let findings = &self.state.findings;
            let (unreported, reported) = findings.unreported(cursor.reported, requested_at);
            let transfer = self.following.lock().transfer;
            let paging = Paging {
                position: self.state.catalog.lock().position().clone(),
                takes_rows: transfer.takes_rows(position),
                continued: transfer.is_receiver(position),
            };
            let (takes_rows, index) = (paging.takes_rows, paging.position.index);
            let Some(page) = self.request_feed(addr, cursor, paging, unreported).await else {
                return "no answer";
            };
            let response = &page.response;
            let (current, newest) = (response.current, response.catalog_index);
            if !current && self.state.routes.load().is_known() {
                return "cut off from the other control VMs";
            }
            if newest >= index {
                caught_up_at = Instant::now();
            } else if caught_up_at.elapsed() > LAG_MAX {
                return "behind";
            }
            if !logged {
                log::info!(target: "forward", control:% = ip, index = newest; "following");
                logged = true;
            }
            cursor = Cursor {
                incarnation: response.boot,
                registry: response.cursor,
                reported,
            };
            let whole = takes_rows.then(|| {
                let mut following = self.following.lock();
                following.cursors.insert(ip, cursor);
                following.record(position, ip, &page)
            });
            let received = Received {
                whole: whole.flatten(),
                is_complete: takes_rows && !page.has_more(),
                page,
            };
            self.apply_feed(received);
            if current && newest >= index && self.state.catalog.lock().position().covers(newest) {
                self.state.confirm(requested_at);
            }
        }
    }

    /// Requests the changes since `cursor`; `None` on timeout or an invalid
    /// response.
    async fn request_feed(
        &self,
        addr: SocketAddr,
        cursor: Cursor,
        paging: Paging,
        findings: Vec<Update>,
    ) -> Option<FeedPage> {
        let request = FeedRequest {
            reader: Reader::Entry,
            me: self.state.announcement(),
            boot: cursor.incarnation,
            cursor: cursor.registry,
            // One that was read in part is read again by a control VM of an earlier
            // version, which sends whole commands only.
            catalog_index: paging.position.whole_index(),
            findings,
            relayed: Vec::new(),
            paging: Some(paging),
        };
        let request = routed_control::feed::encode_request(&request)
            .inspect_err(
                |e| log::error!(target: "forward", error:% = e; "could not encode a feed request"),
            )
            .ok()?;
        let link = self.links.to(addr);
        let max_wait = FEED_TIMEOUT + feed_link::patience(self.state.busy_percent());
        let response = link.call_while_receiving(Body::FeedRequest(request), max_wait);
        let Ok(Body::FeedResponse(response)) = response.await else {
            return None;
        };
        let bytes = response.payload.len() + response.catalog.len();
        self.state.pace_in.count(bytes);
        FeedPage::decode(&response)
            .inspect_err(
                |e| log::warn!(target: "forward", error:% = e; "could not decode a feed response"),
            )
            .ok()
    }

    /// Notifies every known control VM, in parallel, that this entry VM is
    /// leaving. Those that can't be reached learn it from the others.
    pub fn notify_leaving(self: &Arc<Self>) {
        let ips: Vec<IpAddr> = self.controls.lock().iter().map(|c| c.ip).collect();
        for ip in ips {
            let follow = Arc::clone(self);
            tokio::spawn(async move {
                let addr = SocketAddr::new(ip, follow.state.settings.link_port);
                let known = follow.following.lock().cursors.get(&ip).copied();
                let cursor = known.unwrap_or_default();
                let paging = Paging {
                    position: follow.state.catalog.lock().position().clone(),
                    takes_rows: false,
                    continued: false,
                };
                let response = follow.request_feed(addr, cursor, paging, Vec::new()).await;
                log::info!(
                    target: "forward", control:% = ip, told = response.is_some();
                    "notified a control VM that this entry VM is leaving"
                );
            });
        }
    }
}

/// Periodic maintenance of the balancer, idle connections and link usage. Drops
/// all idle connections after a suspension of the machine.
pub async fn maintain<D: Dialect>(state: Arc<State<D>>) {
    let mut clock = suspension::BootClock::now();
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        state.balancer.lock().advance(Instant::now());
        state.pool.expire();
        state.findings.expire(Instant::now());
        state.measure();
        let paused = clock.advance().saturating_sub(MAINTENANCE_INTERVAL);
        if paused > SUSPENSION_MAX {
            let paused_ms = as_ms(paused);
            log::warn!(target: "forward", paused_ms; "this machine was suspended; idle connections dropped");
            state.pool.clear();
        }
    }
}
