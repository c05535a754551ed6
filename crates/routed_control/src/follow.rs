//! Follows the rosters of all other control VMs.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;
use wire::Body;
use wire::body::Feed;

use crate::feed::{self, Ask, Give, Reader};
use crate::hub::Hub;

/// Time between two looks for control VMs that are not followed yet.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Longest wait for an answer: the hub's own wait and a second for the way.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// Pause after a question that was not answered.
const PAUSE: Duration = Duration::from_millis(250);

/// Follows every control VM that becomes known.
pub async fn run(hub: Arc<Hub>) {
    let mut followed: HashMap<IpAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let known = hub.controls();
        followed.retain(|ip, task| {
            let keep = known.contains(ip);
            if !keep {
                task.abort();
            }
            keep
        });
        for ip in known {
            let hub = Arc::clone(&hub);
            followed
                .entry(ip)
                .or_insert_with(|| tokio::spawn(follow(hub, ip)));
        }
        sleep(LOOK_EVERY).await;
    }
}

async fn follow(hub: Arc<Hub>, ip: IpAddr) {
    let addr = SocketAddr::new(ip, hub.settings.link_port);
    let (mut boot, mut cursor) = (0, 0);
    let mut reached = None;
    loop {
        let ask = Ask {
            reader: Reader::Control,
            me: hub.me(),
            boot,
            cursor,
            catalog_index: 0,
        };
        let give = question(&hub, addr, &ask).await;
        if reached != Some(give.is_some()) {
            reached = Some(give.is_some());
            log::info!(target: "hub", control:% = ip, reached = give.is_some(); "control VM");
        }
        let Some(give) = give else {
            sleep(PAUSE).await;
            continue;
        };
        (boot, cursor) = (give.boot, give.cursor);
        hub.merge(give.news);
    }
}

async fn question(hub: &Hub, addr: SocketAddr, ask: &Ask) -> Option<Give> {
    let links = hub.links.get()?;
    let payload = match feed::encode(ask) {
        Ok(payload) => payload,
        Err(error) => {
            log::error!(target: "hub", error:% = error; "a question was not encoded");
            return None;
        }
    };
    let link = links.to(addr);
    match link.call(Body::FeedAsk(Feed { payload }), PATIENCE).await {
        Ok(Body::FeedGive(give)) => feed::decode(&give.payload)
            .inspect_err(|e| log::warn!(target: "hub", error:% = e; "unreadable answer"))
            .ok(),
        Ok(_) | Err(_) => None,
    }
}
