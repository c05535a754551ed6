//! The operators' desk of a control VM.

use std::sync::Arc;

use ::http_api::{KEY_HEADER, Refusal, header};
use dropshot::{ApiDescription, HttpResponseOk, HttpResponseUpdatedNoContent};
use dropshot::{Path, RequestContext, TypedBody, endpoint};
use quorum::{MemberStatus, ReplicaStatus, Role};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use world::{Change, Config, Error, KeyDigest, Kind, MachineName};

use crate::keeper::CONFIG_GROUP;
use crate::ledger::LEDGER_GROUP;
use crate::serve::Server;

/// What the desk works on.
pub struct Context {
    /// Name of this machine.
    pub name: MachineName,
    /// The replicas of this machine.
    pub server: Arc<Server>,
    /// Digests of operators' keys that hold besides those in the lists.
    pub operator_key_sha256: Vec<KeyDigest>,
}

impl Context {
    fn admit(&self, key: &str) -> Result<(), Error> {
        let shown = KeyDigest::of(key);
        let config = self.server.keeper.config();
        let mut known = config
            .lists
            .operators
            .iter()
            .map(|o| &o.key_sha256)
            .chain(&self.operator_key_sha256);
        if known.any(|digest| digest.matches(&shown)) {
            return Ok(());
        }
        Err(Error::new(Kind::BadKey, "no operator has this key"))
    }
}

/// An accepted change.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct Accepted {
    /// Version that the change made.
    pub version: u64,
}

/// State of a control VM.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct Status {
    /// Name of the machine.
    pub name: MachineName,
    /// Version of the configuration in force here.
    pub config_version: u64,
    /// The groups that this machine has a replica of.
    pub groups: Vec<GroupStatus>,
}

/// State of one group as this machine's replica sees it.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct GroupStatus {
    /// Name of the group.
    pub name: String,
    /// Identity of this replica's disk.
    pub disk: String,
    /// Why this replica has stopped, when its disk failed.
    pub failed: Option<String>,
    /// Term of the group.
    pub term: u64,
    /// Machine that leads.
    pub leader: Option<MachineName>,
    /// Last committed index known here.
    pub commit: u64,
    /// Last applied index here.
    pub applied: u64,
    /// Members of the group.
    pub replicas: Vec<Replica>,
    /// Machines of the settings that are no members.
    pub missing: Vec<MachineName>,
    /// Whether every machine of the settings is a voter that has caught up;
    /// only the leader says so.
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

/// A member of the group of control replicas.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct Replica {
    /// Machine.
    pub name: MachineName,
    /// Identity of its disk.
    pub disk: String,
    /// Whether it votes; otherwise it is a learner.
    pub voter: bool,
    /// Whether it leads.
    pub leader: bool,
    /// Committed entries that it is known to lack; only the leader knows.
    pub lag_entries: Option<u64>,
    /// Since it last answered, milliseconds; only the leader knows.
    pub heard_ms: Option<u64>,
    /// Whether it is a voter that has caught up.
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

/// A replica in the path of a call.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct ReplicaPath {
    /// Name of its group.
    pub group: String,
    /// Its machine.
    pub name: MachineName,
}

/// The API of the desk.
///
/// # Panics
/// Never: the endpoints below don't clash.
#[must_use]
pub fn api() -> ApiDescription<Context> {
    let mut api = ApiDescription::new();
    api.register(get_config).expect("endpoints do not clash");
    api.register(post_change).expect("endpoints do not clash");
    api.register(replace).expect("endpoints do not clash");
    api.register(get_status).expect("endpoints do not clash");
    api
}

/// Gives the configuration in force.
#[endpoint { method = GET, path = "/v1/config" }]
async fn get_config(request: RequestContext<Context>) -> Result<HttpResponseOk<Config>, Refusal> {
    let context = request.context();
    context.admit(header(&request, KEY_HEADER))?;
    let config = context.server.keeper.confirmed().await?;
    Ok(HttpResponseOk(config))
}

/// Accepts or refuses a change.
#[endpoint { method = POST, path = "/v1/changes" }]
async fn post_change(
    request: RequestContext<Context>,
    change: TypedBody<Change>,
) -> Result<HttpResponseOk<Accepted>, Refusal> {
    let context = request.context();
    context.admit(header(&request, KEY_HEADER))?;
    let change = change.into_inner();
    let version = context.server.keeper.accept(&change).await?;
    log::info!(target: "control", change:% = change.id, version; "change accepted");
    Ok(HttpResponseOk(Accepted { version }))
}

/// Takes a lost replica's disk out of the group; its machine may then join
/// with a new disk.
#[endpoint { method = POST, path = "/v1/groups/{group}/replicas/{name}/replace" }]
async fn replace(
    request: RequestContext<Context>,
    path: Path<ReplicaPath>,
) -> Result<HttpResponseUpdatedNoContent, Refusal> {
    let context = request.context();
    context.admit(header(&request, KEY_HEADER))?;
    let ReplicaPath { group, name } = path.into_inner();
    match group.as_str() {
        CONFIG_GROUP => context.server.keeper.group.remove(&name).await?,
        LEDGER_GROUP => context.server.ledger_group.remove(&name).await?,
        _ => {
            let error = Error::new(Kind::BadRequest, format!("no group {group:?}"));
            return Err(error.into());
        }
    }
    log::info!(target: "control", group, replica:% = name; "disk taken out of the group");
    Ok(HttpResponseUpdatedNoContent())
}

/// Gives the state of this control VM.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(request: RequestContext<Context>) -> Result<HttpResponseOk<Status>, Refusal> {
    let context = request.context();
    let server = &context.server;
    let config = &server.keeper.group;
    let ledger = &server.ledger_group;
    let groups = vec![
        GroupStatus::new(CONFIG_GROUP, config.status(), config.failed().as_ref()),
        GroupStatus::new(LEDGER_GROUP, ledger.status(), ledger.failed().as_ref()),
    ];
    Ok(HttpResponseOk(Status {
        name: context.name.clone(),
        config_version: server.keeper.version(),
        groups,
    }))
}
