//! Follows the list of another registry with long polls, as a gateway does.

use crate::service::Registry;
use gateway_protocol::call_schedule::CallFailure;
use gateway_protocol::watch::{Client, ListAnswer, WatchError};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The longest time that a watch waits for an update.
const WATCH_WAIT: Duration = Duration::from_secs(20);
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Copies the list of the registry at `address` until the program ends. While calls fail the last list stays
/// in use.
pub async fn follow(address: SocketAddr, registry: Rc<Registry>, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut client, mut version, mut backoff, mut is_unreachable) =
        (Client::default(), None, MIN_BACKOFF, false);
    loop {
        let wait = if version.is_some() { WATCH_WAIT } else { Duration::ZERO };
        let answer = client.call(address, version, wait).await;
        let followed = answer.and_then(|ListAnswer { list, path }| {
            registry.apply_followed(&list, &path, version).map(|()| list.rev).map_err(WatchError::other)
        });
        match followed {
            Ok(now) => {
                backoff = MIN_BACKOFF;
                if std::mem::take(&mut is_unreachable) {
                    tracing::info!("{address} is back, version {now}");
                }
                // A registry that answers at once without changes must not cause a busy loop.
                if version.replace(now) == Some(now) {
                    sleep(MIN_BACKOFF).await;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unreachable, true) {
                    tracing::warn!("{address}: {error}; the last list stays in use");
                }
                let mut wait = backoff.mul_f64(0.5 + rng.f64());
                if let CallFailure::Rejected(hint) = error.failure {
                    // A rejected call changes nothing: the version and the connection stay valid.
                    wait = wait.max(hint.unwrap_or_default());
                } else {
                    client.disconnect();
                    // After a broken watch it is unknown what was sent: the next call requests the full list.
                    version = None;
                }
                sleep(wait).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}
