//! Selection of a few items of many, different ones each time.

/// Returns at most `count` items; successive rounds take successive items, round the list.
pub(crate) fn take_in_turn<T: Copy>(items: &[T], round: u32, count: usize) -> Vec<T> {
    let count = count.min(items.len());
    let start = round as usize * count;
    (0..count).map(|offset| items[(start + offset) % items.len()]).collect()
}
