//! Round trips of messages and frames, and rejection of malformed bytes.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use sapphirespur_core::config::{Change, Class, Config, Target};
use sapphirespur_core::limiter::Phase;
use sapphirespur_core::message::{
    AccountEntry, AccountUpdate, ConfigDelta, ConfigFull, ConfigPull, Demand, DemandResync,
    Heartbeat, Message, NodeState, Permit, PermitReturn, QueueDemand, ReportEntry, ServiceReport,
    SidecarState,
};
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{AttemptId, Outcome, Refusal, RefusalCode};
use sapphirespur_wire::{Frame, FrameBody, decode_message, encode_message};

fn name(text: &str) -> Name {
    Name::new(text)
}

fn round_trip(message: &Message) -> Message {
    let mut builder = capnp::message::Builder::new_default();
    encode_message(message, builder.init_root());
    let words = capnp::serialize::write_message_to_words(&builder);
    let reader = capnp::serialize::read_message_from_flat_slice(
        &mut words.as_slice(),
        capnp::message::ReaderOptions::new(),
    )
    .expect("the message is readable");

    decode_message(reader.get_root().expect("the message has a root"))
        .expect("the message is decoded")
}

macro_rules! messages {
    ($($name:ident: $message:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let message = $message;
                assert_eq!(round_trip(&message), message);
            }
        )*
    };
}

messages! {
    router_heartbeat_round_trips: Message::Heartbeat(Heartbeat {
        incarnation: u64::MAX,
        revision: 7,
        state: NodeState::Router { demand_sequence: 9, draining: true },
    });
    sidecar_heartbeat_round_trips: Message::Heartbeat(Heartbeat {
        incarnation: 1,
        revision: 0,
        state: NodeState::Sidecar(SidecarState {
            upstream: name("milano-e1"),
            phase: Phase::Warm,
            limit: 8,
            free: 3,
            serving: true,
        }),
    });
    demand_round_trips: Message::Demand(Demand {
        sequence: 4,
        full: true,
        entries: vec![QueueDemand {
            workspace: name("agenzia"),
            class: name("dossier"),
            count: 12,
            head_age: Duration::from_micros(1_234),
            head_cost: 400,
        }],
    });
    demand_without_entries_round_trips: Message::Demand(Demand {
        sequence: 5, full: false, entries: Vec::new(),
    });
    demand_resync_round_trips: Message::DemandResync(DemandResync { last_sequence: 3 });
    permit_round_trips: Message::Permit(Permit { id: 5, workspace: name("w"), class: name("c") });
    permit_return_round_trips: Message::PermitReturn(PermitReturn { id: 5, remaining: 2 });
    service_report_round_trips: Message::ServiceReport(ServiceReport {
        sequence: 6,
        target: Target::Service(name("registry")),
        entries: vec![
            ReportEntry {
                workspace: name("w"),
                session: 1,
                charged: -5,
                observed_virtual_time: i64::MAX,
                floor: Some(0),
                backlogged: true,
            },
            ReportEntry {
                workspace: name("v"),
                session: 2,
                charged: 5,
                observed_virtual_time: i64::MIN,
                floor: None,
                backlogged: false,
            },
        ],
    });
    account_update_round_trips: Message::AccountUpdate(AccountUpdate {
        target: Target::Model(name("writer")),
        entries: vec![AccountEntry {
            workspace: name("w"),
            session: 1,
            virtual_time: -9,
            acknowledged: 9,
            competitors: 20,
        }],
    });
    config_pull_round_trips: Message::ConfigPull(ConfigPull { revision: 8 });
    config_delta_round_trips: Message::ConfigDelta(ConfigDelta {
        base: 3,
        revisions: vec![
            vec![Change::SetClass(name("c"), Class { weight: 1, default: true })],
            vec![Change::RemoveClass(name("d"))],
        ],
        digest: "digest".to_owned(),
    });
    full_config_round_trips: Message::ConfigFull(ConfigFull {
        config: Config { revision: 9, ..Config::default() },
    });
}

macro_rules! frames {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let attempt = AttemptId { incarnation: 3, counter: 4 };
                let frame = Frame { attempt, number: 5, body: $body };
                assert_eq!(Frame::from_bytes(&frame.to_bytes()).expect("decoded"), frame);
            }
        )*
    };
}

frames! {
    head_frame_round_trips:
        FrameBody::Head { status: 200, content_type: "text/event-stream".to_owned() };
    data_frame_round_trips: FrameBody::Data(b"data: [DONE]\n\n".to_vec());
    keep_alive_frame_round_trips: FrameBody::KeepAlive;
    end_frame_round_trips: FrameBody::End;
    retryable_refusal_frame_round_trips: FrameBody::Refused(Refusal::retryable(
        RefusalCode::LedgerUnavailable, Duration::from_millis(2_500),
    ));
    outcome_unknown_refusal_frame_round_trips: FrameBody::Refused(Refusal {
        code: RefusalCode::EarlierOutcomeUnknown, outcome: Outcome::Unknown, retry_after: None,
    });
}

#[test]
fn malformed_bytes_are_rejected_without_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        // Random bytes may happen to be a valid frame; decoding them must not panic.
        let bytes = bytes.into_boxed_slice();
        Frame::from_bytes(&bytes).map_or(true, |frame| frame.to_bytes().len() >= 8)
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 5))
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
    assert!(Frame::from_bytes(b"").is_err());
    assert!(Frame::from_bytes(&[0xff; 64]).is_err());
}

#[test]
fn truncated_frame_is_rejected() {
    let attempt = AttemptId { incarnation: 3, counter: 4 };
    let frame = Frame { attempt, number: 5, body: FrameBody::Data(vec![1; 100]) };
    let bytes = frame.to_bytes();
    assert!(Frame::from_bytes(&bytes[..bytes.len() / 2]).is_err());
}
