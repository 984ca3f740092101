//! A member of the core whose notices and replies the test controls.

use messages::peer::mod_PeerFrame::OneOfbody;
use messages::peer::{
    ClientReply, ClientRequest, LeaderNotice, Member, Membership, Outcome, PeerFrame, Pong,
};
use messages::{decode, encode_frame, FrameReader};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};

/// A request that the member received, and the connection to reply on.
pub struct ReceivedRequest {
    pub request: ClientRequest,
    frames: UnboundedSender<PeerFrame>,
}

impl ReceivedRequest {
    /// Replies with an outcome and default values otherwise.
    pub fn reply(&self, outcome: Outcome) {
        self.reply_with(ClientReply { outcome, ..ClientReply::default() });
    }

    pub fn reply_with(&self, reply: ClientReply) {
        let reply = ClientReply { request_id: self.request.request_id, ..reply };
        let _ = self.frames.send(PeerFrame { body: OneOfbody::reply(reply) });
    }
}

#[derive(Default)]
struct Shared {
    notice: RefCell<LeaderNotice>,
    connections: RefCell<HashMap<u64, (UnboundedSender<PeerFrame>, AbortHandle)>>,
    next_connection: Cell<u64>,
    hello_received: Notify,
    hello_count: Cell<usize>,
}

/// A scripted member of the core.
pub struct ScriptedCore {
    pub address: SocketAddr,
    shared: Rc<Shared>,
    requests: UnboundedReceiver<ReceivedRequest>,
    accepting: AbortHandle,
}

impl ScriptedCore {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Rc::new(Shared::default());
        let (sender, requests) = unbounded_channel();
        let accepting = spawn_local(accept(listener, shared.clone(), sender)).abort_handle();
        ScriptedCore { address, shared, requests, accepting }
    }

    /// Announces that `leader` leads in `term` (`None`: no leader), on all open connections and on later
    /// ones.
    pub fn announce(&self, term: u64, leader: Option<SocketAddr>, members: &[SocketAddr]) {
        let member = |address: &SocketAddr| Member {
            id: u64::from(address.port()),
            address: address.to_string(),
            control: String::new(),
            voter: true,
        };
        let notice = LeaderNotice {
            term,
            leader_id: leader.map_or(0, |address| u64::from(address.port())),
            leader_address: leader.map_or(String::new(), |address| address.to_string()),
            membership: Some(Membership { members: members.iter().map(member).collect() }),
        };
        *self.shared.notice.borrow_mut() = notice.clone();
        for (frames, _) in self.shared.connections.borrow().values() {
            let _ = frames.send(PeerFrame { body: OneOfbody::leader(notice.clone()) });
        }
    }

    /// Waits for the next request.
    pub async fn request(&mut self) -> ReceivedRequest {
        self.requests.recv().await.expect("the core runs")
    }

    /// Returns a request that has already been received, if there is one.
    pub fn request_now(&mut self) -> Option<ReceivedRequest> {
        self.requests.try_recv().ok()
    }

    /// Waits until at least `count` hello frames have been received since the start.
    pub async fn wait_for_hellos(&self, count: usize) {
        while self.shared.hello_count.get() < count {
            self.shared.hello_received.notified().await;
        }
    }

    /// Breaks all connections; new ones are still accepted.
    pub fn break_connections(&self) {
        for (_, (_, task)) in self.shared.connections.borrow_mut().drain() {
            task.abort();
        }
    }

    /// Breaks all connections and accepts no new ones.
    pub fn stop(&self) {
        self.accepting.abort();
        self.break_connections();
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>, requests: UnboundedSender<ReceivedRequest>) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let number = shared.next_connection.get();
        shared.next_connection.set(number + 1);
        let (frames, outgoing) = unbounded_channel();
        let task = spawn_local(serve(stream, shared.clone(), requests.clone(), frames.clone(), outgoing));
        shared.connections.borrow_mut().insert(number, (frames, task.abort_handle()));
    }
}

async fn serve(
    stream: TcpStream,
    shared: Rc<Shared>,
    requests: UnboundedSender<ReceivedRequest>,
    frames: UnboundedSender<PeerFrame>,
    mut outgoing: UnboundedReceiver<PeerFrame>,
) {
    let (reader, mut writer) = stream.into_split();
    let write = async {
        while let Some(frame) = outgoing.recv().await {
            let mut bytes = Vec::new();
            encode_frame(&frame, &mut bytes);
            if writer.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = read(reader, shared, requests, frames) => {}
        () = write => {}
    }
}

async fn read(
    mut reader: OwnedReadHalf,
    shared: Rc<Shared>,
    requests: UnboundedSender<ReceivedRequest>,
    frames: UnboundedSender<PeerFrame>,
) {
    let mut incoming = FrameReader::new();
    while reader.read_buf(incoming.buffer()).await.unwrap_or(0) > 0 {
        while let Some(frame) = incoming.next_frame().unwrap() {
            let frame: PeerFrame = decode(&frame).unwrap();
            match frame.body {
                OneOfbody::hello(_) => {
                    let notice = shared.notice.borrow().clone();
                    let _ = frames.send(PeerFrame { body: OneOfbody::leader(notice) });
                    shared.hello_count.set(shared.hello_count.get() + 1);
                    shared.hello_received.notify_one();
                }
                OneOfbody::ping(ping) => {
                    let pong = Pong { number: ping.number };
                    let _ = frames.send(PeerFrame { body: OneOfbody::pong(pong) });
                }
                OneOfbody::request(request) => {
                    let _ = requests.send(ReceivedRequest { request, frames: frames.clone() });
                }
                _ => {}
            }
        }
    }
}
