//! What a request asks of a stand-in backend server.

use std::time::Duration;

use hyper::Request;
use hyper::header::HeaderMap;

/// Id of the attempt, echoed in the answer.
pub const REQUEST: &str = "x-waxwing-request";

/// Whether the work ran.
pub const RAN: &str = "x-waxwing-ran";

/// When to send again.
pub const RETRY_AFTER: &str = "retry-after-ms";

/// Path that was run, so that callers can tell whose answer they got.
pub const PATH_ECHO: &str = "x-rig-path";

const DEADLINE: &str = "x-waxwing-deadline-ms";
const FENCE: &str = "x-waxwing-fence";
const KEY: &str = "idempotency-key";
const CRASH: &str = "x-rig-crash";
const CRASH_QUERY: &str = "rig-crash";
const SERVICE_QUERY: &str = "rig-ms";
const SIZE_QUERY: &str = "rig-bytes";

/// A request as the stand-in reads it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Order {
    /// Path with query.
    pub path: String,
    /// Id of the attempt.
    pub request: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Number that grows with each right to run the operation.
    pub fence: Option<u64>,
    /// Time the caller still waits.
    pub deadline: Option<Duration>,
    /// Whether the request crashes the server.
    pub crash: bool,
    /// Service time that the caller set, from query `rig-ms`.
    pub service: Option<Duration>,
    /// Size of the answer that the caller set, from query `rig-bytes`.
    pub size_bytes: Option<u64>,
}

impl Order {
    /// Reads the parts of a request that matter to the stand-in.
    #[must_use]
    pub fn new<B>(request: &Request<B>) -> Self {
        let headers = request.headers();
        let query = request.uri().query().unwrap_or_default();
        let path = request.uri().path_and_query();
        Self {
            path: path.map_or_else(String::new, ToString::to_string),
            request: text(headers, REQUEST).unwrap_or_default().to_owned(),
            key: text(headers, KEY).map(ToOwned::to_owned),
            fence: number(headers, FENCE),
            deadline: number(headers, DEADLINE).map(Duration::from_millis),
            crash: headers.contains_key(CRASH) || asked(query, CRASH_QUERY).is_some(),
            service: asked(query, SERVICE_QUERY).map(Duration::from_millis),
            size_bytes: asked(query, SIZE_QUERY),
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

fn asked(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
    value.parse().ok()
}
