//! A wrong change to a source file, with the test that must fail with it.

/// A wrong change to a source file, with the test that must fail with it.
#[derive(Clone, Debug)]
pub struct Mutant {
    /// A unique name that says what the change does.
    pub name: &'static str,
    /// The point of `docs/control-safety.md` that the change breaks, 1 to 7.
    pub point: u8,
    /// The path of the file, relative to the root of the workspace.
    pub file: &'static str,
    /// The text to replace, which occurs exactly once in the file.
    pub find: &'static str,
    /// The replacement.
    pub replace: &'static str,
    /// Arguments of `cargo test` that run the test: `-p PACKAGE --test FILE [NAME]`.
    pub test: &'static str,
}
