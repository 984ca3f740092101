//! A session with the simulator: reads batches of messages and writes one reply per batch.

use crate::action::write_action;
use crate::event::event;
use crate::message::{Message, WireError};
use gateway_decisions::{Action, Event, Gateway};
use quick_error::quick_error;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::str::Utf8Error;

quick_error! {
    /// Why a session ends before the end of its input.
    #[derive(Debug)]
    pub enum SessionError {
        /// A line cannot be read.
        Read(line: u64, error: io::Error) {
            display("line {line}: {error}")
        }
        /// A line is not UTF-8.
        Text(line: u64, error: Utf8Error) {
            display("line {line}: {error}")
        }
        /// A line is not a valid batch.
        Batch(line: u64, error: BatchError) {
            display("line {line}: {error}")
        }
        /// The reply cannot be written.
        Reply(error: io::Error) {
            display("reply: {error}")
        }
    }
}

quick_error! {
    /// Why a line is not a valid batch.
    #[derive(Debug)]
    pub enum BatchError {
        /// The line is not JSON.
        Json(error: serde_json::Error) {
            from()
            display("{error}")
        }
        /// The time `sim_time` is missing or invalid.
        Time {
            display("sim_time: a time is wanted")
        }
        /// The array `input` with the messages is missing.
        Input {
            display("input: an array is wanted")
        }
        /// A message is invalid; messages are numbered from 1.
        Message(number: usize, error: MessageError) {
            display("message {number}: {error}")
        }
    }
}

quick_error! {
    /// Why a message cannot be processed.
    #[derive(Debug)]
    pub enum MessageError {
        /// The message cannot be decoded.
        Wire(error: WireError) {
            from()
            display("{error}")
        }
        /// The settings of a new instance are invalid.
        Settings(reason: String) {
            display("Begin: env: {reason}")
        }
    }
}

/// A gateway instance and its events in the current batch.
struct Instance {
    gateway: Gateway,
    events: Vec<Event>,
}

/// The state of a session.
#[derive(Default)]
pub struct Session {
    /// The running instances by their ids.
    instances: BTreeMap<u64, Instance>,
    /// A buffer for the actions of one instance at a time, kept to reuse its memory.
    actions: Vec<Action>,
}

impl Session {
    /// Processes batches until the input ends.
    pub fn run(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), SessionError> {
        let (mut bytes, mut reply) = (Vec::new(), String::new());
        for line in 1u64.. {
            bytes.clear();
            if input.read_until(b'\n', &mut bytes).map_err(|e| SessionError::Read(line, e))? == 0 {
                break;
            }
            let text = std::str::from_utf8(&bytes).map_err(|e| SessionError::Text(line, e))?;
            if text.trim().is_empty() {
                continue;
            }
            reply.clear();
            self.batch(text, &mut reply).map_err(|e| SessionError::Batch(line, e))?;
            let written = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
            written.map_err(SessionError::Reply)?;
        }
        Ok(())
    }

    fn batch(&mut self, text: &str, reply: &mut String) -> Result<(), BatchError> {
        let value: Value = serde_json::from_str(text)?;
        let now = value.get("sim_time").and_then(Value::as_u64).ok_or(BatchError::Time)?;
        let input = value.get("input").and_then(Value::as_array).ok_or(BatchError::Input)?;
        for (index, message) in input.iter().enumerate() {
            self.message(message, now).map_err(|e| BatchError::Message(index + 1, e))?;
        }
        self.reply(now, reply);
        Ok(())
    }

    /// Starts or ends an instance, or adds an event to an instance.
    fn message(&mut self, message: &Value, now: u64) -> Result<(), MessageError> {
        let message = Message::new(message)?;
        match message.name {
            "Begin" => {
                let seed = message.integer(2, "rng_seed")?;
                let settings = gateway_decisions::settings::read(message.value(3))
                    .map_err(|e| MessageError::Settings(e.clone()))?;
                let gateway =
                    Gateway::new(settings, seed, now).map_err(|e| MessageError::Settings(e.clone()))?;
                tracing::debug!(line = message.name, "an instance begins");
                let id = message.integer(1, "gateway_id")?;
                self.instances.insert(id, Instance { gateway, events: Vec::new() });
            }
            "Exit" => {
                self.instances.remove(&message.integer(1, "gateway_id")?);
            }
            _ => {
                if let Some(event) = event(&message)? {
                    let id = message.integer(1, "gateway_id")?;
                    if let Some(instance) = self.instances.get_mut(&id) {
                        instance.events.push(event);
                    }
                }
            }
        }
        Ok(())
    }

    /// Lets the instances handle their events, and writes their actions as the reply.
    fn reply(&mut self, now: u64, reply: &mut String) {
        reply.push_str("{\"do\":[");
        for (id, instance) in self.instances.iter_mut().filter(|(_, instance)| !instance.events.is_empty()) {
            instance.gateway.handle(now, std::mem::take(&mut instance.events), &mut self.actions);
            for action in self.actions.drain(..) {
                if !reply.ends_with('[') {
                    reply.push(',');
                }
                write_action(*id, &action, reply);
            }
        }
        reply.push_str("]}\n");
    }
}
