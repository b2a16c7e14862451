//! Streams of which this router knows the version that began them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::{StreamKey, StreamOrigin, StreamSend};
use crate::name::Name;
use crate::time::Time;

/// Stream whose origin is known.
#[derive(Clone, Debug)]
struct KnownStream {
    service: Name,
    origin: StreamOrigin,
}

/// Origins of streams that this router began or took up, for as long as they can be taken up again.
#[derive(Clone, Debug, Default)]
pub struct StreamMemory {
    streams: HashMap<StreamKey, KnownStream>,
    /// Keys with the time until which they are kept, in the order in which they were added.
    expiries: VecDeque<(Time, StreamKey)>,
}

impl StreamMemory {
    /// Largest number of streams that are remembered; beyond it, the oldest are forgotten.
    const MAX_STREAMS: usize = 65_536;

    /// Remembers the version at which a stream of a service began, for `span`.
    pub fn insert(
        &mut self,
        now: Time,
        service: &Name,
        key: StreamKey,
        version: &Name,
        span: Duration,
    ) {
        self.expire(now);
        if self.expiries.len() >= Self::MAX_STREAMS {
            self.forget_oldest();
        }
        let origin = StreamOrigin::Version(version.clone());
        match self.streams.get_mut(&key) {
            Some(known) => known.origin.merge(&origin),
            None => {
                self.streams.insert(key, KnownStream { service: service.clone(), origin });
                self.expiries.push_back((now + span, key));
            }
        }
    }

    /// Returns the version that began a stream; none when this router does not know it.
    pub fn get(&self, key: StreamKey) -> Option<&StreamOrigin> {
        Some(&self.streams.get(&key)?.origin)
    }

    /// Returns the streams that began at one version, as last sends that are to be recorded.
    pub fn sends(&self) -> Vec<StreamSend> {
        let sends = self.streams.iter().filter_map(|(key, known)| match &known.origin {
            StreamOrigin::Version(version) => Some(StreamSend {
                service: known.service.clone(),
                key: *key,
                version: version.clone(),
                ordinal: u8::MAX,
                has_record: true,
            }),
            StreamOrigin::Ambiguous => None,
        });
        sends.collect()
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Forgets streams that cannot be taken up any more.
    fn expire(&mut self, now: Time) {
        while self.expiries.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, key)) = self.expiries.pop_front() {
            self.streams.remove(&key);
        }
    }
}
