//! Decodes messages of the simulator protocol into events for the gateway's decision logic.

use crate::message::{Message, WireError};
use gateway_decisions::{AttemptEnd, Event, Health, Node, Request, Scope, Via};
use serde_json::Value;

/// Decodes the event in a message; `None` for unknown messages.
pub fn event(message: &Message) -> Result<Option<Event>, WireError> {
    Ok(Some(match message.name {
        "Fleet" => fleet(message)?,
        "NewRequest" => Event::Request(request(message)?),
        "AttemptEnd" => Event::AttemptEnd(attempt_end(message)?),
        "CancelledByClient" => Event::ClientGone { id: message.id(2)? },
        "TickDue" => Event::Timer { token: message.integer(2, "ctx")? },
        "Flowing" => Event::Streaming { id: message.id(2)?, attempt: message.integer(3, "copy")? as u32 },
        "Tallied" => Event::Counted {
            name: message.integer(2, "slot_name")?,
            ending: message.ending(3)?,
            level: message.value(4).as_f64().unwrap_or(0.0),
        },
        "Probed" => Event::Probed {
            server: message.text(2, "backend")?.into(),
            ending: message.ending(3)?,
            load: message.load(5)?,
        },
        "Datagram" => Event::GatewayMessage {
            from: message.integer(2, "neighbour")? as u32,
            bytes: message.text(3, "octets")?.to_string(),
        },
        _ => return Ok(None),
    }))
}

fn fleet(message: &Message) -> Result<Event, WireError> {
    let scope = match message.text(3, "scope")? {
        "D" => Scope::Changes,
        "F" => Scope::Full,
        "C" => Scope::Cached,
        "X" => Scope::Failed,
        other => return Err(WireError::Word("Fleet", "scope", other.to_string(), "D, F, C or X")),
    };
    let none = Vec::new();
    let list = match message.value(4) {
        Value::Null => &none,
        value => message.require(value.as_array(), 4, "nodes_list", "an array")?,
    };
    let nodes = list.iter().map(node).collect::<Result<_, WireError>>()?;
    Ok(Event::Fleet { seq: message.integer_or(2, "seq_no", 0)?, scope, nodes })
}

fn request(message: &Message) -> Result<Request, WireError> {
    Ok(Request {
        id: message.id(2)?,
        class: message.integer(3, "grade")? as usize,
        plan: message.integer(4, "tariff")? as usize,
        customer: message.text(5, "account")?.into(),
        deadline: message.integer(6, "deadline")?,
        units: message.number_or(7, "size_units", 1.0)?,
        spread: message.number_or(8, "entry_points", 1.0)?.max(1.0) as u32,
        is_retry: message.integer_or(10, "attrs", 0)? & 2 != 0,
        relayed: false,
    })
}

fn attempt_end(message: &Message) -> Result<AttemptEnd, WireError> {
    Ok(AttemptEnd {
        id: message.id(2)?,
        actual_units: message.number_or(3, "settled", 0.0)?,
        request_finished: message.flag(4, "last")?,
        body_discarded: false,
        metered_share: match message.integer_or(5, "metered", 0)? {
            0 => None,
            level => Some((level - 1) as f64 / 100.0),
        },
        elapsed: message.integer(6, "elapsed")?,
        ending: message.ending(7)?,
        attempt: message.integer(8, "copy")? as u32,
        server: message.text(9, "backend")?.into(),
        load: message.load(10)?,
        via: Via::Unknown,
        open_connections: 0,
    })
}

fn node(value: &Value) -> Result<Node, WireError> {
    let entry = Message::entry(value)?;
    let health = match entry.text(4, "health")? {
        "up" => Health::Up,
        "draining" => Health::Draining,
        "removed" => Health::Removed,
        other => {
            let wanted = "up, draining or removed";
            return Err(WireError::Word("Fleet entry", "health", other.to_string(), wanted));
        }
    };
    Ok(Node {
        name: entry.text(0, "backend")?.into(),
        zone: entry.integer_or(1, "hall", 0)? as u32,
        cell: entry.integer_or(3, "pod", 0)? as u32,
        health,
        rating: entry.number_or(5, "rating", 1.0)?,
        since: entry.integer_or(6, "since", 0)?,
    })
}
