//! Order of the events of a stream by their identifiers, over several upstreams.

use super::event_id::EventId;

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
    /// Whether an event of the current upstream was out of order.
    is_broken: bool,
    /// Whether the current upstream goes on with the stream of another one.
    is_continuation: bool,
}

impl EventOrder {
    /// Largest identifier of the first event of a stream; streams count from zero or one.
    const MAX_FIRST_ID: u64 = 1;

    /// Creates the order of a stream of which the client has the events up to `passed_on`.
    pub fn new(passed_on: Option<u64>) -> Self {
        Self { passed_on, ..Self::default() }
    }

    /// Returns the last event that the client has.
    pub fn passed_on(&self) -> Option<u64> {
        self.passed_on
    }

    /// Returns whether an event of the current upstream was out of order; nothing after it is of use.
    pub fn is_broken(&self) -> bool {
        self.is_broken
    }

    /// Begins the events of another upstream, which may repeat some.
    pub fn on_new_upstream(&mut self) {
        *self = Self { is_continuation: true, ..Self::new(self.passed_on) };
    }

    /// Returns whether the current upstream has sent no event.
    pub fn is_without_events(&self) -> bool {
        self.received.is_none()
    }

    /// Returns whether the end of the current upstream's response may be the end of the stream.
    ///
    /// Its last event has to be the last one that the client has. An upstream that goes on with a stream has to
    /// send that one or those after it: an empty response may as well be an error, and the client can ask for
    /// the rest itself.
    pub fn may_end(&self) -> bool {
        match self.received {
            Some(_) => self.received == self.passed_on,
            None => !self.is_continuation,
        }
    }

    /// Returns what to do with the next event of the current upstream.
    ///
    /// An event that is not above the last one is repeated only as part of an unbroken series: a single
    /// one has a wrong identifier, and its content would be lost. Content without a number is out of order:
    /// it may be an event whose identifier is spoilt, or the text of an error.
    pub fn check(&mut self, id: EventId) -> EventVerdict {
        let id = match id {
            EventId::Number(id) => id,
            EventId::NoEvent if !self.is_broken => return EventVerdict::PassOn,
            EventId::NoEvent | EventId::Unknown => {
                self.is_broken = true;
                return EventVerdict::OutOfOrder;
            }
        };
        let verdict = self.judge(id);
        match verdict {
            EventVerdict::PassOn => self.passed_on = Some(id),
            EventVerdict::Repeated => {}
            EventVerdict::OutOfOrder => self.is_broken = true,
        }
        self.received = Some(id);
        verdict
    }

    fn judge(&self, id: u64) -> EventVerdict {
        let follows = self.received.is_none_or(|received| received.checked_add(1) == Some(id));
        if self.is_broken || !follows {
            return EventVerdict::OutOfOrder;
        }

        match self.passed_on {
            None if id <= Self::MAX_FIRST_ID => EventVerdict::PassOn,
            Some(last) if id <= last => EventVerdict::Repeated,
            Some(last) if id - 1 == last => EventVerdict::PassOn,
            _ => EventVerdict::OutOfOrder,
        }
    }
}
