//! Digests by which accepted configurations are recognized.

use sha2::{Digest, Sha256};

/// Length of a SHA-256 digest in bytes.
const SHA256_BYTES: usize = 32;
/// Length of a 128-bit FNV-1a hash in bytes.
const FNV_BYTES: usize = 16;
/// Offset basis of the 128-bit FNV-1a hash.
const FNV_OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
/// Prime of the 128-bit FNV-1a hash.
const FNV_PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

/// Digest of a configuration's body. The same body has the same digest in every build of this program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ConfigurationDigest {
    /// SHA-256.
    Sha256([u8; SHA256_BYTES]),
    /// A 128-bit FNV-1a hash, as snapshots of format 0 contain. New digests are always SHA-256.
    Fnv([u8; FNV_BYTES]),
}

impl ConfigurationDigest {
    /// Computes the digest of `body`.
    pub fn of(body: &[u8]) -> Self {
        ConfigurationDigest::Sha256(Sha256::digest(body).into())
    }

    /// Computes the digest of `body` that snapshots of format 0 contain.
    pub(super) fn format_0_of(body: &[u8]) -> Self {
        let mut hash = FNV_OFFSET;
        for byte in body {
            hash ^= u128::from(*byte);
            hash = hash.wrapping_mul(FNV_PRIME);
        }
        ConfigurationDigest::Fnv(hash.to_le_bytes())
    }

    /// The digest as stored in a snapshot.
    pub(super) fn to_bytes(self) -> Vec<u8> {
        match self {
            ConfigurationDigest::Sha256(bytes) => bytes.to_vec(),
            ConfigurationDigest::Fnv(bytes) => bytes.to_vec(),
        }
    }

    /// Reads a stored digest; `None` if it has the length of neither kind.
    pub(super) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        if let Ok(bytes) = bytes.try_into() {
            return Some(ConfigurationDigest::Sha256(bytes));
        }
        bytes.try_into().ok().map(ConfigurationDigest::Fnv)
    }
}

impl std::fmt::Display for ConfigurationDigest {
    /// Writes the digest as hexadecimal digits.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.to_bytes().iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// Identity of an operator's configuration change. Requests with the same body on top of the same version
/// are the same change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConfigurationKey {
    /// Digest of the body.
    pub digest: ConfigurationDigest,
    /// The version on which the operator based the change.
    pub builds_on: u64,
}

impl ConfigurationKey {
    /// Computes the key of a change.
    pub fn of(body: &[u8], builds_on: u64) -> Self {
        Self { digest: ConfigurationDigest::of(body), builds_on }
    }
}
