//! The queue between tasks and the driver: messages of consensus do not wait behind other events.

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

/// Fills the ordinary lane: tasks that send more have to wait.
fn flood(sender: &EventSender) -> u64 {
    let mut sent = 0;
    loop {
        match sender.ordinary().try_send(worker_event(sent)) {
            Ok(()) => sent += 1,
            Err(TrySendError::Full(_)) => return sent,
            Err(TrySendError::Closed(_)) => panic!("the queue is there"),
        }
    }
}

/// Who sent the messages of consensus that wait, in order.
fn take_heartbeats(first: Option<DriverEvent>, queue: &mut EventQueue) -> Vec<u64> {
    let mut senders = Vec::new();
    let mut next = first;
    while let Some(event) = next.take().or_else(|| queue.next_consensus()) {
        match event {
            DriverEvent::Frame { body: OneOfbody::consensus(message), .. } => senders.push(message.from),
            _ => panic!("another event in the lane of consensus"),
        }
    }
    senders
}

#[test]
fn a_flood_of_worker_events_does_not_delay_heartbeats() {
    on_one_thread(async {
        let (sender, mut queue) = event_queue();
        let flooded = flood(&sender);
        assert!(flooded > 256);
        sender.send(heartbeat(1)).await.expect("room for consensus");
        sender.send(heartbeat(2)).await.expect("room for consensus");
        let first = queue.wait().await;
        assert_eq!(take_heartbeats(first, &mut queue), [1, 2], "before the events that came first");

        let first = queue.wait().await;
        assert!(first.is_none() && queue.has_ordinary());
        queue.next_ordinary().expect("a worker event");
        sender.send(heartbeat(3)).await.expect("room for consensus");
        let first = queue.wait().await;
        assert_eq!(take_heartbeats(first, &mut queue), [3], "before the events that were moved already");
    });
}

#[test]
fn the_platforms_list_an_order_of_the_operator_and_an_edges_ping_do_not_wait_behind_worker_events() {
    on_one_thread(async {
        let (sender, mut queue) = event_queue();
        flood(&sender);
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
fn other_events_keep_their_order_and_none_is_lost() {
    on_one_thread(async {
        let (sender, mut queue) = event_queue();
        let flooded = flood(&sender);
        let mut taken = Vec::new();
        while taken.len() < usize::try_from(flooded).expect("few events") {
            assert!(queue.wait().await.is_none());
            while let Some(event) = queue.next_ordinary() {
                match event {
                    DriverEvent::CallFinished { call, .. } => taken.push(call.call),
                    _ => panic!("only calls were sent"),
                }
            }
        }
        assert!(taken.into_iter().eq(0..flooded));
    });
}

#[test]
fn requests_of_clients_and_the_end_of_their_connection_keep_their_order_in_the_ordinary_lane() {
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
fn an_urgent_event_wakes_the_driver() {
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
fn a_flood_of_heartbeats_does_not_delay_worker_events() {
    on_one_thread(async {
        let (sender, mut queue) = event_queue();
        sender.ordinary().send(worker_event(7)).await.expect("room for a worker event");
        sender.send(heartbeat(1)).await.expect("room for consensus");
        let first = queue.wait().await;
        assert_eq!(take_heartbeats(first, &mut queue), [1]);
        queue.fetch_ordinary();
        let event =
            queue.next_ordinary().expect("the turn that begins with a heartbeat takes the worker event, too");
        assert!(matches!(event, DriverEvent::CallFinished { call: CallId { call: 7, .. }, .. }));
        flood(&sender);
        queue.fetch_ordinary();
        let moved = std::iter::from_fn(|| queue.next_ordinary()).count();
        assert!((1..=256).contains(&moved), "{moved} at one time");
    });
}
