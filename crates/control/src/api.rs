//! The control API: HTTP interface of a control VM for operators.

use std::sync::Arc;

use ::http_api::{KEY_HEADER, Refusal, header};
use dropshot::{ApiDescription, HttpResponseOk, HttpResponseUpdatedNoContent};
use dropshot::{Path, RequestContext, TypedBody, endpoint};
use quorum::{MemberStatus, ReplicaStatus, Role};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use world::{Change, Config, Error, ErrorKind, KeyDigest, MachineName};

use crate::ledger::LEDGER_GROUP;
use crate::replicated_config::CONFIG_GROUP;
use crate::serve::Replicas;

/// State shared by the endpoints.
pub struct Context {
    /// Name of this machine.
    pub name: MachineName,
    /// This machine's replicas of the configuration and the ledger.
    pub replicas: Arc<Replicas>,
    /// SHA-256 digests of operators' keys that are valid in addition to those in
    /// the lists.
    pub operator_key_sha256: Vec<KeyDigest>,
}

impl Context {
    /// Checks that `key` belongs to an operator.
    fn check_operator_key(&self, key: &str) -> Result<(), Error> {
        let presented = KeyDigest::of(key);
        let config = self.replicas.config.local();
        let mut valid_digests = config
            .lists
            .operators
            .iter()
            .map(|o| &o.key_sha256)
            .chain(&self.operator_key_sha256);
        if valid_digests.any(|digest| digest.matches(&presented)) {
            return Ok(());
        }
        Err(Error::new(ErrorKind::BadKey, "no operator has this key"))
    }
}

/// An accepted change.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct Accepted {
    /// Version that the change created.
    pub version: u64,
}

/// State of a control VM.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct Status {
    /// Name of the machine.
    pub name: MachineName,
    /// Version of the configuration in effect on this machine.
    pub config_version: u64,
    /// Replica groups that this machine is part of.
    pub groups: Vec<GroupStatus>,
}

/// State of a replica group, as known to this machine's replica.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct GroupStatus {
    /// Name of the group.
    pub name: String,
    /// Identity of this replica's disk.
    pub disk: String,
    /// Error of this replica's disk, if it has failed and the replica has stopped.
    pub failed: Option<String>,
    /// Current term known to this replica.
    pub term: u64,
    /// Machine of the leader, if it is known.
    pub leader: Option<MachineName>,
    /// Index of the last log entry that this replica knows to be committed.
    pub commit: u64,
    /// Index of the last log entry that this replica has applied.
    pub applied: u64,
    /// Members of the group.
    pub replicas: Vec<Replica>,
    /// Machines named in the settings that are not members.
    pub missing: Vec<MachineName>,
    /// Whether every machine named in the settings is a voter that has caught up;
    /// always false unless this replica leads.
    pub repaired: bool,
}

impl GroupStatus {
    fn new(name: &str, status: ReplicaStatus, failed: Option<&Error>) -> Self {
        Self {
            name: name.into(),
            disk: status.disk,
            failed: failed.map(ToString::to_string),
            term: status.term,
            leader: status.leader,
            commit: status.commit,
            applied: status.applied,
            replicas: status.members.into_iter().map(Replica::from).collect(),
            missing: status.missing,
            repaired: status.repaired,
        }
    }
}

/// A member of a replica group.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct Replica {
    /// Machine that the replica runs on.
    pub name: MachineName,
    /// Identity of its disk.
    pub disk: String,
    /// Whether the replica is a voter; otherwise it is a learner.
    pub voter: bool,
    /// Whether the replica is the leader.
    pub leader: bool,
    /// Number of committed log entries that the replica may still lack; only the
    /// leader knows.
    pub lag_entries: Option<u64>,
    /// Time since the start of the leader's latest heartbeat round that the replica
    /// has responded to, milliseconds; only the leader knows.
    pub heard_ms: Option<u64>,
    /// Whether the replica is a voter that has caught up.
    pub repaired: bool,
}

impl From<MemberStatus> for Replica {
    fn from(member: MemberStatus) -> Self {
        Self {
            name: member.name,
            disk: member.disk,
            voter: member.role == Role::Voter,
            leader: member.leader,
            lag_entries: member.lag_entries,
            heard_ms: member.heard_ms,
            repaired: member.repaired,
        }
    }
}

/// Path parameters that identify a replica.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct ReplicaPath {
    /// Name of the group.
    pub group: String,
    /// Machine of the replica.
    pub name: MachineName,
}

/// Describes the endpoints of the control API.
///
/// # Panics
/// Never: no two endpoints have the same method and path.
#[must_use]
pub fn description() -> ApiDescription<Context> {
    let mut api = ApiDescription::new();
    api.register(get_config).expect("endpoints do not clash");
    api.register(post_change).expect("endpoints do not clash");
    api.register(replace).expect("endpoints do not clash");
    api.register(get_status).expect("endpoints do not clash");
    api
}

/// Returns the configuration, including every change accepted before the request.
#[endpoint { method = GET, path = "/v1/config" }]
async fn get_config(request: RequestContext<Context>) -> Result<HttpResponseOk<Config>, Refusal> {
    let context = request.context();
    context.check_operator_key(header(&request, KEY_HEADER))?;
    let config = context.replicas.config.read_confirmed().await?;
    Ok(HttpResponseOk(config))
}

/// Applies a change to the configuration.
#[endpoint { method = POST, path = "/v1/changes" }]
async fn post_change(
    request: RequestContext<Context>,
    change: TypedBody<Change>,
) -> Result<HttpResponseOk<Accepted>, Refusal> {
    let context = request.context();
    context.check_operator_key(header(&request, KEY_HEADER))?;
    let change = change.into_inner();
    let version = context.replicas.config.propose(&change).await?;
    log::info!(target: "control", change:% = change.id, version; "change accepted");
    Ok(HttpResponseOk(Accepted { version }))
}

/// Removes a replica whose disk is lost from its group.
///
/// Its machine can then join the group again with a new disk.
#[endpoint { method = POST, path = "/v1/groups/{group}/replicas/{name}/replace" }]
async fn replace(
    request: RequestContext<Context>,
    path: Path<ReplicaPath>,
) -> Result<HttpResponseUpdatedNoContent, Refusal> {
    let context = request.context();
    context.check_operator_key(header(&request, KEY_HEADER))?;
    let ReplicaPath { group, name } = path.into_inner();
    match group.as_str() {
        CONFIG_GROUP => context.replicas.config.group.remove(&name).await?,
        LEDGER_GROUP => context.replicas.ledger_group.remove(&name).await?,
        _ => {
            let error = Error::new(ErrorKind::BadRequest, format!("no group {group:?}"));
            return Err(error.into());
        }
    }
    log::info!(target: "control", group, replica:% = name; "replica removed from the group");
    Ok(HttpResponseUpdatedNoContent())
}

/// Returns the state of this control VM.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(request: RequestContext<Context>) -> Result<HttpResponseOk<Status>, Refusal> {
    let context = request.context();
    let replicas = &context.replicas;
    let config_group = &replicas.config.group;
    let ledger_group = &replicas.ledger_group;
    let groups = vec![
        GroupStatus::new(
            CONFIG_GROUP,
            config_group.status(),
            config_group.failed().as_ref(),
        ),
        GroupStatus::new(
            LEDGER_GROUP,
            ledger_group.status(),
            ledger_group.failed().as_ref(),
        ),
    ];
    Ok(HttpResponseOk(Status {
        name: context.name.clone(),
        config_version: replicas.config.version(),
        groups,
    }))
}
