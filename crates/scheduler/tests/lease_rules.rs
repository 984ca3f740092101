//! Answers that tell of the newest state need the leader's lease; what is committed does not.

use messages::peer::Outcome;
use scheduler::leader::{client_reply_needs_lease, ConfigurationReply};

#[test]
fn refusals_and_states_for_clients_need_the_lease() {
    let told_of_state = [
        Outcome::STATE,
        Outcome::COUNT,
        Outcome::NO_ROUTE,
        Outcome::NO_SUCH_JOB,
        Outcome::INVALID,
        Outcome::OVERLOADED,
        Outcome::UNAVAILABLE,
    ];
    for outcome in told_of_state {
        assert!(client_reply_needs_lease(outcome), "{outcome:?}");
    }
}

#[test]
fn what_is_committed_or_not_certain_needs_no_lease() {
    let lasting = [Outcome::ACCEPTED, Outcome::CANCEL_DONE, Outcome::UNSURE, Outcome::NOT_LEADER];
    for outcome in lasting {
        assert!(!client_reply_needs_lease(outcome), "{outcome:?}");
    }
}

#[test]
fn refusals_and_bodies_for_the_operator_need_the_lease() {
    let text = String::new;
    assert!(ConfigurationReply::Conflict { text: text() }.needs_lease());
    assert!(
        ConfigurationReply::Invalid { text: text() }.needs_lease(),
        "a version may be above the newest elsewhere"
    );
    assert!(ConfigurationReply::Body { version: 1, body: Vec::new() }.needs_lease());
    assert!(!ConfigurationReply::Accepted.needs_lease());
    assert!(!ConfigurationReply::Unavailable { retry_after_ms: 1 }.needs_lease());
}
