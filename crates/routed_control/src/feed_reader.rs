//! Merges what was announced to the other control VMs into this one's registry, by
//! reading their feeds. Rows of a control VM that does not answer come through others.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use catalog::Position;
use discovery::Origin;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use wire::Body;
use world::MachineName;

use crate::control_vm::ControlVm;
use crate::feed::{self, FeedPage, FeedRequest, Paging, Reader};
use crate::settings::name_of;

/// Time between two checks for control VMs that have joined or left.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);

/// Time in which no byte of a feed response arrives after which the request has failed:
/// the long-poll wait of 500 ms and a second for the network.
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
        control_vm.reach.lock().retain(&control_vms);
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
    let Ok(name) = name_of(ip) else {
        return;
    };
    let (mut boot, mut cursor, mut continued) = (0, 0, false);
    let mut relayed: Vec<MachineName> = Vec::new();
    loop {
        let silent = control_vm.reach.lock().relayed_by(ip);
        let relayed_now = silent
            .into_iter()
            .filter_map(|ip| name_of(ip).ok())
            .collect();
        let before = std::mem::replace(&mut relayed, relayed_now);
        if relayed.iter().any(|name| !before.contains(name)) {
            log::info!(target: "hub", control:% = ip, relayed:? = relayed; "rows of control VMs that do not answer come through another");
            // Rows of theirs before the cursor were not passed on.
            cursor = 0;
        }
        let request = FeedRequest {
            reader: Reader::Control,
            me: control_vm.own_row(),
            boot,
            cursor,
            catalog_index: 0,
            findings: Vec::new(),
            relayed: relayed.clone(),
            paging: Some(Paging {
                position: Position::default(),
                takes_rows: true,
                continued,
            }),
        };
        let response = request_feed(&control_vm, addr, &request).await;
        if control_vm.record_reach(ip, response.is_some()) {
            log::info!(target: "hub", control:% = ip, reached = response.is_some(); "control VM");
        }
        let Some(FeedPage { response, .. }) = response else {
            continued = false;
            sleep(RETRY_DELAY).await;
            continue;
        };
        (boot, cursor, continued) = (response.boot, response.cursor, response.more);
        let origin = Origin::ControlVm(name.clone());
        control_vm.merge_from(&origin, response.news.into_iter().chain(response.findings));
    }
}

async fn request_feed(
    control_vm: &ControlVm,
    addr: SocketAddr,
    request: &FeedRequest,
) -> Option<FeedPage> {
    let links = control_vm.links.get()?;
    let request = match feed::encode_request(request) {
        Ok(request) => request,
        Err(error) => {
            log::error!(target: "hub", error:% = error; "failed to encode a feed request");
            return None;
        }
    };
    let link = links.to(addr);
    match link
        .call_while_receiving(Body::FeedRequest(request), CALL_TIMEOUT)
        .await
    {
        Ok(Body::FeedResponse(response)) => FeedPage::decode(&response)
            .inspect_err(
                |e| log::warn!(target: "hub", error:% = e; "failed to decode a feed response"),
            )
            .ok(),
        Ok(_) | Err(_) => None,
    }
}
