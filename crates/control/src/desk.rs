//! The operators' desk of a control VM.

use std::sync::Arc;

use ::desk::{KEY_HEADER, Refusal, header};
use dropshot::{ApiDescription, HttpResponseOk, RequestContext, TypedBody, endpoint};
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
    /// Version of the configuration in force.
    pub config_version: u64,
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
    api.register(get_status).expect("endpoints do not clash");
    api
}

/// Gives the configuration in force.
#[endpoint { method = GET, path = "/v1/config" }]
async fn get_config(request: RequestContext<Context>) -> Result<HttpResponseOk<Config>, Refusal> {
    let context = request.context();
    context.admit(header(&request, KEY_HEADER))?;
    Ok(HttpResponseOk(context.keeper.config()))
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
    let keeper = Arc::clone(&context.keeper);
    let accepted = tokio::task::spawn_blocking(move || {
        let version = keeper.accept(&change)?;
        log::info!(target: "control", change:% = change.id, version; "change accepted");
        Ok::<u64, Error>(version)
    })
    .await
    .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    Ok(HttpResponseOk(Accepted { version: accepted? }))
}

/// Gives the state of this control VM.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(request: RequestContext<Context>) -> Result<HttpResponseOk<Status>, Refusal> {
    let context = request.context();
    Ok(HttpResponseOk(Status {
        name: context.name.clone(),
        config_version: context.keeper.version(),
    }))
}
