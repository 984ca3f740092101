//! Times, ids and names.

use std::sync::Arc;

/// Nanoseconds on the caller's clock.
pub type Time = u64;
/// Id of a request, never reused.
pub type RequestId = u64;
/// Name of a server or a customer. The gateway attaches no meaning to its text.
pub type Name = Arc<str>;
