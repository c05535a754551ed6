//! Header names, and the headers that are forwarded to a backend server.

pub use forward::answer::remove_hop_by_hop_headers;

use forward::answer::HOP_BY_HOP_HEADERS;
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName};

/// Header with the id of the request.
pub const REQUEST: HeaderName = HeaderName::from_static("x-waxwing-request");
/// Header with the version of the configuration that the response is based on.
pub const CONFIG: HeaderName = HeaderName::from_static("x-waxwing-config");
/// Header with the code of the error kind.
pub const ERROR: HeaderName = HeaderName::from_static("x-waxwing-error");
/// Header that states whether the work ran.
pub const RAN: HeaderName = HeaderName::from_static("x-waxwing-ran");
/// Header with the time to wait before a retry, milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");
/// Header with the fencing token of the execution grant, which is the permission to run
/// an operation once. The token increases with each grant.
pub const FENCE: HeaderName = HeaderName::from_static("x-waxwing-fence");

/// Prefix of headers reserved for the system; those of clients are not forwarded.
const OWN_PREFIX: &str = "x-waxwing-";

/// Headers of a client's request that are forwarded to a backend server.
#[must_use]
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let is_dropped = |name: &HeaderName| {
        name.as_str().starts_with(OWN_PREFIX)
            || HOP_BY_HOP_HEADERS.contains(name)
            || [HOST, CONTENT_LENGTH, EXPECT].contains(name)
    };
    let kept = headers.iter().filter(|(name, _)| !is_dropped(name));
    let mut forwarded = HeaderMap::new();
    for (name, value) in kept {
        forwarded.append(name, value.clone());
    }
    forwarded
}
