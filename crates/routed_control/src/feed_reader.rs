//! Replicates the registries of all other control VMs into this one by reading their
//! feeds.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;
use wire::Body;
use wire::body::Feed;

use crate::control_vm::ControlVm;
use crate::feed::{self, FeedRequest, FeedResponse, Reader};

/// Time between two checks for control VMs that have joined or left.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a feed request: the long-poll wait of 500 ms and a second for the
/// network.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay after a request that failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Runs one task for each known control VM, which reads its feed.
pub async fn run(control_vm: Arc<ControlVm>) {
    let mut reader_tasks: HashMap<IpAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let control_vms = control_vm.controls();
        reader_tasks.retain(|ip, task| {
            let keep = control_vms.contains(ip);
            if !keep {
                task.abort();
            }
            keep
        });
        for ip in control_vms {
            let control_vm = Arc::clone(&control_vm);
            reader_tasks
                .entry(ip)
                .or_insert_with(|| tokio::spawn(read_feed(control_vm, ip)));
        }
        sleep(DISCOVERY_INTERVAL).await;
    }
}

async fn read_feed(control_vm: Arc<ControlVm>, ip: IpAddr) {
    let addr = SocketAddr::new(ip, control_vm.settings.link_port);
    let (mut boot, mut cursor) = (0, 0);
    let mut reached = None;
    loop {
        let request = FeedRequest {
            reader: Reader::Control,
            me: control_vm.own_row(),
            boot,
            cursor,
            catalog_index: 0,
            findings: Vec::new(),
        };
        let response = request_feed(&control_vm, addr, &request).await;
        if reached != Some(response.is_some()) {
            reached = Some(response.is_some());
            log::info!(target: "hub", control:% = ip, reached = response.is_some(); "control VM");
        }
        let Some(response) = response else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        (boot, cursor) = (response.boot, response.cursor);
        control_vm.merge(response.news.into_iter().chain(response.findings));
    }
}

async fn request_feed(
    control_vm: &ControlVm,
    addr: SocketAddr,
    request: &FeedRequest,
) -> Option<FeedResponse> {
    let links = control_vm.links.get()?;
    let payload = match feed::encode(request) {
        Ok(payload) => payload,
        Err(error) => {
            log::error!(target: "hub", error:% = error; "failed to encode a feed request");
            return None;
        }
    };
    let link = links.to(addr);
    match link
        .call(Body::FeedRequest(Feed { payload }), CALL_TIMEOUT)
        .await
    {
        Ok(Body::FeedResponse(response)) => feed::decode(&response.payload)
            .inspect_err(
                |e| log::warn!(target: "hub", error:% = e; "failed to decode a feed response"),
            )
            .ok(),
        Ok(_) | Err(_) => None,
    }
}
