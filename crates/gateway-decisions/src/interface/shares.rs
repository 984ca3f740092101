//! Messages between the two processes of one gateway while both serve during an upgrade.

use crate::interface::names::Name;
use serde::{Deserialize, Serialize};

/// A change to a customer's quota, reported by the process that made it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Charge {
    /// A request arrived and was checked against the quota.
    Asked {
        /// The customer.
        customer: Name,
        /// Index of the customer's plan.
        plan: usize,
        /// Number of gateways through which the customer's requests may arrive.
        spread: u32,
        /// Estimated units of the request.
        units: f64,
        /// Whether the quota admitted the request.
        passed: bool,
    },
    /// An attempt was sent.
    Sent {
        /// The customer.
        customer: Name,
        /// Units of the request at its first attempt, 0 at later attempts.
        units: f64,
    },
    /// An attempt ended.
    Ended {
        /// The customer.
        customer: Name,
        /// Units returned to the quota; negative if more units are charged.
        back: f64,
    },
}

/// A message from one process of a gateway to the other: the charges since the previous message, and the
/// attempts that are in flight now.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Changes to customers' quotas, in order.
    pub charges: Vec<Charge>,
    /// Servers whose number of attempts in flight has changed, with the new number.
    pub out: Vec<(Name, u32)>,
    /// Attempts and units in flight over all servers.
    pub in_flight: [f64; 2],
}
