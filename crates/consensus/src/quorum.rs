//! Computes the highest value that a quorum has reached.

/// Number of values that are sorted in an array on the stack. Larger groups need an allocation.
const INLINE_VALUES: usize = 9;

/// Returns the highest value that at least `quorum` of the values reach, or 0 if there are fewer than
/// `quorum` values.
pub(crate) fn quorum_value(values: impl Iterator<Item = u64>, quorum: usize) -> u64 {
    let mut inline = [0; INLINE_VALUES];
    let mut count = 0;
    let mut overflow = Vec::new();
    for value in values {
        if count < INLINE_VALUES {
            inline[count] = value;
            count += 1;
        } else {
            overflow.push(value);
        }
    }
    if overflow.is_empty() {
        return nth_highest(&mut inline[..count], quorum);
    }
    overflow.extend_from_slice(&inline);
    nth_highest(&mut overflow, quorum)
}

fn nth_highest(values: &mut [u64], nth: usize) -> u64 {
    values.sort_unstable_by(|left, right| right.cmp(left));
    nth.checked_sub(1).and_then(|index| values.get(index)).copied().unwrap_or(0)
}
