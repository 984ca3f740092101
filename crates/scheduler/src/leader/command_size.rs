//! Split of long commands. A log entry has to fit into one frame to the other core processes, and checkpoints of
//! workers may be of any length.

/// Size above which a command is split, in bytes. Far below the longest frame (`messages::MAX_FRAME_BYTES`).
const MAX_COMMAND_BYTES: usize = 512 * 1024;

/// Splits items into consecutive groups. Each group is of at most `MAX_COMMAND_BYTES`, or of one item.
pub(super) fn split_by_size<T>(items: Vec<T>, size_of: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut groups: Vec<Vec<T>> = Vec::new();
    let mut group_bytes = 0;
    for item in items {
        let bytes = size_of(&item);
        group_bytes += bytes;
        match groups.last_mut() {
            Some(group) if group_bytes <= MAX_COMMAND_BYTES => group.push(item),
            _ => {
                group_bytes = bytes;
                groups.push(vec![item]);
            }
        }
    }
    groups
}
