//! Removals of upstreams after an outage of the registry, of the relay alone, or of one router alone.

use sapphirespur_core::edge::{RegistryOutage, RelayView};

use crate::support::{START, ms};

/// What a router sees of the registry.
#[derive(Clone, Copy)]
enum Seen {
    Relay(RelayView),
    Failure(RelayView),
    Contact(RelayView),
}

use RelayView::{Answers, Lost, None};
use Seen::{Contact, Failure, Relay};

/// Time between two things that a router sees.
const STEP_MS: u64 = 500;

/// Returns how long after the last thing that a router sees an upstream is removed whose entry is
/// missing, in milliseconds.
fn removal_delay_ms(seen: &[Seen]) -> u64 {
    let mut outage = RegistryOutage::default();
    let mut now = START;
    for seen in seen {
        now = now + ms(STEP_MS);
        match *seen {
            Relay(view) => outage.on_relay(view),
            Failure(view) => outage.on_failure(view),
            Contact(view) => outage.on_contact(now, view),
        }
    }
    outage.removal_time(now).since(now).as_millis() as u64
}

macro_rules! removal_is_delayed {
    ($($name:ident: $seen:expr => $expected_ms:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(removal_delay_ms(&$seen), $expected_ms);
            }
        )*
    };
}

// DRAIN: a router short of processor time, or whose relay was cut off, took that for an outage of the registry, and
// went on using upstreams that had left for as long as after one.
removal_is_delayed! {
    entry_that_is_removed_without_an_outage_counts_at_once: [Contact(None)] => 0;
    entries_are_written_again_after_an_outage: [Failure(None), Contact(None)] => 1_900;
    entries_are_written_again_after_an_outage_that_the_relay_saw_first:
        [Relay(Answers), Relay(Lost), Contact(Lost)] => 1_900;
    entries_are_written_again_after_an_outage_that_the_relay_saw_later:
        [Failure(Answers), Failure(Answers), Relay(Lost), Contact(Lost)] => 1_900;
    entries_are_written_again_after_an_outage_that_ended_at_the_relay_first:
        [Failure(Answers), Failure(Lost), Failure(Answers), Contact(Answers)] => 1_900;
    failure_of_this_router_alone_is_no_outage:
        [Failure(Answers), Failure(Answers), Contact(Answers)] => 0;
    failure_without_a_relay_that_is_heard_again_is_an_outage:
        [Failure(None), Failure(Answers), Contact(Answers)] => 1_900;
    outage_of_the_relay_alone_counts_once:
        [Relay(Lost), Contact(Lost), Relay(Lost), Contact(Lost), Contact(Lost)] => 400;
    relay_that_is_back_and_lost_again_counts_again:
        [Relay(Lost), Contact(Lost), Relay(Answers), Relay(Lost), Contact(Lost)] => 1_900;
}
