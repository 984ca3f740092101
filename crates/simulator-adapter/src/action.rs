//! Actions of the gateway's decisions, written as messages of the wire.

use gateway_decisions::Action;
use serde_json::Value;
use std::fmt::Write;

/// Writes one action for one instance.
pub fn write_action(instance: u64, action: &Action, to: &mut String) {
    let done = match action {
        Action::Send { id, server, attempt_deadline: not_past } => {
            let server = Value::from(server.as_ref());
            write!(to, "[\"Send\",{instance},\"{id:016x}\",{server},{not_past}]")
        }
        Action::Reject { id, retry_after: advice } => {
            write!(to, "[\"Reject\",{instance},\"{id:016x}\",{advice}]")
        }
        Action::Fail { id } => write!(to, "[\"Fail\",{instance},\"{id:016x}\"]"),
        Action::Cancel { id, attempt } => write!(to, "[\"CallOff\",{instance},\"{id:016x}\",{attempt}]"),
        Action::Timer { token, at } => write!(to, "[\"NotifyMe\",{instance},{token},{at}]"),
        Action::Subscribe { on } => write!(to, "[\"StreamChanges\",{instance},{on}]"),
        // The simulator's gateways are one process each, and it holds their connections.
        Action::Share(_) | Action::Connections { .. } => Ok(()),
    };
    done.expect("writing to a string does not fail");
}
