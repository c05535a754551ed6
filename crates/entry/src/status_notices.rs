//! Status notices that entry VMs send each other: customers' demand, so that a plan limit
//! holds over all VMs; poison marks; and a digest of the live members, so that
//! ownership of a backend server changes without a long wait.

use std::sync::Arc;
use std::time::Duration;

use admission::limit::ObservedDemand;
use balancer::{Fingerprint, Mark};
use peers::Links;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};
use wire::Body;
use wire::body::{Demand, PoisonMark, StatusNotice};
use world::{CustomerName, EntryVm, MachineName, ServiceName};

use crate::admission_control::AdmissionControl;
use crate::state::State;

/// Interval between status notices.
pub const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// Sends status notices to all live entry VMs until the task is dropped.
pub async fn send_status_notices(state: Arc<State>, links: Arc<Links<State>>) {
    let mut ticks = interval(NOTICE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sending = JoinSet::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = state.admission.wait_new_marks() => {}
        }
        while sending.try_join_next().is_some() {}
        let now = Instant::now();
        let others = others(&state, now);
        let vm_count = u32::try_from(others.len() + 1).unwrap_or(u32::MAX);
        let notice = StatusNotice {
            live_digest: live_digest(&state, now),
            ..notice(&state.admission, now, vm_count)
        };
        for vm in others {
            let link = links.to(vm.link_addr);
            let notice = Body::StatusNotice(notice.clone());
            sending.spawn(async move { link.notify(notice).await });
        }
    }
}

/// Handles a status notice of another entry VM.
pub fn handle_status_notice(state: &State, from: &MachineName, notice: &StatusNotice) {
    let now = Instant::now();
    let admission = &state.admission;
    if notice.live_digest != 0 {
        state.site.record_peer_digest(now, from, notice.live_digest);
        state.update_all_ownership(now);
    }
    let observed: Vec<ObservedDemand> =
        notice.demands.iter().filter_map(demand_from_wire).collect();
    admission.record_peer_demand(now, from, &observed);
    let marks: Vec<Mark> = notice.marks.iter().map(mark_from_wire).collect();
    admission.merge_marks(now, &marks);
}

fn others(state: &State, now: Instant) -> Vec<Arc<EntryVm>> {
    let mut others = state.site.entries(now);
    others.retain(|vm| vm.name != state.me.name);
    others
}

/// Digest of the members that this VM sees as live. It is 0, which means none, while
/// this VM has work at servers that it no longer owns: the new owner must wait for that
/// work to end.
fn live_digest(state: &State, now: Instant) -> u64 {
    if state.admission.fleet().table().lock().has_unowned_work() {
        return 0;
    }
    state.site.digest(now).unwrap_or(0)
}

fn notice(admission: &AdmissionControl, now: Instant, vm_count: u32) -> StatusNotice {
    let demands = admission.report_demand(now, vm_count);
    let demands = demands.into_iter().map(|observed| Demand {
        customer: observed.customer.into(),
        service: observed.service.into(),
        rate_per_s: observed.rate_per_s,
    });
    let marks = admission.marks(now).into_iter().map(|mark| PoisonMark {
        fingerprint: mark.fingerprint.0,
        convicted: mark.convicted,
        crash_id: mark.crash_id,
        left_ms: mark.left_ms,
        sole: mark.sole,
    });
    StatusNotice {
        demands: demands.collect(),
        marks: marks.collect(),
        live_digest: 0,
    }
}

fn demand_from_wire(demand: &Demand) -> Option<ObservedDemand> {
    let rate_per_s = demand.rate_per_s;
    Some(ObservedDemand {
        customer: CustomerName::new(&demand.customer).ok()?,
        service: ServiceName::new(&demand.service).ok()?,
        rate_per_s: (rate_per_s.is_finite() && rate_per_s >= 0.0).then_some(rate_per_s)?,
    })
}

fn mark_from_wire(mark: &PoisonMark) -> Mark {
    Mark {
        fingerprint: Fingerprint(mark.fingerprint),
        convicted: mark.convicted,
        crash_id: mark.crash_id,
        left_ms: mark.left_ms,
        sole: mark.sole,
    }
}
