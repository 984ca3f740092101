//! Encodes the actions of the gateway's decision logic as messages of the simulator protocol.

use gateway_decisions::Action;
use serde_json::Value;
use std::fmt::Write;

/// Appends one action of a gateway instance to `to`.
pub fn write_action(instance: u64, action: &Action, to: &mut String) {
    let done = match action {
        Action::Send { id, server, attempt_deadline: deadline } => {
            let server = Value::from(server.as_ref());
            write!(to, "[\"Send\",{instance},\"{id:016x}\",{server},{deadline}]")
        }
        Action::Reject { id, retry_after: delay } => {
            write!(to, "[\"Reject\",{instance},\"{id:016x}\",{delay}]")
        }
        Action::Fail { id } => write!(to, "[\"Fail\",{instance},\"{id:016x}\"]"),
        Action::Cancel { id, attempt } => write!(to, "[\"CallOff\",{instance},\"{id:016x}\",{attempt}]"),
        Action::Timer { token, at } => write!(to, "[\"NotifyMe\",{instance},{token},{at}]"),
        Action::Subscribe { on } => write!(to, "[\"StreamChanges\",{instance},{on}]"),
        // In the simulator each gateway is a single process, and the simulator holds the connections.
        Action::Share(_) | Action::Connections { .. } => Ok(()),
    };
    done.expect("writing to a string does not fail");
}
