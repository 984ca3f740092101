//! Payloads of log entries from the commands of a leader's turn.

use messages::encode;
use messages::job::{Command, CommandBatch};

/// Maximum size of a payload with more than one command, in bytes. Far below the longest frame
/// (`messages::MAX_FRAME_BYTES`), which the other members accept.
pub const MAX_BATCH_PAYLOAD_BYTES: usize = 1024 * 1024;
/// Maximum size that the tag and the length of one command add to a payload, in bytes.
const COMMAND_OVERHEAD_BYTES: usize = 6;

/// Encodes a batch as one payload, or as several in the same order if it is larger than
/// [`MAX_BATCH_PAYLOAD_BYTES`]. A single command is never split and may be larger.
pub fn batch_payloads(batch: CommandBatch) -> Vec<Vec<u8>> {
    let payload = encode(&batch);
    if payload.len() <= MAX_BATCH_PAYLOAD_BYTES || batch.commands.len() < 2 {
        return vec![payload];
    }
    split(batch.commands).into_iter().map(|commands| encode(&CommandBatch { commands })).collect()
}

/// Splits commands into consecutive groups of at most [`MAX_BATCH_PAYLOAD_BYTES`] or one command.
fn split(commands: Vec<Command>) -> Vec<Vec<Command>> {
    let mut groups: Vec<Vec<Command>> = Vec::new();
    let mut group_bytes = 0;
    for command in commands {
        let bytes = messages::encoded_len(&command) + COMMAND_OVERHEAD_BYTES;
        group_bytes += bytes;
        match groups.last_mut() {
            Some(group) if group_bytes <= MAX_BATCH_PAYLOAD_BYTES => group.push(command),
            _ => {
                group_bytes = bytes;
                groups.push(vec![command]);
            }
        }
    }
    groups
}
