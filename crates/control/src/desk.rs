//! The operators' desk of a control VM.

use std::sync::Arc;

use ::desk::{KEY_HEADER, Refusal, header};
use dropshot::{ApiDescription, HttpResponseOk, HttpResponseUpdatedNoContent};
use dropshot::{Path, RequestContext, TypedBody, endpoint};
use quorum::{MemberStatus, Role};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use world::{Change, Config, Error, KeyDigest, Kind, MachineName};

use crate::keeper::Keeper;

/// What the desk works on.
pub struct Context {
    /// Name of this machine.
    pub name: MachineName,
    /// The configuration.
    pub keeper: Arc<Keeper>,
    /// Digests of operators' keys that hold besides those in the lists.
    pub operator_key_sha256: Vec<KeyDigest>,
}

impl Context {
    fn admit(&self, key: &str) -> Result<(), Error> {
        let shown = KeyDigest::of(key);
        let config = self.keeper.config();
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

/// A control VM in the path of a call.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct ReplicaPath {
    /// Its name.
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
    let config = context.keeper.confirmed().await?;
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
    let version = context.keeper.accept(&change).await?;
    log::info!(target: "control", change:% = change.id, version; "change accepted");
    Ok(HttpResponseOk(Accepted { version }))
}

/// Takes a lost replica's disk out of the group; its machine may then join
/// with a new disk.
#[endpoint { method = POST, path = "/v1/replicas/{name}/replace" }]
async fn replace(
    request: RequestContext<Context>,
    path: Path<ReplicaPath>,
) -> Result<HttpResponseUpdatedNoContent, Refusal> {
    let context = request.context();
    context.admit(header(&request, KEY_HEADER))?;
    let name = path.into_inner().name;
    context.keeper.replace(&name).await?;
    log::info!(target: "control", replica:% = name; "disk taken out of the group");
    Ok(HttpResponseUpdatedNoContent())
}

/// Gives the state of this control VM.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(request: RequestContext<Context>) -> Result<HttpResponseOk<Status>, Refusal> {
    let context = request.context();
    let group = context.keeper.status();
    Ok(HttpResponseOk(Status {
        name: context.name.clone(),
        config_version: context.keeper.version(),
        disk: group.disk,
        failed: context.keeper.failed().map(|error| error.to_string()),
        term: group.term,
        leader: group.leader,
        commit: group.commit,
        applied: group.applied,
        replicas: group.members.into_iter().map(Replica::from).collect(),
        missing: group.missing,
        repaired: group.repaired,
    }))
}
