//! Headers of requests and answers: what is passed on and what is not.

pub use forward::answer::drop_hop;

use forward::answer::HOP;
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName};

/// Header with the id of the request.
pub const REQUEST: HeaderName = HeaderName::from_static("x-waxwing-request");
/// Header with the version of the configuration that decided.
pub const CONFIG: HeaderName = HeaderName::from_static("x-waxwing-config");
/// Header with the code of the error kind.
pub const ERROR: HeaderName = HeaderName::from_static("x-waxwing-error");
/// Header that tells whether the work ran.
pub const RAN: HeaderName = HeaderName::from_static("x-waxwing-ran");
/// Header with the time to wait before sending again, milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");
/// Header with the number that grows with each right to run an operation.
pub const FENCE: HeaderName = HeaderName::from_static("x-waxwing-fence");

/// Prefix of the system's own headers, which callers can't pass on.
const OWN_PREFIX: &str = "x-waxwing-";

/// The headers of a caller's request that a backend server gets.
#[must_use]
pub fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let ours = |name: &HeaderName| {
        name.as_str().starts_with(OWN_PREFIX)
            || HOP.contains(name)
            || [HOST, CONTENT_LENGTH, EXPECT].contains(name)
    };
    let kept = headers.iter().filter(|(name, _)| !ours(name));
    let mut passed = HeaderMap::new();
    for (name, value) in kept {
        passed.append(name, value.clone());
    }
    passed
}
