//! Headers and query parameters that a stand-in backend server reads from a request.

use std::time::Duration;

use hyper::Request;
use hyper::header::HeaderMap;

/// Header with the id of the attempt, echoed in the response.
pub const REQUEST_HEADER: &str = "x-waxwing-request";

/// Response header that says whether the request ran.
pub const RAN_HEADER: &str = "x-waxwing-ran";

/// Response header with the time after which to retry, milliseconds.
pub const RETRY_AFTER_HEADER: &str = "retry-after-ms";

/// Response header with the path of the request that ran, by which clients detect
/// another request's response.
pub const PATH_HEADER: &str = "x-rig-path";

const DEADLINE_HEADER: &str = "x-waxwing-deadline-ms";
const FENCE_HEADER: &str = "x-waxwing-fence";
const KEY_HEADER: &str = "idempotency-key";
const CRASH_HEADER: &str = "x-rig-crash";
const CRASH_QUERY: &str = "rig-crash";
const SERVICE_TIME_QUERY: &str = "rig-ms";
const SIZE_QUERY: &str = "rig-bytes";

/// Parts of a request that the stand-in uses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ParsedRequest {
    /// Path with the query.
    pub path: String,
    /// Id of the attempt.
    pub attempt_id: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Fence of the execution grant; it grows with each grant for the operation.
    pub fence: Option<u64>,
    /// Time left until the client's deadline.
    pub deadline: Option<Duration>,
    /// Whether the request crashes the server.
    pub crash: bool,
    /// Service time requested by the query parameter `rig-ms`.
    pub service_time: Option<Duration>,
    /// Size of the response body requested by the query parameter `rig-bytes`.
    pub size_bytes: Option<u64>,
}

impl ParsedRequest {
    /// Reads the headers and the query; values that can't be parsed are ignored.
    #[must_use]
    pub fn new<B>(request: &Request<B>) -> Self {
        let headers = request.headers();
        let query = request.uri().query().unwrap_or_default();
        let path = request.uri().path_and_query();
        Self {
            path: path.map_or_else(String::new, ToString::to_string),
            attempt_id: header_text(headers, REQUEST_HEADER)
                .unwrap_or_default()
                .to_owned(),
            key: header_text(headers, KEY_HEADER).map(ToOwned::to_owned),
            fence: header_number(headers, FENCE_HEADER),
            deadline: header_number(headers, DEADLINE_HEADER).map(Duration::from_millis),
            crash: headers.contains_key(CRASH_HEADER) || query_number(query, CRASH_QUERY).is_some(),
            service_time: query_number(query, SERVICE_TIME_QUERY).map(Duration::from_millis),
            size_bytes: query_number(query, SIZE_QUERY),
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
    value.parse().ok()
}
