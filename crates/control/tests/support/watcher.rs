//! A client connection to a control process, like that of an edge.

use messages::peer::{mod_PeerFrame::OneOfbody, Hello, LeaderNotice, PeerFrame};
use messages::{decode, encode_frame, FrameReader};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

pub struct Watcher {
    stream: TcpStream,
    frames: FrameReader,
    deadline: Instant,
}

impl Watcher {
    /// Connects as soon as the process listens.
    pub fn connect(address: SocketAddr, deadline: Instant) -> Self {
        let mut stream = loop {
            match TcpStream::connect(address) {
                Ok(stream) => break stream,
                Err(error) => assert!(Instant::now() < deadline, "nobody listens at {address}: {error}"),
            }
            thread::yield_now();
        };
        let mut hello = Vec::new();
        let body = OneOfbody::hello(Hello { node_name: "watcher".to_owned(), ..Hello::default() });
        encode_frame(&PeerFrame { body }, &mut hello);
        stream.write_all(&hello).expect("the process reads");
        Watcher { stream, frames: FrameReader::new(), deadline }
    }

    pub fn send(&mut self, body: OneOfbody) {
        let mut bytes = Vec::new();
        encode_frame(&PeerFrame { body }, &mut bytes);
        self.stream.write_all(&bytes).expect("the process reads");
    }

    /// The next frame.
    pub fn next(&mut self) -> OneOfbody {
        loop {
            if let Some(bytes) = self.frames.next_frame().expect("proper frames") {
                return decode::<PeerFrame>(&bytes).expect("a proper message").body;
            }
            let left = self.deadline.saturating_duration_since(Instant::now());
            let left = left.max(Duration::from_millis(1));
            self.stream.set_read_timeout(Some(left)).expect("a time limit");
            let mut bytes = [0; 4_096];
            let read = self.stream.read(&mut bytes).expect("an answer in time");
            assert!(read > 0, "the process closed the connection");
            self.frames.buffer().extend_from_slice(&bytes[..read]);
        }
    }

    /// Waits for a notice that `is_expected` accepts.
    pub fn wait_for(&mut self, is_expected: impl Fn(&LeaderNotice) -> bool) -> LeaderNotice {
        loop {
            if let OneOfbody::leader(notice) = self.next() {
                if is_expected(&notice) {
                    return notice;
                }
            }
        }
    }

    /// Waits until a leader is known.
    pub fn wait_for_leader(&mut self) -> LeaderNotice {
        self.wait_for(|notice| notice.leader_id != 0)
    }
}
