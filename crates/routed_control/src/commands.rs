//! Commands of operators and backend servers that must be durable before they are
//! acknowledged. They are proposed at the catalog's leader, with retries until a
//! deadline.

use std::net::SocketAddr;
use std::time::Duration;

use catalog::{Catalog, Command, Item, Patch};
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep, timeout_at};
use wire::Body;
use wire::body::{Command as CommandRequest, IndexRequest};
use world::{DomainName, Error, ErrorKind, Result, ServerName};

use crate::control_vm::ControlVm;
use crate::settings::ip_of;

/// Longest wait for the outcome of a command; clients try another machine after a
/// second.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay between attempts while no leader is known or reachable.
const RETRY_DELAY: Duration = Duration::from_millis(50);

impl ControlVm {
    /// Sets and removes items of the catalog.
    ///
    /// # Errors
    /// [`ErrorKind::BadLists`] when the patch is invalid; others when it is not known whether
    /// the patch is durable.
    pub async fn patch(&self, patch: Patch) -> Result<()> {
        for item in &patch.upserts {
            item.check()?;
        }
        let items = patch.upserts.len() + patch.removals.len();
        // What this replica has applied is durable.
        let patch = self
            .catalog
            .read_local(|catalog| catalog.without_known(patch));
        let changed = patch.upserts.len() + patch.removals.len();
        let outcome = if items > 0 && changed == 0 {
            Ok(())
        } else {
            self.submit(&Command::Patch(patch)).await
        };
        log::info!(target: "hub", items, changed, outcome:? = outcome; "patch of the catalog");
        outcome
    }

    /// Starts (`on`) or ends the evacuation of a failure domain.
    ///
    /// # Errors
    /// [`ErrorKind::BadRequest`] for an unknown domain; [`ErrorKind::Outdated`] when a newer
    /// order may be in effect; others when it is not known whether the command is durable.
    pub async fn evacuate(&self, domain: DomainName, on: bool) -> Result<()> {
        if !self.settings.domains.contains_key(&domain) {
            let text = format!("no failure domain {domain}");
            return Err(Error::new(ErrorKind::BadRequest, text));
        }
        let outcome = self.evacuate_since_now(&domain, on).await;
        log::info!(target: "hub", domain:% = domain, on, outcome:? = outcome; "evacuation");
        outcome
    }

    async fn evacuate_since_now(&self, domain: &DomainName, on: bool) -> Result<()> {
        self.check_recent()?;
        let known = |catalog: &Catalog| catalog.evacuation_index(domain);
        let command = Command::EvacuateSince {
            domain: domain.clone(),
            on,
            known: self.catalog.read_local(known),
        };
        self.submit(&command).await
    }

    /// Checks that an order which was just read did not wait for this process, so that its
    /// sender may have gone on to another control VM, and to newer orders.
    ///
    /// # Errors
    /// [`ErrorKind::Outdated`] when it may have waited.
    pub fn check_recent(&self) -> Result<()> {
        if self.observe_interruptions() {
            let text = "the order may have waited while this control VM was interrupted";
            return Err(Error::new(ErrorKind::Outdated, text));
        }
        Ok(())
    }

    /// Records that the start of a backend server at `born_ms` gets no new work.
    ///
    /// # Errors
    /// When it is not known whether the command is durable.
    pub async fn leave(&self, server: ServerName, born_ms: u64) -> Result<()> {
        if self.catalog.read_local(|c| c.is_leaving(&server, born_ms)) && self.catalog.is_current()
        {
            return Ok(());
        }
        let command = Command::Leave {
            server: server.clone(),
            born_ms,
        };
        let outcome = self.submit(&command).await;
        log::info!(target: "hub", server:% = server, born_ms, outcome:? = outcome; "server leaves");
        outcome
    }

