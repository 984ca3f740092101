//! Simulated roll servers.

use super::random::exponential;
use bytes::Bytes;
use gateway_protocol::registration::Announcement;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use program_support::config::Errors;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How long a roll server stays listed after its last lease renewal.
const LEASE_DURATION: Duration = Duration::from_secs(2);
/// How many requests a roll server processes concurrently.
const CORES: usize = 4;
/// The mean processing time of a request.
const MEAN_PROCESSING_TIME: Duration = Duration::from_millis(20);

/// Maps an I/O error to a program error that names what failed.
fn io_error(context: &str) -> impl Fn(std::io::Error) -> Errors + '_ {
    move |e| Errors::single(format!("{context}: {e}"))
}

/// A simulated roll server. Dropping a `RollServer` kills the server: its connections are reset and its lease
/// is no longer renewed.
pub struct RollServer {
    _tasks: JoinSet<()>,
}

impl RollServer {
    /// Starts a server that registers itself as `name` and renews its lease. `seed` is the random seed of its
    /// processing times.
    pub async fn start(name: String, registrars: SocketAddr, seed: u64) -> Result<Self, Errors> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io_error("a roll server"))?;
        let address = listener.local_addr().map_err(io_error("a roll server"))?;
        let mut tasks = JoinSet::new();
        let since_unix_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let announcement = Announcement {
            endpoint: address.to_string(),
            az: "hall".to_string(),
            model: "stand-in".to_string(),
            pod_group: 0,
            capacity_hint: 1.0,
            boot_ms: since_unix_epoch.as_millis() as u64,
            lease_ms: LEASE_DURATION.as_millis() as u64,
        };
        tasks.spawn_local(gateway_process_trial::renew(name, announcement, registrars));
        tasks.spawn_local(async move {
            let cores = Rc::new(Semaphore::new(CORES));
            let rng = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (cores, rng) = (cores.clone(), rng.clone());
                connections.spawn_local(async move {
                    let _ = stream.set_nodelay(true);
                    let service = service_fn(|request| handle_request(request, &cores, &rng));
                    // An error means that the gateway closed the connection.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(RollServer { _tasks: tasks })
    }
}

/// Answers a request after a random processing time: with 200 if the request has a `request-id`, otherwise
/// with 404.
async fn handle_request(
    request: Request<Incoming>,
    cores: &Semaphore,
    rng: &RefCell<ChaCha8Rng>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let status = if request.headers().contains_key("request-id") { 200 } else { 404 };
    let _core = cores.acquire().await;
    let processing_time = exponential(&mut rng.borrow_mut(), MEAN_PROCESSING_TIME);
    sleep(processing_time).await;
    let mut answer = Response::new(Full::new(Bytes::from_static(b"the roll\n")));
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    Ok(answer)
}
