//! One wrong change and the test that must fail with it.

/// A wrong change, and the test that must fail with it.
#[derive(Clone, Debug)]
pub struct Mutant {
    /// What it does.
    pub name: &'static str,
    /// The point of `docs/control-safety.md` that it breaks, 1 to 6.
    pub point: u8,
    /// The file, from the root of the workspace.
    pub file: &'static str,
    /// Text that stands once in the file.
    pub find: &'static str,
    /// What is put in its place.
    pub replace: &'static str,
    /// Arguments of `cargo test`: `-p PACKAGE --test FILE [NAME]`.
    pub test: &'static str,
}