    /// Returns the items in effect, including everything acknowledged before this call
    /// (a linearizable read).
    ///
    /// # Errors
    /// When no leader confirms the read in time.
    pub async fn items(&self) -> Result<Vec<Item>> {
        let deadline = Instant::now() + COMMAND_TIMEOUT;
        let index = loop {
            match timeout_at(deadline, self.read_index()).await {
                Ok(Ok(index)) => break index,
                outcome => retry_or_fail(outcome, deadline).await?,
            }
        };
        let mut applied = self.catalog.applied();
        let reached = applied.wait_for(|applied| *applied >= index);
        match timeout_at(deadline, reached).await {
            Ok(Ok(_)) => {}
            _ => return Err(Error::new(ErrorKind::NoQuorum, "this replica lags")),
        }
        let items = |catalog: &Catalog| catalog.items().cloned().collect();
        Ok(self.catalog.read_local(items))
    }

    async fn submit(&self, command: &Command) -> Result<()> {
        let bytes = command.encode()?;
        let deadline = Instant::now() + COMMAND_TIMEOUT;
        loop {
            match timeout_at(deadline, self.submit_once(&bytes)).await {
                Ok(Ok(())) => return Ok(()),
                outcome => retry_or_fail(outcome, deadline).await?,
            }
        }
    }

    async fn submit_once(&self, command: &[u8]) -> Result<()> {
        if self.catalog.is_leader() {
            return self.propose_here(command).await;
        }
        let payload = command.to_vec().into();
        match self
            .call_leader(Body::CommandRequest(CommandRequest { payload }))
            .await?
        {
            Body::CommandResponse(_) => Ok(()),
            other => Err(leader_error(other)),
        }
    }

    /// Proposes a command at this replica, without forwarding it to the leader.
    pub(crate) async fn propose_here(&self, command: &[u8]) -> Result<()> {
        self.catalog.propose(command).await?
    }

    /// Returns a log index at or above everything acknowledged before this call, without
    /// forwarding the request to the leader.
    pub(crate) async fn read_index_here(&self) -> Result<u64> {
        self.catalog.read(|_| ()).await?;
        Ok(*self.catalog.applied().borrow())
    }

    async fn read_index(&self) -> Result<u64> {
        if self.catalog.is_leader() {
            return self.read_index_here().await;
        }
        match self
            .call_leader(Body::IndexRequest(IndexRequest {}))
            .await?
        {
            Body::IndexResponse(response) => Ok(response.index),
            other => Err(leader_error(other)),
        }
    }

    async fn call_leader(&self, request: Body) -> Result<Body> {
        if let Some(error) = self.catalog.failed() {
            return Err(error);
        }
        let leader = self.catalog.leader().and_then(|name| ip_of(&name));
        let (Some(ip), Some(links)) = (leader, self.links.get()) else {
            return Err(Error::new(ErrorKind::NotLeader, "no leader is known"));
        };
        let addr = SocketAddr::new(ip, self.settings.link_port);
        Ok(links.to(addr).call(request, COMMAND_TIMEOUT).await?)
    }
}

/// Waits before the next attempt after a transient error or returns the error, also
/// when the deadline leaves no time for another attempt.
async fn retry_or_fail<T>(
    outcome: std::result::Result<Result<T>, Elapsed>,
    deadline: Instant,
) -> Result<()> {
    let error = match outcome {
        Ok(Ok(_)) => return Ok(()),
        Ok(Err(error)) => error,
        Err(_) => return Err(Error::new(ErrorKind::NoQuorum, "no outcome in time")),
    };
    let transient = [
        ErrorKind::NotLeader,
        ErrorKind::NoQuorum,
        ErrorKind::Unreachable,
    ];
    if !transient.contains(&error.kind) || Instant::now() + RETRY_DELAY >= deadline {
        return Err(error);
    }
    sleep(RETRY_DELAY).await;
    Ok(())
}

fn leader_error(body: Body) -> Error {
    match body {
        Body::Refusal(refusal) => refusal.into(),
        _ => Error::new(ErrorKind::Internal, "unexpected reply of the leader"),
    }
}
