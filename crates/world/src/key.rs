//! Digests of client and operator keys, and the secret shared by the deployment's processes.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a SHA-256 digest in bytes.
pub const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a key; the key itself is never stored.
#[serde_as]
#[derive(Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct KeyDigest(#[serde_as(as = "Hex")] [u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key in plain text.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the raw digest.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }

    /// Whether two digests are equal, compared in constant time against timing attacks.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.matches_bytes(&other.0)
    }

    /// Whether the digest equals `bytes`, compared in constant time against timing attacks.
    #[must_use]
    pub fn matches_bytes(&self, bytes: &[u8]) -> bool {
        self.0[..].ct_eq(bytes).into()
    }

    /// Returns the digest in hex.
    #[must_use]
    pub fn to_hex(&self) -> String {
        hex::encode(self.0)
    }
}

impl schemars::JsonSchema for KeyDigest {
    fn schema_name() -> String {
        "KeyDigest".into()
    }

    fn json_schema(generator: &mut schemars::r#gen::SchemaGenerator) -> schemars::schema::Schema {
        String::json_schema(generator)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

/// Secret shared by all processes of a deployment, used to authenticate to each other.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret from its text.
    #[must_use]
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns a digest of `purpose` and the secret, which proves to the peer that
    /// this process knows the secret. A proof for one purpose is invalid for another.
    #[must_use]
    pub fn proof(&self, purpose: &str) -> KeyDigest {
        let mut hash = Sha256::new();
        hash.update(purpose.as_bytes());
        hash.update([0]);
        hash.update(self.0.as_bytes());
        KeyDigest(hash.finalize().into())
    }

    /// Whether `shown_hex`, received from a peer, is the proof for `purpose` in hex.
    #[must_use]
    pub fn verify_proof(&self, purpose: &str, shown_hex: &str) -> bool {
        let mut shown = [0; DIGEST_BYTES];
        if hex::decode_to_slice(shown_hex, &mut shown).is_err() {
            return false;
        }
        self.proof(purpose).matches_bytes(&shown)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
