//! The services behind the relays: stand-in servers, and the list service or the registry.

use crate::addresses::Target;
use crate::connection::{Connection, FarEnd, LinkHandler};
use crate::ledger::Event;
use crate::list_responses::ListResponse;
use crate::serving;
use crate::world::World;
use gateway_protocol::list::State;
use gateway_simulation::report::count;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::io::duplex;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

impl LinkHandler for World {
    async fn connect(self: Rc<Self>, target: Target, connection: Rc<Connection>) -> Option<FarEnd> {
        match target {
            Target::Server(n) => {
                let mut figures = self.figures.borrow_mut();
                if let Some(at) = self.clock.second() {
                    if figures.opened.len() <= at {
                        figures.opened.resize(at + 1, 0);
                    }
                    figures.opened[at] += 1;
                }
                figures.report.connections += u64::from(self.is_counted(self.clock.now()));
                drop(figures);
                serving::connect(&self, n, connection)
            }
            Target::List => match self.registry.get() {
                Some([readers, _]) => TcpStream::connect(readers).await.ok().map(FarEnd::Tcp),
                None => {
                    let (near, far) = duplex(64 << 10);
                    spawn_local(async move {
                        let service = service_fn(|request| async {
                            let answer = self.list_service.answer(request, &connection).await;
                            let mut figures = self.figures.borrow_mut();
                            let second = self.clock.second();
                            count(&mut figures.list, second, 0);
                            if answer.status() != 200 {
                                count(&mut figures.list, second, 1);
                            }
                            Ok::<_, Infallible>(answer)
                        });
                        let _ = http1::Builder::new().serve_connection(TokioIo::new(far), service).await;
                    });
                    Some(FarEnd::InProcess(near))
                }
            },
        }
    }

    fn gateway_closed(&self, connection: &Connection, reset: bool) {
        if let Some((id, received_at)) = connection.in_flight.take() {
            let ending =
                if reset { gateway_decisions::Ending::Cut } else { gateway_decisions::Ending::Undone };
            self.record(self.clock.now(), Event::AttemptEnded { id, received_at, ending });
        }
    }

    fn list_bytes_sent(&self, connection: &Connection, bytes: &[u8]) {
        let process = &self.gateways[connection.gateway];
        let (now, gateway) = (self.clock.now().max(process.paused_until.get()), connection.gateway);
        for response in connection.list_responses.borrow_mut().feed(bytes) {
            if self.registry.get().is_some() {
                let mut figures = self.figures.borrow_mut();
                let second = self.clock.second();
                count(&mut figures.list, second, 0);
                if matches!(response, ListResponse::Other) {
                    count(&mut figures.list, second, 1);
                }
            }
            let ListResponse::List(list) = response else { continue };
            let mut known_starts = process.known_starts.borrow_mut();
            let server_number = |uid: &str| uid.strip_prefix("s-")?.parse::<usize>().ok();
            let listed: Vec<(usize, bool, u64)> = list
                .targets
                .iter()
                .filter_map(|t| Some((server_number(&t.uid)?, t.state == State::Ready, t.boot_ms)))
                .collect();
            if list.all {
                for server in known_starts.keys().filter(|n| listed.iter().all(|(listed, ..)| listed != *n)) {
                    self.record(
                        now,
                        Event::ServerListed { gateway, server: *server, accepts_requests: false },
                    );
                }
            }
            for (server, accepts_requests, boot_ms) in listed {
                known_starts.insert(server, boot_ms);
                self.record(now, Event::ServerListed { gateway, server, accepts_requests });
            }
        }
    }

    fn relay_failed(&self, error: String) {
        self.fail(error);
    }
}
