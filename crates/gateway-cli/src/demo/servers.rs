//! Stand-ins for roll servers.

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

/// How long a roll server is listed after its last renewal.
const LEASE: Duration = Duration::from_secs(2);
/// Requests that a roll server works on at once.
const CORES: usize = 4;
/// The mean time of work on one request.
const WORK: Duration = Duration::from_millis(20);

fn failed(what: &str) -> impl Fn(std::io::Error) -> Errors + '_ {
    move |e| Errors::single(format!("{what}: {e}"))
}

/// A stand-in for a roll server. Dropped, it is dead: its connections are reset and it renews nothing.
pub struct RollServer {
    _tasks: JoinSet<()>,
}

impl RollServer {
    /// Listens, and announces itself under `name`. `seed` is that of its times of work.
    pub async fn start(name: String, registrars: SocketAddr, seed: u64) -> Result<Self, Errors> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(failed("a roll server"))?;
        let address = listener.local_addr().map_err(failed("a roll server"))?;
        let mut tasks = JoinSet::new();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let announcement = Announcement {
            endpoint: address.to_string(),
            az: "hall".to_string(),
            model: "stand-in".to_string(),
            pod_group: 0,
            capacity_hint: 1.0,
            boot_ms: unix.as_millis() as u64,
            lease_ms: LEASE.as_millis() as u64,
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
                    let service = service_fn(|request| answer(request, &cores, &rng));
                    // An error is the gateway's: it left.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(RollServer { _tasks: tasks })
    }
}

async fn answer(
    request: Request<Incoming>,
    cores: &Semaphore,
    rng: &RefCell<ChaCha8Rng>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let status = if request.headers().contains_key("request-id") { 200 } else { 404 };
    let _core = cores.acquire().await;
    let work = exponential(&mut rng.borrow_mut(), WORK);
    sleep(work).await;
    let mut answer = Response::new(Full::new(Bytes::from_static(b"the roll\n")));
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    Ok(answer)
}
