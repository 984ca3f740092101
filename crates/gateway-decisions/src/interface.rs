//! The input and output types of the decisions: settings, events, actions, ids and times. No logic.

mod events;
pub(crate) mod names;
pub(crate) mod requests;
pub(crate) mod servers;
mod settings;
mod shares;

pub use events::{Action, Event, LoadStatus};
pub use names::{Name, RequestId, Time};
pub use requests::{AttemptEnd, Ending, Load, Request, Via};
pub use servers::{Health, Node, Scope};
pub use settings::{Class, Effect, Group, Plan, Settings};
pub use shares::{Charge, Share};
