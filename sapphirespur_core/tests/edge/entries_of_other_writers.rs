//! Entries that another writer leaves under the key of an upstream.

use sapphirespur_core::edge::{Router, UpstreamEntry, UpstreamState};
use sapphirespur_core::name::Name;

use crate::support::{START, call, entry, ms, router};

/// Start that the upstream publishes, in milliseconds since the Unix epoch.
const UPSTREAM_START: u64 = 10_000;

/// Returns the upstream's own entry with a number and a state.
fn own(sequence: u64, state: UpstreamState) -> UpstreamEntry {
    let (started_ms, sequence) = (Some(UPSTREAM_START), Some(sequence));
    UpstreamEntry { started_ms, sequence, state, ..entry("u0", 8_000) }
}

/// Returns an entry of another writer under the key of the upstream, which does not say when it started.
fn foreign() -> UpstreamEntry {
    UpstreamEntry { started_ms: None, sequence: Some(9), ..entry("u0", 8_000) }
}

/// Returns a router that knows the upstream and then reads an entry of another writer.
fn router_after(foreign: UpstreamEntry) -> Router {
    let mut router = router("r", 0);
    router.registry_mut().apply_upstream(START, own(1, UpstreamState::Ready));
    router.registry_mut().apply_upstream(START + ms(100), foreign);
    router
}

macro_rules! entries_without_a_start {
    ($($name:ident: $foreign:expr;)*) => {$(
        // ROUTE, DRAIN: the entry takes the place of the upstream's own, which is then taken for that of an instance that
        // has left: requests go to another service, and the upstream's draining is not heard.
        #[test]
        fn $name() {
            let mut router = router_after($foreign);
            let used = router.registry().upstreams().get("u0").map(|known| known.entry.clone());
            assert_eq!(used, Some(own(1, UpstreamState::Ready)));
            router.registry_mut().apply_upstream(START + ms(1_200), own(2, UpstreamState::Ready));
            assert!(router.admit(START + ms(1_300), &call("w", 1, 10, 10)).is_ok());
            router.registry_mut().apply_upstream(START + ms(2_400), own(3, UpstreamState::Draining));
            assert!(router.admit(START + ms(2_500), &call("w", 2, 10, 10)).is_err());
        }
    )*};
}

entries_without_a_start! {
    entry_of_the_same_upstream_without_a_start_changes_nothing: foreign();
    entry_of_another_service_without_a_start_changes_nothing:
        UpstreamEntry { service: Name::new("app"), ..foreign() };
    entry_of_another_address_without_a_start_changes_nothing:
        UpstreamEntry { address: ([10, 0, 0, 9], 9_000).into(), ..foreign() };
    draining_entry_without_a_start_changes_nothing:
        UpstreamEntry { state: UpstreamState::Draining, ..foreign() };
}

// ROUTE: the entry brings the address of an upstream that has left back into use, which may be another's by then.
#[test]
fn entry_without_a_start_brings_no_upstream_back_that_has_left() {
    let mut router = router("r", 0);
    router.registry_mut().apply_upstream(START, own(1, UpstreamState::Ready));
    router.registry_mut().remove_upstream_at("u0", START + ms(100));
    router.tick(START + ms(200));
    assert!(!router.registry_mut().apply_upstream(START + ms(300), foreign()));
    assert!(router.admit(START + ms(400), &call("w", 1, 10, 10)).is_err());
    assert!(router.registry_mut().apply_upstream(START + ms(500), own(2, UpstreamState::Ready)));
    assert!(router.admit(START + ms(600), &call("w", 2, 10, 10)).is_ok());
}

// LOST: upstreams of a platform that publishes no starts are never used again after a restart.
#[test]
fn upstream_that_never_says_when_it_started_is_replaced_by_its_next_instance() {
    let mut router = router("r", 0);
    router.registry_mut().apply_upstream(START, foreign());
    let next = UpstreamEntry { address: ([10, 0, 0, 9], 9_000).into(), ..foreign() };
    assert!(router.registry_mut().apply_upstream(START + ms(100), next.clone()));
    let used = router.registry().upstreams().get("u0").map(|known| known.entry.clone());
    assert_eq!(used, Some(next));
}
