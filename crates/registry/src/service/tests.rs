use super::*;
use crate::store::tests::target;

#[test]
fn follower_rejects_lists_that_passed_through_itself_and_older_lists() {
    let follower = Registry::follower("me".to_string());
    let list = |rev, all| List { rev, all, targets: vec![target("s", 1, 5)] };
    assert_eq!(follower.path(), None, "there is no list yet");
    assert!(follower
        .apply_followed(&list(5, false), "a", None)
        .unwrap_err()
        .to_string()
        .contains("not held"));
    follower.apply_followed(&list(7, true), "a,b", None).unwrap();
    assert_eq!((follower.metrics().version, follower.path().as_deref()), (7, Some("a,b,me")));
    assert!(follower
        .apply_followed(&list(9, true), "a,me,b", Some(7))
        .unwrap_err()
        .to_string()
        .contains("through here"));
    assert!(follower.apply_followed(&list(6, true), "a", None).unwrap_err().to_string().contains("older"));
    follower.apply_followed(&list(9, false), "", Some(7)).unwrap();
    assert_eq!((follower.metrics().version, follower.path().as_deref()), (9, Some("me")));
    assert!(follower.change(|s| s.remove("s", None).map(Some)).is_err(), "a follower cannot change the list");
}
