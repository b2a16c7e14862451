//! Every message and frame comes out as it went in; bytes that are none are refused.

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

fn pass(message: &Message) -> Message {
    let mut builder = capnp::message::Builder::new_default();
    encode_message(message, builder.init_root());
    let words = capnp::serialize::write_message_to_words(&builder);
    let reader = capnp::serialize::read_message_from_flat_slice(
        &mut words.as_slice(),
        capnp::message::ReaderOptions::new(),
    )
    .expect("the message is read");

    decode_message(reader.get_root().expect("it has a root")).expect("it is decoded")
}

macro_rules! messages {
    ($($name:ident: $message:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let message = $message;
                assert_eq!(pass(&message), message);
            }
        )*
    };
}

messages! {
    a_heartbeat_of_a_router: Message::Heartbeat(Heartbeat {
        incarnation: u64::MAX,
        revision: 7,
        state: NodeState::Router { demand_sequence: 9, draining: true },
    });
    a_heartbeat_of_a_sidecar: Message::Heartbeat(Heartbeat {
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
    a_demand: Message::Demand(Demand {
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
    a_demand_without_entries: Message::Demand(Demand {
        sequence: 5, full: false, entries: Vec::new(),
    });
    a_resync: Message::DemandResync(DemandResync { last_sequence: 3 });
    a_permit: Message::Permit(Permit { id: 5, workspace: name("w"), class: name("c") });
    a_permit_return: Message::PermitReturn(PermitReturn { id: 5, remaining: 2 });
    a_report: Message::ServiceReport(ServiceReport {
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
    an_update: Message::AccountUpdate(AccountUpdate {
        target: Target::Model(name("writer")),
        entries: vec![AccountEntry {
            workspace: name("w"),
            session: 1,
            virtual_time: -9,
            acknowledged: 9,
            competitors: 20,
        }],
    });
    a_pull: Message::ConfigPull(ConfigPull { revision: 8 });
    a_delta: Message::ConfigDelta(ConfigDelta {
        base: 3,
        steps: vec![
            vec![Change::SetClass(name("c"), Class { weight: 1, default: true })],
            vec![Change::RemoveClass(name("d"))],
        ],
        digest: "digest".to_owned(),
    });
    a_configuration: Message::ConfigFull(ConfigFull {
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
    a_head: FrameBody::Head { status: 200, content_type: "text/event-stream".to_owned() };
    data: FrameBody::Data(b"data: [DONE]\n\n".to_vec());
    a_keep_alive: FrameBody::KeepAlive;
    an_end: FrameBody::End;
    a_refusal_that_may_come_back: FrameBody::Refused(Refusal::retryable(
        RefusalCode::LedgerUnavailable, Duration::from_millis(2_500),
    ));
    a_refusal_of_an_unknown_outcome: FrameBody::Refused(Refusal {
        code: RefusalCode::EarlierOutcomeUnknown, outcome: Outcome::Unknown, retry_after: None,
    });
}

#[test]
fn bytes_that_are_no_frame_are_refused_without_a_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        // What happens to look like a frame may pass; it must only not panic.
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
fn a_cut_frame_is_refused() {
    let attempt = AttemptId { incarnation: 3, counter: 4 };
    let frame = Frame { attempt, number: 5, body: FrameBody::Data(vec![1; 100]) };
    let bytes = frame.to_bytes();
    assert!(Frame::from_bytes(&bytes[..bytes.len() / 2]).is_err());
}
