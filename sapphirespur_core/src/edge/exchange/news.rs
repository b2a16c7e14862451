//! Prompt tokens that routers have sent to upstreams, collected for other routers.

use crate::collections::HashMap;
use crate::edge::{PeerReport, PrefilledSegments, PromptSegment, UpstreamLoad};

/// Prefilled tokens by upstream, since the collection was started.
#[derive(Clone, Debug, Default)]
pub struct News {
    segments: HashMap<u32, Vec<PromptSegment>>,
    unshared_tokens: HashMap<u32, u32>,
}

impl News {
    /// Adds what a report says was sent since the previous one.
    pub fn add(&mut self, report: &PeerReport) {
        for read in &report.reads {
            let segments = self.segments.entry(read.upstream).or_default();
            for segment in &read.parts {
                if !segments.contains(segment) {
                    segments.push(*segment);
                }
            }
        }
        for load in report.upstreams.iter().filter(|load| load.unshared_tokens > 0) {
            let tokens = self.unshared_tokens.entry(load.upstream).or_default();
            *tokens = tokens.saturating_add(load.unshared_tokens);
        }
    }

    /// Adds other collected news.
    pub fn merge(&mut self, other: &Self) {
        for (upstream, segments) in &other.segments {
            let merged = self.segments.entry(*upstream).or_default();
            for segment in segments {
                if !merged.contains(segment) {
                    merged.push(*segment);
                }
            }
        }
        for (upstream, tokens) in &other.unshared_tokens {
            let sum = self.unshared_tokens.entry(*upstream).or_default();
            *sum = sum.saturating_add(*tokens);
        }
    }

    /// Replaces the prefilled tokens of a report by the collected ones.
    pub fn write_to(&self, report: &mut PeerReport) {
        let read = |(upstream, parts): (&u32, &Vec<PromptSegment>)| PrefilledSegments {
            upstream: *upstream,
            parts: parts.clone(),
        };
        report.reads = self.segments.iter().map(read).collect();

        let mut missing = self.unshared_tokens.clone();
        for load in &mut report.upstreams {
            load.unshared_tokens = missing.remove(&load.upstream).unwrap_or_default();
        }
        let idle = |(upstream, unshared_tokens)| UpstreamLoad {
            upstream,
            unshared_tokens,
            ..UpstreamLoad::default()
        };
        report.upstreams.extend(missing.into_iter().map(idle));
    }
}
