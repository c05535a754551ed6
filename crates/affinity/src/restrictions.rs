//! What a backend server says of the further requests that it wants: none because it
//! leaves, none for a while, or not more than a limit.

use std::time::Duration;

use tokio::time::Instant;
use world::unit::as_ms;
use world::{ServerName, ServiceName};

use crate::affinity_balancer::{
    AffinityBalancer, RETRY_AFTER_UNKNOWN_MS, context, known_entry_vms,
};
use crate::request::Choice;

impl AffinityBalancer {
    /// Stops new requests to an incarnation of a server and to earlier ones.
    pub fn mark_leaving(&mut self, server: &ServerName, born_ms: u64) {
        let known = self.leaving.entry(server.clone()).or_insert(born_ms);
        *known = born_ms.max(*known);
        if let Some(row) = self.server_mut(server)
            && row.born_ms <= born_ms
            && !std::mem::replace(&mut row.leaving, true)
        {
            log::info!(target: "belief", server:% = server, born_ms; "server is leaving");
        }
    }

    /// Returns whether an incarnation of a server is known to be leaving.
    #[must_use]
    pub fn is_leaving(&self, server: &ServerName, born_ms: u64) -> bool {
        let service = self.service_of.get(server);
        let service = service.and_then(|name| self.services.get(name));
        let row = service.and_then(|service| service.servers.get(server));
        let by_row = row.is_some_and(|row| row.leaving && row.born_ms == born_ms);
        by_row
            || self
                .leaving
                .get(server)
                .is_some_and(|born| *born >= born_ms)
    }

    /// Sends no requests to the chosen server for a time that it has named, from now on.
    pub fn hold_off(&mut self, choice: &Choice, time: Duration, now: Instant) {
        let service = self.services.get_mut(&choice.service);
        if let Some(server) = service.and_then(|s| s.servers.get_mut(&choice.server))
            && server.born_ms == choice.born_ms
            && server.hold_off(time, now)
        {
            log::info!(
                target: "belief", server:% = server.name, born_ms = server.born_ms,
                time_ms = as_ms(time);
                "server wants no requests for a while"
            );
        }
    }

    /// Records whether the chosen server named a limit in its response to a request that
    /// was sent at `sent_at`. Returns whether the response ended the server's limit: it
    /// names none, and the request was sent since the limit was last named.
    pub fn apply_limit(
        &mut self,
        choice: &Choice,
        per_1000_s: Option<u64>,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        if per_1000_s.is_none() {
            let server = self.server_mut(&choice.server);
            let limit = server.and_then(|server| server.limit.as_ref());
            if limit.is_none_or(|limit| sent_at < limit.named_at) {
                return false;
            }
        }
        let changed = self.set_limit(&choice.server, choice.born_ms, per_1000_s, now, now);
        changed && per_1000_s.is_none()
    }

    /// Sets or ends the limit that an incarnation of a server named at `named_at`, to this
    /// or another entry VM. Returns whether that is a change.
    pub fn set_limit(
        &mut self,
        server: &ServerName,
        born_ms: u64,
        per_1000_s: Option<u64>,
        named_at: Instant,
        now: Instant,
    ) -> bool {
        let Some(row) = self.server_mut(server).filter(|s| s.born_ms == born_ms) else {
            return false;
        };
        if !row.set_limit(per_1000_s, named_at) {
            return false;
        }
        log::info!(
            target: "belief", server:% = server, born_ms, per_1000_s:? = per_1000_s;
            "server named another limit"
        );
        let context = context(
            &self.settings,
            self.own_hash,
            &self.evacuated,
            &self.round_trips,
            known_entry_vms(&self.entry_vms, self.started_at, now),
        );
        let service = self.service_of.get(server);
        if let Some(service) = service.and_then(|name| self.services.get_mut(name)) {
            service.divide_limits(&context, now);
        }
        true
    }

    /// Returns when a request that servers of the service have turned away should come
    /// back, milliseconds.
    #[must_use]
    pub fn retry_after_shed_ms(&self, service: &ServiceName, now: Instant) -> u32 {
        let context = context(
            &self.settings,
            self.own_hash,
            &self.evacuated,
            &self.round_trips,
            known_entry_vms(&self.entry_vms, self.started_at, now),
        );
        let service = self.services.get(service);
        service.map_or(RETRY_AFTER_UNKNOWN_MS, |s| {
            s.retry_after_shed_ms(&context, now)
        })
    }
}
