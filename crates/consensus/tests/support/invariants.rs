//! Invariants of messages and membership changes, checked against the disks at the time a message is sent or
//! a change is appended.

use consensus::{Index, Membership, Message, NodeId, Term};

use super::disk::Disk;

/// Checks that a message claims nothing that a power loss of its sender could revert.
pub fn check_message(to: NodeId, message: &Message, disk: &Disk) {
    let durable = disk.durable_hard_state();
    match message {
        Message::VoteReply(reply) if reply.granted && !reply.pre_vote => {
            let voted = durable.term == reply.term && durable.vote == Some(to);
            assert!(voted || durable.term > reply.term, "a vote for {to} is sent before it is durable");
        }
        Message::VoteRequest(request) if !request.pre_vote => {
            let voted = durable.term == request.term && durable.vote.is_some();
            assert!(
                voted || durable.term > request.term,
                "a candidate requests votes before its own vote is durable"
            );
        }
        Message::AppendReply(reply) if reply.success => {
            let last = disk.durable_last_index();
            assert!(
                reply.match_index <= last,
                "entry {} is acknowledged, but only {last} is durable",
                reply.match_index
            );
            assert!(durable.term >= reply.term, "an entry is acknowledged before its term is durable");
        }
        _ => {}
    }
}

/// A membership change that a leader has just appended.
pub struct MembershipChange {
    pub leader: NodeId,
    pub term: Term,
    pub index: Index,
    pub commit: Index,
    pub commit_term: Option<Term>,
    /// Term and index of the leader's previous membership change.
    pub previous_change: (Term, Index),
}

/// Checks the rules for membership changes: a leader changes one voter at a time; it starts a change only
/// once the previous change and an entry of its own term are committed; and it promotes only processes whose
/// disks hold the log.
pub fn check_change(
    change: &MembershipChange,
    before: &Membership,
    after: &Membership,
    promotion_gap: u64,
    durable_last: impl Fn(NodeId) -> Option<Index>,
) {
    assert_eq!(
        change.commit_term,
        Some(change.term),
        "membership changes before an entry of the leader's term is committed"
    );
    let (term, index) = change.previous_change;
    assert!(
        term != change.term || index <= change.commit,
        "membership change at {} starts before that at {index} is committed (commit {}): {before:?} to \
         {after:?}",
        change.index,
        change.commit
    );
    let added: Vec<NodeId> = after.voters().filter(|voter| !before.is_voter(*voter)).collect();
    let removed: Vec<NodeId> = before.voters().filter(|voter| !after.is_voter(*voter)).collect();
    assert!(
        added.len() + removed.len() <= 1,
        "voters {added:?} are added and {removed:?} removed in one change"
    );
    assert!(!removed.contains(&change.leader), "a leader removes itself");
    for voter in added {
        let Some(last) = durable_last(voter) else { continue };
        let needed = (change.index - 1).saturating_sub(promotion_gap);
        assert!(last >= needed, "{voter} is promoted with entry {last} durable, but needs entry {needed}");
    }
}
