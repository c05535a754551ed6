//! Orders of operators and backend servers that must be durable before they
//! are acknowledged, on the way to the replica that leads.

use std::net::SocketAddr;
use std::time::Duration;

use catalog::{Catalog, Command, Item, Patch};
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep, timeout_at};
use wire::Body;
use wire::body::{Command as CommandAsk, IndexAsk};
use world::{DomainName, Error, Kind, Result, ServerName};

use crate::hub::Hub;
use crate::settings::ip_of;

/// Longest wait for the outcome of an order: callers move on to another
/// machine after a second.
const PATIENCE: Duration = Duration::from_millis(900);

/// Wait before the next try while no leader is known or reached.
const RETRY_AFTER: Duration = Duration::from_millis(50);

impl Hub {
    /// Sets and takes out items.
    ///
    /// # Errors
    /// [`Kind::BadLists`] when the patch is not valid; others when it is not
    /// known to be durable.
    pub async fn patch(&self, patch: Patch) -> Result<()> {
        for item in &patch.upserts {
            item.check()?;
        }
        let items = patch.upserts.len() + patch.removals.len();
        let outcome = self.order(&Command::Patch(patch)).await;
        log::info!(target: "hub", items, outcome:? = outcome; "patch of the catalog");
        outcome
    }

    /// Empties a failure domain or takes it back.
    ///
    /// # Errors
    /// [`Kind::BadRequest`] for an unknown domain; others when the order is
    /// not known to be durable.
    pub async fn evacuate(&self, domain: DomainName, on: bool) -> Result<()> {
        if !self.settings.domains.contains_key(&domain) {
            let text = format!("no failure domain {domain}");
            return Err(Error::new(Kind::BadRequest, text));
        }
        let outcome = self
            .order(&Command::Evacuate {
                domain: domain.clone(),
                on,
            })
            .await;
        log::info!(target: "hub", domain:% = domain, on, outcome:? = outcome; "evacuation");
        outcome
    }

    /// Notes that a backend server gets no new work.
    ///
    /// # Errors
    /// When that is not known to be durable.
    pub async fn leave(&self, server: ServerName, born_ms: u64) -> Result<()> {
        if self.catalog.look(|c| c.leaves(&server, born_ms)) && self.catalog.is_current() {
            return Ok(());
        }
        let command = Command::Leave {
            server: server.clone(),
            born_ms,
        };
        let outcome = self.order(&command).await;
        log::info!(target: "hub", server:% = server, born_ms, outcome:? = outcome; "server leaves");
        outcome
    }

    /// The items in force, with everything acknowledged before this call.
    ///
    /// # Errors
    /// When no leader confirms them in time.
    pub async fn items(&self) -> Result<Vec<Item>> {
        let deadline = Instant::now() + PATIENCE;
        let index = loop {
            match timeout_at(deadline, self.confirmed()).await {
                Ok(Ok(index)) => break index,
                outcome => again(outcome, deadline).await?,
            }
        };
        let mut applied = self.catalog.applied();
        let reached = applied.wait_for(|applied| *applied >= index);
        match timeout_at(deadline, reached).await {
            Ok(Ok(_)) => {}
            _ => return Err(Error::new(Kind::NoQuorum, "this replica lags")),
        }
        let items = |catalog: &Catalog| catalog.items().cloned().collect();
        Ok(self.catalog.look(items))
    }

    async fn order(&self, command: &Command) -> Result<()> {
        let bytes = command.encode()?;
        let deadline = Instant::now() + PATIENCE;
        loop {
            match timeout_at(deadline, self.order_once(&bytes)).await {
                Ok(Ok(())) => return Ok(()),
                outcome => again(outcome, deadline).await?,
            }
        }
    }

    async fn order_once(&self, command: &[u8]) -> Result<()> {
        if self.catalog.is_leader() {
            return self.order_here(command).await;
        }
        let payload = command.to_vec().into();
        match self
            .call_leader(Body::CommandAsk(CommandAsk { payload }))
            .await?
        {
            Body::CommandGive(_) => Ok(()),
            other => Err(refused(other)),
        }
    }

    /// Proposes at this replica alone.
    pub(crate) async fn order_here(&self, command: &[u8]) -> Result<()> {
        self.catalog.propose(command).await?
    }

    /// An index at or above everything acknowledged before this call, by this
    /// replica alone.
    pub(crate) async fn confirmed_here(&self) -> Result<u64> {
        self.catalog.read(|_| ()).await?;
        Ok(*self.catalog.applied().borrow())
    }

    async fn confirmed(&self) -> Result<u64> {
        if self.catalog.is_leader() {
            return self.confirmed_here().await;
        }
        match self.call_leader(Body::IndexAsk(IndexAsk {})).await? {
            Body::IndexGive(give) => Ok(give.index),
            other => Err(refused(other)),
        }
    }

    async fn call_leader(&self, ask: Body) -> Result<Body> {
        let leader = self.catalog.leader().and_then(|name| ip_of(&name));
        let (Some(ip), Some(links)) = (leader, self.links.get()) else {
            return Err(Error::new(Kind::NotLeader, "no leader is known"));
        };
        let addr = SocketAddr::new(ip, self.settings.link_port);
        Ok(links.to(addr).call(ask, PATIENCE).await?)
    }
}

/// Waits before the next try of what failed in passing.
async fn again<T>(
    outcome: std::result::Result<Result<T>, Elapsed>,
    deadline: Instant,
) -> Result<()> {
    let error = match outcome {
        Ok(Ok(_)) => return Ok(()),
        Ok(Err(error)) => error,
        Err(_) => return Err(Error::new(Kind::NoQuorum, "no outcome in time")),
    };
    let passing = [Kind::NotLeader, Kind::NoQuorum, Kind::Unreachable];
    if !passing.contains(&error.kind) || Instant::now() + RETRY_AFTER >= deadline {
        return Err(error);
    }
    sleep(RETRY_AFTER).await;
    Ok(())
}

fn refused(body: Body) -> Error {
    match body {
        Body::Refusal(refusal) => refusal.into(),
        _ => Error::new(Kind::Internal, "unexpected reply of the leader"),
    }
}
