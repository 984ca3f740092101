//! Registration of a stand-in server at the real registry.

use bytes::Bytes;
use gateway_protocol::call::{self, Call};
use gateway_protocol::registration::{Announcement, REGISTRATIONS_PATH};
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::interval;

/// Registers a server and renews its lease until the future is dropped.
pub async fn renew(name: String, announcement: Announcement, registrars: SocketAddr) {
    let path = format!("{REGISTRATIONS_PATH}/{name}");
    let lease = Duration::from_millis(announcement.lease_ms);
    let renewal = Bytes::from(format!(r#"{{"boot_ms":{}}}"#, announcement.boot_ms));
    let announcement = Bytes::from(serde_json::to_vec(&announcement).unwrap_or_default());
    let mut every = interval(lease / 4);
    let mut listed = false;
    loop {
        every.tick().await;
        let call = match listed {
            true => Call { method: Method::POST, path: format!("{path}/renew"), body: renewal.clone() },
            false => Call { method: Method::PUT, path: path.clone(), body: announcement.clone() },
        };
        // If the registry does not know the registration, or did not answer, the server registers again.
        listed = call::make(registrars, call, lease / 4).await.is_ok_and(|answer| answer.is_success());
    }
}
