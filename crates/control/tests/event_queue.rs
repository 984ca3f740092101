//! The event queue: consensus messages and urgent events do not wait behind other events.

use control::event_queue::{event_queue, EventQueue, EventSender};
use control::events::{DriverEvent, OperatorCall, OperatorRequest};
use control::platform::PlatformError;
use messages::peer::mod_PeerFrame::OneOfbody;
use messages::peer::{ClientRequest, ConsensusMessage, Ping};
use scheduler::leader::CallId;
use scheduler::worker::CallOutcome;
use std::future::Future;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;

fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(test);
}

fn worker_event(number: u64) -> DriverEvent {
    let call = CallId { worker: 1, call: number };
    DriverEvent::CallFinished { generation: 0, call, outcome: CallOutcome::NoResponse }
}

fn heartbeat(from: u64) -> DriverEvent {
    let message = ConsensusMessage { from, ..ConsensusMessage::default() };
    DriverEvent::Frame { connection: 1, body: OneOfbody::consensus(message) }
}

/// Fills the ordinary lane, so that tasks that send more have to wait. Returns the number of events sent.
fn fill_ordinary_lane(sender: &EventSender) -> u64 {
    let mut sent = 0;
    loop {
        match sender.ordinary().try_send(worker_event(sent)) {
            Ok(()) => sent += 1,
            Err(TrySendError::Full(_)) => return sent,
            Err(TrySendError::Closed(_)) => panic!("the queue is open"),
        }
    }
}

/// Takes the waiting consensus messages and returns their senders, in order.
fn take_heartbeats(first: Option<DriverEvent>, queue: &mut EventQueue) -> Vec<u64> {
    let mut senders = Vec::new();
    let mut next = first;
    while let Some(event) = next.take().or_else(|| queue.next_consensus()) {
        match event {
            DriverEvent::Frame { body: OneOfbody::consensus(message), .. } => senders.push(message.from),
            _ => panic!("another event in the consensus lane"),
        }
    }
    senders
}

#[test]
fn many_worker_events_do_not_delay_heartbeats() {
    on_one_thread(async {
        let (sender, mut queue) = event_queue();
        let filled = fill_ordinary_lane(&sender);
        assert!(filled > 256);
        sender.send(heartbeat(1)).await.expect("room for consensus");
        sender.send(heartbeat(2)).await.expect("room for consensus");
        let first = queue.wait().await;
        assert_eq!(take_heartbeats(first, &mut queue), [1, 2], "before the events that arrived first");

        let first = queue.wait().await;
        assert!(first.is_none() && queue.has_ordinary());
        queue.next_ordinary().expect("a worker event");
        sender.send(heartbeat(3)).await.expect("room for consensus");
        let first = queue.wait().await;
        assert_eq!(take_heartbeats(first, &mut queue), [3], "before events that were fetched already");
    });
}

#[test]
fn urgent_events_do_not_wait_behind_worker_events() {
    on_one_thread(async {
        let (sender, mut queue) = event_queue();
        fill_ordinary_lane(&sender);
        queue.fetch_ordinary();
        let ping = DriverEvent::Frame { connection: 9, body: OneOfbody::ping(Ping { number: 4 }) };
        let failed = DriverEvent::Instances { read: 1, result: Err(PlatformError::Timeout) };
        let (reply, _answer) = oneshot::channel();
        let order = DriverEvent::Operator(OperatorCall { request: OperatorRequest::Get, reply });
        sender.send(ping).await.expect("room for urgent events");
        sender.urgent().send(failed).await.expect("room for urgent events");
        sender.send(order).await.expect("room for urgent events");
        assert!(matches!(queue.next_urgent(), Some(DriverEvent::Frame { connection: 9, .. })));
        assert!(matches!(queue.next_urgent(), Some(DriverEvent::Instances { read: 1, .. })));
        assert!(matches!(queue.next_urgent(), Some(DriverEvent::Operator(_))));
        assert!(queue.next_urgent().is_none() && queue.has_ordinary());
    });
}

#[test]
fn ordinary_events_keep_their_order_and_none_is_lost() {
    on_one_thread(async {
        let (sender, mut queue) = event_queue();
        let filled = fill_ordinary_lane(&sender);
        let mut taken = Vec::new();
        while taken.len() < usize::try_from(filled).expect("few events") {
            assert!(queue.wait().await.is_none());
            while let Some(event) = queue.next_ordinary() {
                match event {
                    DriverEvent::CallFinished { call, .. } => taken.push(call.call),
                    _ => panic!("only calls were sent"),
                }
            }
        }
        assert!(taken.into_iter().eq(0..filled));
    });
}

#[test]
fn end_of_a_connection_follows_its_client_requests() {
    on_one_thread(async {
        let (sender, mut queue) = event_queue();
        let request = OneOfbody::request(ClientRequest::default());
        sender.send(DriverEvent::Frame { connection: 1, body: request }).await.expect("room");
        sender.send(DriverEvent::Closed { connection: 1 }).await.expect("room");
        assert!(queue.wait().await.is_none());
        assert!(matches!(queue.next().await, Some(DriverEvent::Frame { connection: 1, .. })));
        assert!(matches!(queue.next().await, Some(DriverEvent::Closed { connection: 1 })));
    });
}

#[test]
fn urgent_event_wakes_the_driver() {
    on_one_thread(async {
        let (sender, mut queue) = event_queue();
        let ping = OneOfbody::ping(Ping { number: 7 });
        sender.send(DriverEvent::Frame { connection: 1, body: ping }).await.expect("room");
        assert!(matches!(queue.wait().await, Some(DriverEvent::Frame { connection: 1, .. })));
        sender.ordinary().send(worker_event(7)).await.expect("room for a worker event");
        assert!(queue.wait().await.is_none());
        let ping = OneOfbody::ping(Ping { number: 8 });
        sender.send(DriverEvent::Frame { connection: 2, body: ping }).await.expect("room");
        assert!(matches!(queue.next().await, Some(DriverEvent::Frame { connection: 2, .. })));
        assert!(matches!(queue.next().await, Some(DriverEvent::CallFinished { .. })));
    });
}

#[test]
fn many_heartbeats_do_not_delay_worker_events() {
    on_one_thread(async {
        let (sender, mut queue) = event_queue();
        sender.ordinary().send(worker_event(7)).await.expect("room for a worker event");
        sender.send(heartbeat(1)).await.expect("room for consensus");
        let first = queue.wait().await;
        assert_eq!(take_heartbeats(first, &mut queue), [1]);
        queue.fetch_ordinary();
        let event =
            queue.next_ordinary().expect("a turn that begins with a heartbeat also handles the worker event");
        assert!(matches!(event, DriverEvent::CallFinished { call: CallId { call: 7, .. }, .. }));
        fill_ordinary_lane(&sender);
        queue.fetch_ordinary();
        let moved = std::iter::from_fn(|| queue.next_ordinary()).count();
        assert!((1..=256).contains(&moved), "{moved} at a time");
    });
}
