//! The operator's configuration: the newest in full, and digests of all that were taken.

use std::collections::{HashSet, VecDeque};

use messages::job::PutConfiguration;

use super::digest::ConfigurationDigest;
use super::error::SnapshotError;
use super::Applied;

/// Configurations whose repeats are still known. A day holds hundreds of changes.
const KEPT_DIGESTS: usize = 16_384;
/// One order of the operator: the same body on top of the same version is the same order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConfigurationKey {
    /// Digest of the body.
    pub digest: ConfigurationDigest,
    /// The version that the operator built on.
    pub builds_on: u64,
}

impl ConfigurationKey {
    /// The key of an order.
    pub fn of(body: &[u8], builds_on: u64) -> Self {
        Self { digest: ConfigurationDigest::of(body), builds_on }
    }
}

/// A configuration that was taken, without its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakenConfiguration {
    /// Its version.
    pub version: u64,
    /// The version that the operator built on.
    pub builds_on: u64,
    /// Digest of its body.
    pub digest: ConfigurationDigest,
}

/// A configuration that was replaced by a newer one.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Replaced {
    digest: ConfigurationDigest,
    version: u64,
    builds_on: u64,
}

/// The newest configuration and what is known of older ones.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct ConfigurationHistory {
    newest: Option<PutConfiguration>,
    replaced: VecDeque<Replaced>,
    taken: HashSet<ConfigurationDigest>,
    /// Some digests come from a snapshot of format 0.
    holds_earlier_digests: bool,
}

impl ConfigurationHistory {
    /// The newest configuration.
    pub(super) fn newest(&self) -> Option<&PutConfiguration> {
        self.newest.as_ref()
    }

    /// All that are remembered, the oldest first and the newest last.
    pub(super) fn all(&self) -> impl Iterator<Item = TakenConfiguration> + '_ {
        let replaced = self.replaced.iter().map(|replaced| TakenConfiguration {
            version: replaced.version,
            builds_on: replaced.builds_on,
            digest: replaced.digest,
        });
        let newest = self.newest.iter().map(|newest| TakenConfiguration {
            version: newest.version,
            builds_on: newest.builds_on,
            digest: ConfigurationDigest::of(&newest.body),
        });
        replaced.chain(newest)
    }

    /// The newest version, 0 while there is none.
    pub(super) fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    /// Whether exactly this body was ever taken.
    pub(super) fn was_taken(&self, body: &[u8]) -> bool {
        let known = |digest| self.taken.contains(&digest);
        known(ConfigurationDigest::of(body))
            || self.holds_earlier_digests && known(ConfigurationDigest::earlier_of(body))
    }

    /// Takes `put` if it builds on the newest version and is above it.
    pub(super) fn put(&mut self, put: &PutConfiguration) -> Applied {
        let key = ConfigurationKey::of(&put.body, put.builds_on);
        let current = self.version();
        if self.was_taken(&put.body) {
            return Applied::ConfigurationRepeated { key };
        }
        if put.builds_on != current {
            return Applied::ConfigurationConflict { key, current };
        }
        if put.version <= current {
            return Applied::ConfigurationNotAbove { key, current };
        }
        self.take(put.clone(), key.digest);
        Applied::ConfigurationTaken { key, version: put.version }
    }

    fn take(&mut self, put: PutConfiguration, digest: ConfigurationDigest) {
        self.taken.insert(digest);
        let Some(before) = self.newest.replace(put) else { return };
        let digest = ConfigurationDigest::of(&before.body);
        self.keep(Replaced { digest, version: before.version, builds_on: before.builds_on });
    }

    fn keep(&mut self, replaced: Replaced) {
        self.taken.insert(replaced.digest);
        self.holds_earlier_digests |= matches!(replaced.digest, ConfigurationDigest::Fnv(_));
        self.replaced.push_back(replaced);
        if self.replaced.len() <= KEPT_DIGESTS {
            return;
        }
        if let Some(oldest) = self.replaced.pop_front() {
            self.taken.remove(&oldest.digest);
        }
    }

    /// Replaced configurations with their digest as body, then the newest in full.
    pub(super) fn snapshot(&self) -> Vec<PutConfiguration> {
        let mut configurations = Vec::with_capacity(self.replaced.len() + 1);
        for replaced in &self.replaced {
            configurations.push(PutConfiguration {
                body: replaced.digest.to_bytes(),
                version: replaced.version,
                builds_on: replaced.builds_on,
            });
        }
        configurations.extend(self.newest.clone());
        configurations
    }

    /// The inverse of `snapshot`.
    pub(super) fn restore(configurations: &[PutConfiguration]) -> Result<Self, SnapshotError> {
        let mut history = Self::default();
        let Some((newest, replaced)) = configurations.split_last() else { return Ok(history) };
        for put in replaced {
            let digest = ConfigurationDigest::from_bytes(&put.body)
                .ok_or(SnapshotError::Digest(put.version, put.body.len()))?;
            history.keep(Replaced { digest, version: put.version, builds_on: put.builds_on });
        }
        history.take(newest.clone(), ConfigurationDigest::of(&newest.body));
        Ok(history)
    }
}
