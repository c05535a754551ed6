//! Hashes that are the same on every entry VM.

use std::net::IpAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of leading bits by which IPv4 clients are grouped for steering.
const V4_GROUP_BITS: u32 = 24;
/// Number of leading bits by which IPv6 clients are grouped for steering.
const V6_GROUP_BITS: u32 = 48;
/// Number of bits in the mantissa of an `f64`.
const UNIT_BITS: u32 = 52;

/// Purpose of a hash. Hashes for different purposes are independent.
#[derive(Clone, Copy, Debug)]
#[repr(u64)]
pub enum Purpose {
    /// Home of a client whose address is in no block.
    Home = 1,
    /// Whether a client is shifted away from its home.
    Shift,
    /// Place that gets a shifted client.
    Target,
    /// Order of the further places for a client whose first choice fails.
    Fallback,
    /// Order of entry VMs within a place.
    Entry,
    /// Which requests a cutoff refuses.
    Refuse,
    /// Lifetime of a lookup's answer.
    Ttl,
    /// Region that processes requests for an object (the data that a request names).
    Region,
    /// Whether requests for a large object are processed in the client's failure
    /// domain.
    Domain,
    /// Order of the backend servers for requests for an object.
    Server,
    /// Order of the entry VMs that may send to a cold backend server.
    Cold,
    /// Which service of a route gets a request.
    Part,
    /// Entry VM that substitutes for a lost one.
    Substitute,
    /// Control VMs that pass on the rows of one that can't be reached.
    Relay,
}

/// Returns the hash of a client's address prefix. Clients with the same prefix
/// are steered together.
#[must_use]
pub fn client(addr: IpAddr) -> u64 {
    match addr.to_canonical() {
        IpAddr::V4(v4) => {
            let group = v4.to_bits() >> (u32::BITS - V4_GROUP_BITS);
            xxh3_64(&group.to_be_bytes())
        }
        IpAddr::V6(v6) => {
            let group = v6.to_bits() >> (u128::BITS - V6_GROUP_BITS);
            xxh3_64(&group.to_be_bytes())
        }
    }
}

/// Returns the hash of a name.
#[must_use]
pub fn name(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Returns a number in `[0, 1)` for a key and purpose.
#[must_use]
pub fn unit(key: u64, purpose: Purpose) -> f64 {
    to_unit(xxh3_64_with_seed(&key.to_le_bytes(), purpose as u64))
}

/// Returns the weighted rendezvous score of a candidate for a key. Over all keys,
/// each candidate has the highest score in proportion to its weight.
#[must_use]
pub fn score(key: u64, candidate: u64, weight: f64, purpose: Purpose) -> f64 {
    let unit = to_unit(mix(key, candidate, purpose));
    -weight / unit.max(f64::MIN_POSITIVE).ln()
}

/// Returns the hash of a key and a candidate, which is the rendezvous score of
/// candidates with equal weights.
#[must_use]
pub fn mix(key: u64, candidate: u64, purpose: Purpose) -> u64 {
    let mut both = [0; 16];
    both[..8].copy_from_slice(&key.to_le_bytes());
    both[8..].copy_from_slice(&candidate.to_le_bytes());
    xxh3_64_with_seed(&both, purpose as u64)
}

/// Converts the top bits of a hash to a fraction in `[0, 1)`. It builds the `f64`
/// from its bits, which avoids a lossy cast.
fn to_unit(hash: u64) -> f64 {
    f64::from_bits((1023 << UNIT_BITS) | (hash >> (u64::BITS - UNIT_BITS))) - 1.0
}
