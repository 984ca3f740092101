//! Mutation tests of control and state: deliberate wrong changes, each with the test that must detect it.
//!
//! A test that still passes with a wrong change applied does not check the behaviour that the change breaks.
//! `cargo run -p mutants` copies the workspace into a scratch folder, applies one change at a time, and runs
//! the test that must fail with it. The shipped programs contain none of this; the tests of this crate check
//! that each change still applies to its file.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod list;
mod mutant;
mod workspace;

pub use list::mutants;
pub use mutant::Mutant;
pub use workspace::{Outcome, Scratch, ScratchError};
