//! A single node. The test takes the place of its peers and its disk.

use consensus::{
    AppendReply, AppendRequest, Entry, Event, Index, Member, Membership, Message, Node, NodeId, Options,
    Output, Payload, Restored, Term, TimeoutNow, VoteReply, VoteRequest,
};

use super::cluster::{MILLISECOND, SECOND};

/// Process 1 of a group with the voters 1, 2, 3 and so on.
pub struct SingleNode {
    pub node: Node,
    pub now: u64,
    ticket: u64,
}

pub fn voters(count: u64) -> Membership {
    let member = |id| Member { id, address: format!("machine-{id}"), control: String::new(), voter: true };
    Membership { members: (1..=count).map(member).collect() }
}

pub fn entry(index: Index, term: Term) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![index as u8, term as u8]) }
}

impl SingleNode {
    /// Process 1 as a founder of a new group.
    pub fn founder(voters_count: u64) -> SingleNode {
        SingleNode::restored(Node::bootstrap(voters(voters_count)))
    }

    /// Process 1 with this restored state. The target number of voters is the number of voters in the first
    /// entry.
    pub fn restored(restored: Restored) -> SingleNode {
        let now = SECOND;
        let mut options = Options::new(1);
        if let Some(Payload::Membership(membership)) = restored.entries.first().map(|entry| &entry.payload) {
            options.target_voters = membership.voters().count();
        }
        SingleNode { node: Node::new(options, restored, now, 1), now, ticket: 0 }
    }

    /// Process 1 with the bootstrap entry and these entries on its disk, and with `term` as the highest term
    /// seen.
    pub fn with_entries(voters_count: u64, term: Term, entries: &[(Index, Term)]) -> SingleNode {
        let mut restored = Node::bootstrap(voters(voters_count));
        restored.hard_state.term = term;
        restored.entries.extend(entries.iter().map(|(index, term)| entry(*index, *term)));
        SingleNode::restored(restored)
    }

    pub fn handle(&mut self, event: Event) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.node.handle(self.now, event, &mut outputs);
        for output in &outputs {
            if let Output::Persist { ticket, .. } = output {
                self.ticket = *ticket;
            }
        }
        outputs
    }

    pub fn receive(&mut self, from: NodeId, message: Message) -> Vec<Output> {
        self.handle(Event::Message { from, message })
    }

    /// Completes all pending disk writes.
    pub fn persist(&mut self) -> Vec<Output> {
        let ticket = self.ticket;
        self.handle(Event::Persisted { ticket })
    }

    /// Ticket of the latest write.
    pub fn last_ticket(&self) -> u64 {
        self.ticket
    }

    pub fn wait(&mut self, milliseconds: u64) {
        self.now += milliseconds * MILLISECOND;
    }

    /// Advances the clock to the next timer and runs the timer.
    pub fn run_timer(&mut self) -> Vec<Output> {
        self.now = self.now.max(self.node.next_timer());
        self.handle(Event::Tick)
    }

    /// Campaigns after the longest election timeout and wins with the votes of these voters.
    pub fn win_election(&mut self, votes: &[NodeId]) -> Vec<Output> {
        self.wait(600);
        self.handle(Event::Tick);
        let term = self.node.term() + 1;
        votes.iter().for_each(|voter| drop(self.receive(*voter, vote_reply(term, true, true))));
        self.persist();
        votes.iter().flat_map(|voter| self.receive(*voter, vote_reply(term, true, false))).collect()
    }

    /// A founder that is the leader and has committed an entry of its own term.
    pub fn leader(voters_count: u64) -> SingleNode {
        let mut single = SingleNode::founder(voters_count);
        let others: Vec<NodeId> = (2..=voters_count).collect();
        single.win_election(&others);
        single.persist();
        for other in others {
            single.acknowledge(other);
        }
        assert!(single.node.lease_until() > single.now);
        single
    }

    /// A follower acknowledges the complete log and all messages sent up to now.
    pub fn acknowledge(&mut self, from: NodeId) -> Vec<Output> {
        let reply = append_reply(self.node.term(), self.node.last_index(), self.now);
        self.receive(from, reply)
    }
}

pub fn vote_request(term: Term, last: (Term, Index), pre_vote: bool, transfer: bool) -> Message {
    let (last_term, last_index) = last;
    Message::VoteRequest(VoteRequest { term, last_index, last_term, pre_vote, transfer, unanimous: false })
}

pub fn vote_reply(term: Term, granted: bool, pre_vote: bool) -> Message {
    Message::VoteReply(VoteReply { term, granted, pre_vote })
}

pub fn append_request(term: Term, previous: (Term, Index), entries: Vec<Entry>, commit: Index) -> Message {
    let (previous_term, previous_index) = previous;
    Message::AppendRequest(AppendRequest {
        term,
        previous_index,
        previous_term,
        entries,
        commit,
        leader_clock: 77,
    })
}

pub fn append_reply(term: Term, match_index: Index, leader_clock: u64) -> Message {
    Message::AppendReply(AppendReply { term, success: true, match_index, conflict_index: 0, leader_clock })
}

pub fn append_rejection(term: Term, conflict_index: Index, leader_clock: u64) -> Message {
    Message::AppendReply(AppendReply { term, success: false, match_index: 0, conflict_index, leader_clock })
}

pub fn timeout_now(term: Term) -> Message {
    Message::TimeoutNow(TimeoutNow { term })
}

/// The messages that the outputs send, with their receivers.
pub fn sent(outputs: &[Output]) -> Vec<(NodeId, Message)> {
    let message = |output: &Output| match output {
        Output::Send { to, message } => Some((*to, message.clone())),
        _ => None,
    };
    outputs.iter().filter_map(message).collect()
}

/// The indexes of the entries that the outputs commit.
pub fn committed(outputs: &[Output]) -> Vec<Index> {
    let entries = |output: &Output| match output {
        Output::Commit { entries } => entries.iter().map(|entry| entry.index).collect(),
        _ => Vec::new(),
    };
    outputs.iter().flat_map(entries).collect()
}
