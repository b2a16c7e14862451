//! Order of the events of a stream by their identifiers, over several upstreams.

/// What to do with an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventVerdict {
    /// It is the next one for the client.
    PassOn,
    /// The client has it; the upstream goes on from an earlier event.
    Repeated,
    /// It, or the event before it, has a wrong identifier, or events are missing between them.
    OutOfOrder,
}

/// Identifiers of the events that were passed on, and of those of the current upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventOrder {
    /// Last event that the client has.
    passed_on: Option<u64>,
    /// Last event of the current upstream.
    received: Option<u64>,
}

impl EventOrder {
    /// Largest identifier of the first event of a stream; streams count from zero or one.
    const MAX_FIRST_ID: u64 = 1;

    /// Creates the order of a stream of which the client has the events up to `passed_on`.
    pub fn new(passed_on: Option<u64>) -> Self {
        Self { passed_on, received: None }
    }

    /// Returns the last event that the client has.
    pub fn passed_on(&self) -> Option<u64> {
        self.passed_on
    }

    /// Begins the events of another upstream, which may repeat some.
    pub fn on_new_upstream(&mut self) {
        self.received = None;
    }

    /// Returns what to do with the next event of the current upstream.
    ///
    /// An event that is not above the last one is repeated only as part of an unbroken series: a single
    /// one has a wrong identifier, and its content would be lost.
    pub fn check(&mut self, id: u64) -> EventVerdict {
        if self.received.is_some_and(|received| received.checked_add(1) != Some(id)) {
            return EventVerdict::OutOfOrder;
        }

        let verdict = match self.passed_on {
            None if id <= Self::MAX_FIRST_ID => EventVerdict::PassOn,
            Some(last) if id <= last => EventVerdict::Repeated,
            Some(last) if id - 1 == last => EventVerdict::PassOn,
            _ => return EventVerdict::OutOfOrder,
        };
        self.received = Some(id);
        if verdict == EventVerdict::PassOn {
            self.passed_on = Some(id);
        }
        verdict
    }
}
