//! Applies what a backend server says in a response of the further requests that it
//! wants.

use affinity::Choice;
use discovery::{Departure, Finding, ServerLimit};
use tokio::time::Instant;
use world::unit::ms;

use crate::dialect::{Dialect, Restrictions};
use crate::state::State;

/// Applies what the chosen server says in a response to a request that was sent at
/// `sent_at`, and tells other entry VMs.
pub(crate) fn apply<D: Dialect>(
    state: &State<D>,
    choice: &Choice,
    restrictions: Restrictions,
    sent_at: Instant,
) {
    let now = Instant::now();
    let Restrictions {
        leaving,
        hold_off_ms,
        limit_per_1000_s,
    } = restrictions;
    let (server, born_ms) = (&choice.server, choice.born_ms);
    let mut balancer = state.balancer.lock();
    if let Some(hold_off_ms) = hold_off_ms {
        balancer.hold_off(choice, ms(hold_off_ms), now);
    }
    if leaving {
        balancer.mark_leaving(server, born_ms);
    }
    let limit_ended = balancer.apply_limit(choice, limit_per_1000_s, sent_at, now);
    drop(balancer);
    if leaving {
        let server = server.clone();
        let departure = Finding::Leaving(Departure { server, born_ms });
        state.findings.report(departure, now);
    }
    if limit_ended || limit_per_1000_s.is_some() {
        let limit = Finding::Limit(ServerLimit {
            server: server.clone(),
            born_ms,
            per_1000_s: limit_per_1000_s,
        });
        state.findings.report(limit, now);
    }
}
