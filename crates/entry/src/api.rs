//! HTTP API of an entry VM: lookups, announcements, status and metrics.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, OnceLock};

use ::http_api::{Refusal, SECRET_HEADER, header};
use dropshot::{ApiDescription, Body, HttpResponseOk, Query, RequestContext, TypedBody, endpoint};
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use world::{BackendServer, EntryVm, Error, ErrorKind, MachineName, ServerName};

use crate::handler::require_config;
use crate::state::State;

/// Context of the API's endpoints. The API is bound before the state exists, since the
/// state holds the API's address.
#[derive(Default)]
pub struct Context {
    /// The tables of the VM, set once it has started.
    pub state: OnceLock<Arc<State>>,
}

impl Context {
    fn state(&self) -> Result<&Arc<State>, Error> {
        let starting = || Error::new(ErrorKind::Leaving, "this entry VM is starting");
        self.state.get().ok_or_else(starting)
    }
}

/// Purpose that the secret proof of an announcement is bound to.
pub const ANNOUNCE: &str = "announce";

/// Parameters of a lookup.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct LookupQuery {
    /// Address of the client; by default the source address of the request.
    pub client: Option<IpAddr>,
    /// Name of the service to look up.
    pub service: String,
}

/// Entry VMs to use, in order of preference.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct Lookup {
    /// Entry VMs, best first.
    pub entries: Vec<EntryVm>,
    /// Time for which the response may be cached, milliseconds.
    pub ttl_ms: u64,
    /// Version of the configuration that the response is based on.
    pub config_version: u64,
}

/// Lease granted to a backend server.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct Granted {
    /// Duration of the lease, milliseconds.
    pub lease_ms: u64,
    /// Version of the configuration in effect at this VM.
    pub config_version: u64,
    /// API addresses of all entry VMs of the failure domain; the server announces
    /// itself to each of them.
    pub desks: Vec<SocketAddr>,
}

/// Status of an entry VM.
#[derive(Debug, Deserialize, JsonSchema, Serialize)]
pub struct Status {
    /// Name of the machine.
    pub name: MachineName,
    /// Version of the configuration in effect at this VM.
    pub config_version: u64,
    /// Entry VMs that are known to be live.
    pub entries: Vec<EntryVm>,
    /// Backend servers with a valid lease at this VM, sorted by name.
    pub servers: Vec<BackendServer>,
    /// Backend servers that this VM owns, sorted by name.
    pub owned: Vec<ServerName>,
}

/// Registers the endpoints below.
///
/// # Panics
/// Never: the endpoints below don't clash.
#[must_use]
pub fn description() -> ApiDescription<Context> {
    let mut api = ApiDescription::new();
    api.register(get_lookup).expect("endpoints do not clash");
    api.register(post_announce).expect("endpoints do not clash");
    api.register(get_status).expect("endpoints do not clash");
    api.register(get_metrics).expect("endpoints do not clash");
    api
}

/// Returns the entry VMs that a client should use.
#[endpoint { method = GET, path = "/v1/lookup" }]
async fn get_lookup(
    request: RequestContext<Context>,
    query: Query<LookupQuery>,
) -> Result<HttpResponseOk<Lookup>, Refusal> {
    let state = request.context().state()?;
    let query = query.into_inner();
    let active_config = state.active_config();
    require_config(&active_config)?;
    if active_config.book.service(&query.service).is_none() {
        let text = format!("no service {:?}", query.service);
        return Err(Error::new(ErrorKind::NoSuchService, text).into());
    }
    let from = request.request.remote_addr().ip();
    let client = query.client.unwrap_or(from);
    let lookups = state.site.lookups();
    let answer = lookups.lookup(client, &query.service);
    let (entries, ttl_ms) = answer.map_or((Vec::new(), 0), |a| (a.entries, a.ttl_ms));
    Ok(HttpResponseOk(Lookup {
        entries: entries.iter().map(|vm| vm.as_ref().clone()).collect(),
        ttl_ms,
        config_version: active_config.config.version,
    }))
}

/// Grants or renews a backend server's lease.
#[endpoint { method = POST, path = "/v1/announce" }]
async fn post_announce(
    request: RequestContext<Context>,
    server: TypedBody<BackendServer>,
) -> Result<HttpResponseOk<Granted>, Refusal> {
    let state = request.context().state()?;
    let proof = header(&request, SECRET_HEADER);
    if !state.secret.verify_proof(ANNOUNCE, proof) {
        return Err(Error::new(
            ErrorKind::BadKey,
            "the announcement has no proof of the secret",
        )
        .into());
    }
    let server = server.into_inner();
    if server.place != state.me.place {
        let text = format!("this entry VM stands in {:?}", state.me.place);
        return Err(Error::new(ErrorKind::BadRequest, text).into());
    }
    let now = Instant::now();
    let domain_entries = state.site.domain_entries();
    let active_config = state.active_config();
    let owned_from = state.owned_from(now, &server.name);
    state
        .admission
        .announce(now, &server, owned_from, &active_config.config);
    Ok(HttpResponseOk(Granted {
        lease_ms: state.times.lease_ms,
        config_version: state.version(),
        desks: domain_entries.iter().map(|vm| vm.desk_addr).collect(),
    }))
}

/// Returns the status of this entry VM.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(request: RequestContext<Context>) -> Result<HttpResponseOk<Status>, Refusal> {
    let state = request.context().state()?;
    let now = Instant::now();
    let entries = state.site.entries(now);
    let servers = state.admission.fleet().table().lock().live(now);
    let owned = state.admission.fleet().table().lock().owned(now);
    Ok(HttpResponseOk(Status {
        name: state.me.name.clone(),
        config_version: state.version(),
        entries: entries.iter().map(|vm| vm.as_ref().clone()).collect(),
        servers,
        owned,
    }))
}

/// Returns the metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(request: RequestContext<Context>) -> Result<Response<Body>, Refusal> {
    let state = request.context().state()?;
    let now = Instant::now();
    let active_config = state.active_config();
    for service in &active_config.config.lists.services {
        let fleet = state.admission.fleet().table();
        let slots = fleet.lock().slots(now, service.name.as_str());
        let queue_len = state.admission.queue_len(&service.name);
        state.metrics.set_service(&service.name, queue_len, slots);
    }
    let page = state.metrics.render(active_config.config.version)?;
    Response::builder()
        .header(CONTENT_TYPE, prometheus::TEXT_FORMAT)
        .body(Body::from(page))
        .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()).into())
}
