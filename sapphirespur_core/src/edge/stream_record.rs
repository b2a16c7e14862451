//! Records of streams: which of them began at which version.

use serde::{Deserialize, Serialize};

use crate::edge::{StreamKey, StreamOrigin, StreamSend};
use crate::name::Name;

/// Streams that one router sent to upstreams within one span of time, of one shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamRecord {
    /// Versions that occur in `streams`.
    versions: Vec<Name>,
    /// Sends of the streams.
    streams: Vec<RecordedSend>,
}

/// Send of a stream that has not begun.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct RecordedSend {
    /// Hash of the stream's key.
    hash: u64,
    /// Index of the version of the upstream.
    version: u8,
    /// Number of sends of the same attempt before; the last one counts.
    ordinal: u8,
}

impl StreamRecord {
    /// Largest number of versions.
    const MAX_VERSIONS: usize = u8::MAX as usize;

    /// Adds a send of a stream. Returns `false` when it does not fit.
    pub fn push(&mut self, send: &StreamSend) -> bool {
        let known = self.versions.iter().position(|known| *known == send.version);
        let index = known.unwrap_or(self.versions.len());
        if index >= Self::MAX_VERSIONS {
            return false;
        }
        if known.is_none() {
            self.versions.push(send.version.clone());
        }
        self.streams.push(RecordedSend {
            hash: send.key.hash(),
            version: index as u8,
            ordinal: send.ordinal,
        });
        true
    }

    /// Returns what records together tell of a stream; none when none of them holds it.
    pub fn find(records: &[Self], key: StreamKey) -> Option<StreamOrigin> {
        let sends = || records.iter().flat_map(|record| record.sends(key));
        let last = sends().map(|(ordinal, _)| ordinal).max()?;
        let mut origins = sends().filter(|(ordinal, _)| *ordinal == last).map(|(_, origin)| origin);
        let mut origin = origins.next()?;
        origins.for_each(|other| origin.merge(&other));
        Some(origin)
    }

    /// Returns the sends of a stream, with their ordinal numbers.
    fn sends(&self, key: StreamKey) -> impl Iterator<Item = (u8, StreamOrigin)> + '_ {
        let sends = self.streams.iter().filter(move |send| send.hash == key.hash());
        sends.map(|send| {
            let version = self.versions.get(usize::from(send.version)).cloned();
            // Another build may have written what this one cannot tell apart.
            (send.ordinal, version.map_or(StreamOrigin::Ambiguous, StreamOrigin::Version))
        })
    }
}
