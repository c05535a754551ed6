//! Hashes that every entry VM computes alike.

use std::net::IpAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// IPv4 clients that share this many leading bits are steered together.
const V4_GROUP_BITS: u32 = 24;
/// IPv6 clients that share this many leading bits are steered together.
const V6_GROUP_BITS: u32 = 48;
/// Bits of a hash that fit the mantissa of an `f64`.
const UNIT_BITS: u32 = 52;

/// Purpose of a hash; hashes for different purposes are independent.
#[derive(Clone, Copy, Debug)]
#[repr(u64)]
pub enum Purpose {
    /// Home of a client that no block covers.
    Home = 1,
    /// Whether a client leaves its home.
    Move,
    /// Where a client that left its home goes.
    Target,
    /// Where a client turns when its first choice fails.
    Fallback,
    /// Order of entry VMs within a place.
    Entry,
    /// Which requests of a plan are refused.
    Refuse,
    /// Lifetime of an answer.
    Ttl,
    /// Region in which a request's object is worked on.
    Region,
    /// Whether a large object is worked on in the caller's failure domain.
    Domain,
    /// Backend server that remembers an object.
    Server,
    /// Entry VMs that may use a cold backend server.
    Cold,
    /// Service of a route that gets a request.
    Part,
    /// Entry VM that stands in for a lost one.
    Helper,
}

/// Hash of the group of neighbours that a client is steered with.
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

/// Hash of a name.
#[must_use]
pub fn name(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// A number in `[0, 1)` for this key and purpose.
#[must_use]
pub fn unit(key: u64, purpose: Purpose) -> f64 {
    to_unit(xxh3_64_with_seed(&key.to_le_bytes(), purpose as u64))
}

/// Weighted rendezvous score: the candidate with the highest one wins, each
/// in proportion to its weight.
#[must_use]
pub fn score(key: u64, candidate: u64, weight: f64, purpose: Purpose) -> f64 {
    let unit = to_unit(mix(key, candidate, purpose));
    -weight / unit.max(f64::MIN_POSITIVE).ln()
}

/// Hash of a key together with a candidate: the rendezvous score of
/// candidates with equal weights.
#[must_use]
pub fn mix(key: u64, candidate: u64, purpose: Purpose) -> u64 {
    let mut both = [0; 16];
    both[..8].copy_from_slice(&key.to_le_bytes());
    both[8..].copy_from_slice(&candidate.to_le_bytes());
    xxh3_64_with_seed(&both, purpose as u64)
}

/// The top bits of a hash as a fraction, put together without a lossy cast.
fn to_unit(hash: u64) -> f64 {
    f64::from_bits((1023 << UNIT_BITS) | (hash >> (u64::BITS - UNIT_BITS))) - 1.0
}
