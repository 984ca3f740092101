//! Every reader returns a value or a typed error for any input: random bytes, and mutated valid documents.

mod documents;

use configuration::{
    instances, job_body, job_id, parse_if_match, LeaseRenewalAnswer, OperatorConfiguration, OrderAnswer,
    ProcessSettings,
};
use documents::{CONFIGURATION, INSTANCES, JOB, LEASE_RENEWAL_ANSWER, ORDER_ANSWER, SETTINGS};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const DOCUMENTS: [&str; 6] = [CONFIGURATION, LEASE_RENEWAL_ANSWER, INSTANCES, JOB, ORDER_ANSWER, SETTINGS];
/// Number of random cases per property.
const CASES: u64 = 2_000;
/// Fragments for mutations: tokens of the JSON grammar, and numbers at limits.
const FRAGMENTS: [&str; 22] = [
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"",
    "\\",
    "\\u",
    "\\ud800",
    "null",
    "true",
    "-",
    "-1",
    "0",
    "1e999",
    "0.5",
    "9007199254740993",
    "18446744073709551616",
    "4294967296",
    "\u{0}",
    "é",
];

/// Passes `bytes` to every reader and formats the errors.
fn read_with_all_readers(bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    let errors = [
        OperatorConfiguration::read(bytes).err().map(|error| error.to_string()),
        job_body::read(bytes).err().map(|error| error.to_string()),
        instances::read(bytes).err().map(|error| error.to_string()),
        LeaseRenewalAnswer::read(bytes).err().map(|error| error.to_string()),
        OrderAnswer::read(bytes).err().map(|error| error.to_string()),
        ProcessSettings::read(&text).err().map(|error| error.to_string()),
        job_id::parse(&text).err().map(|error| error.to_string()),
        parse_if_match(&text).err().map(|error| error.to_string()),
    ];
    assert!(errors.iter().flatten().all(|error| !error.is_empty()));
}

/// A valid document with one to four random changes.
#[derive(Debug, Clone)]
struct Mutated(Vec<u8>);

impl Arbitrary for Mutated {
    fn arbitrary(random: &mut Gen) -> Self {
        let document: &&str = random.choose(&DOCUMENTS).expect("there are documents");
        let mut bytes = document.as_bytes().to_vec();
        for _ in 0..1 + usize::arbitrary(random) % 4 {
            mutate(&mut bytes, random);
        }
        Mutated(bytes)
    }
}

fn mutate(bytes: &mut Vec<u8>, random: &mut Gen) {
    let start = usize::arbitrary(random) % (bytes.len() + 1);
    let end = (start + usize::arbitrary(random) % 12).min(bytes.len());
    let fragment: &&str = random.choose(&FRAGMENTS).expect("there are fragments");
    let replacement: Vec<u8> = match u8::arbitrary(random) % 5 {
        0 => Vec::new(),
        1 => vec![u8::arbitrary(random)],
        2 => fragment.as_bytes().repeat(1 + usize::arbitrary(random) % 200),
        3 => {
            let from = usize::arbitrary(random) % (bytes.len() + 1);
            bytes[from..].to_vec()
        }
        _ => fragment.as_bytes().to_vec(),
    };
    bytes.splice(start..end, replacement);
}

#[test]
fn random_bytes_never_panic() {
    fn holds(bytes: Vec<u8>) -> bool {
        read_with_all_readers(&bytes);
        true
    }
    QuickCheck::new().tests(CASES).quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn random_fragments_of_documents_never_panic() {
    fn holds(choices: Vec<usize>) -> bool {
        let text: String = choices.iter().map(|choice| FRAGMENTS[choice % FRAGMENTS.len()]).collect();
        read_with_all_readers(text.as_bytes());
        true
    }
    QuickCheck::new().tests(CASES).quickcheck(holds as fn(Vec<usize>) -> bool);
}

#[test]
fn mutated_documents_never_panic() {
    fn holds(document: Mutated) -> bool {
        read_with_all_readers(&document.0);
        true
    }
    QuickCheck::new().tests(CASES).quickcheck(holds as fn(Mutated) -> bool);
}

#[test]
fn replaced_values_never_panic() {
    for document in DOCUMENTS {
        for (position, _) in document.match_indices(':') {
            for value in ["null", "-1", "1e999", "0.5", "\"\"", "[]", "[[]]", "{}", "true", "1e15"] {
                let rest = &document[position + 1..];
                let end = rest.find([',', '}']).unwrap_or(rest.len());
                let changed = format!("{}:{value}{}", &document[..position], &rest[end..]);
                read_with_all_readers(changed.as_bytes());
            }
        }
    }
}

#[test]
fn deep_nesting_never_exhausts_the_stack() {
    for opening in ["[", "{\"a\":", "{", "[{\"a\":"] {
        read_with_all_readers(opening.repeat(300_000).as_bytes());
    }
    let after_escaped_backslash = format!("{{\"Spec\":\"\\\\\",\"x\":{}", "[".repeat(300_000));
    read_with_all_readers(after_escaped_backslash.as_bytes());
}
