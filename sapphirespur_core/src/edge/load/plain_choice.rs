//! Choice among the upstreams of a plain service by the power of two choices.

use crate::edge::load::{Draw, PlainOption};

/// Draws two upstreams that are not known to be full, in proportion to their free places, and returns
/// the index of the one that is expected to respond sooner; none when all are full.
///
/// Routers that have the same old figures draw different upstreams, so that they do not all choose the
/// one that was the least loaded.
///
/// Source: Mitzenmacher, "How Useful Is Old Information?", 2000.
pub(in crate::edge) fn choose_plain(
    options: &[PlainOption],
    work_ms: f64,
    draw: &mut Draw,
) -> Option<usize> {
    let in_flight: f64 = options.iter().map(known_requests).sum();
    let slots: f64 = options.iter().map(|option| option.slots).sum();
    let usual = in_flight / slots.max(1.0);

    let weight = |option: &PlainOption| if option.is_full { 0.0 } else { option.weight(usual) };
    let mut weights: Vec<f64> = options.iter().map(weight).collect();
    let first = draw.index(&weights)?;
    weights[first] = 0.0;
    let Some(second) = draw.index(&weights) else { return Some(first) };
    let cost = |index: usize| options[index].cost_ms(usual, work_ms);
    Some(if cost(second) < cost(first) { second } else { first })
}

/// Returns the requests that are known to be at an upstream, by its own figures or the routers'
/// reports.
fn known_requests(option: &PlainOption) -> f64 {
    let told = option.told.map_or(0.0, |told| told.occupied);
    told * option.confidence + option.in_flight * (1.0 - option.confidence)
}
