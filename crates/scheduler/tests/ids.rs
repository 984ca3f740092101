//! Text and message forms of task keys.

use messages::job;
use quickcheck::quickcheck;
use scheduler::ids::{TaskKey, TaskKeyError};

quickcheck! {
    fn keys_round_trip_through_text_and_message(job: u64, time: u32, step: u32, index: u32) -> bool {
        let key = TaskKey { job, time, step, index };
        let message = job::TaskId::from(key);
        key.to_string().parse() == Ok(key) && TaskKey::from(message) == key
    }

    fn parsing_random_text_fails_without_panic(text: String) -> bool {
        text.parse::<TaskKey>().is_err()
    }
}

#[test]
fn formats_keys_as_on_the_wire() {
    let key = TaskKey { job: 0x0c0e_7a21_d94b_36f8, time: 0, step: 1, index: 17 };
    assert_eq!(key.to_string(), "0c0e7a21d94b36f8.0.1.17");
}

#[test]
fn rejects_texts_that_are_not_task_names() {
    let invalid_texts = [
        ("", TaskKeyError::Job),
        ("5c0e7a21d94b36f8", TaskKeyError::Parts),
        ("5c0e7a21d94b36f8.0.1", TaskKeyError::Parts),
        ("5c0e7a21d94b36f8.0.1.2.3", TaskKeyError::Parts),
        ("5c0e7a21d94b36f.0.1.2", TaskKeyError::Job),
        ("+c0e7a21d94b36f8.0.1.2", TaskKeyError::Job),
        ("5c0e7a21d94b36f8.+0.1.2", TaskKeyError::Number),
        ("5c0e7a21d94b36f8..1.2", TaskKeyError::Number),
        ("5c0e7a21d94b36f8.0.1.4294967296", TaskKeyError::Number),
    ];
    for (text, error) in invalid_texts {
        assert_eq!(text.parse::<TaskKey>(), Err(error), "{text}");
    }
}
