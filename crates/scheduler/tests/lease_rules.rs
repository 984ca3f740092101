//! Replies that depend on the newest state need the leader's lease. Replies about committed commands do not.

use messages::peer::{ClientReply, Outcome};
use scheduler::leader::{client_reply_under_lease, ConfigurationReply};

fn reply(outcome: Outcome) -> ClientReply {
    ClientReply { outcome, text: "text".to_owned(), request_id: 7, ..ClientReply::default() }
}

#[test]
fn client_rejections_and_states_need_the_lease() {
    let state_replies = [
        Outcome::STATE,
        Outcome::COUNT,
        Outcome::NO_ROUTE,
        Outcome::NO_SUCH_JOB,
        Outcome::INVALID,
        Outcome::OVERLOADED,
        Outcome::UNAVAILABLE,
    ];
    for outcome in state_replies {
        let without = client_reply_under_lease(reply(outcome), false);
        assert_eq!((without.outcome, without.text.as_str()), (Outcome::NOT_LEADER, ""), "{outcome:?}");
        assert_eq!(client_reply_under_lease(reply(outcome), true), reply(outcome));
    }
}

#[test]
fn committed_and_uncertain_replies_need_no_lease() {
    let independent_replies = [Outcome::ACCEPTED, Outcome::CANCEL_DONE, Outcome::UNSURE, Outcome::NOT_LEADER];
    for outcome in independent_replies {
        assert_eq!(client_reply_under_lease(reply(outcome), false), reply(outcome));
    }
}

#[test]
fn operator_rejections_and_bodies_need_the_lease() {
    let text = || "text".to_owned();
    let state_replies = [
        ConfigurationReply::Conflict { text: text() },
        // The version may be valid at another leader, whose newest version differs.
        ConfigurationReply::Invalid { text: text() },
        ConfigurationReply::Body { version: 1, body: Vec::new() },
    ];
    for reply in state_replies {
        let without = reply.clone().under_lease(false);
        assert!(
            matches!(without, ConfigurationReply::Unavailable { .. }),
            "{reply:?} is sent as {without:?}"
        );
        assert_eq!(reply.clone().under_lease(true), reply);
    }
    assert_eq!(ConfigurationReply::Accepted.under_lease(false), ConfigurationReply::Accepted);
}
