//! Runs a group of three nodes in one process: messages and writes take no time, and the clock is a counter.

use consensus::{Event, Member, Membership, Node, Options, Output};

const MILLISECOND: u64 = 1_000_000;

fn main() {
    let member =
        |id: u64| Member { id, address: format!("10.0.0.{id}:1"), control: String::new(), voter: true };
    let membership = Membership { members: (1..=3).map(member).collect() };
    let start = |id| Node::new(Options::new(id), Node::bootstrap(membership.clone()), 0, id);
    let mut nodes: Vec<Node> = (1..=3).map(start).collect();
    let mut proposed = false;
    for now in (0..2_000).map(|millisecond| millisecond * MILLISECOND) {
        let mut events: Vec<(usize, Event)> = (0..3).map(|slot| (slot, Event::Tick)).collect();
        if let Some(leader) = nodes.iter().position(|node| !proposed && now < node.lease_until()) {
            proposed = true;
            events.push((leader, Event::Propose { payload: b"hello".to_vec() }));
        }
        while let Some((slot, event)) = events.pop() {
            let mut outputs = Vec::new();
            nodes[slot].handle(now, event, &mut outputs);
            let from = nodes[slot].id();
            for output in outputs {
                match output {
                    Output::Send { to, message } => {
                        events.push((to as usize - 1, Event::Message { from, message }));
                    }
                    Output::Persist { ticket, .. } => events.push((slot, Event::Persisted { ticket })),
                    Output::Commit { entries } => println!("process {from} applies {entries:?}"),
                    other => println!("process {from}: {other:?}"),
                }
            }
        }
    }
}
