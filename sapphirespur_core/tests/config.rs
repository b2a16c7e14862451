//! Rules and encodings of the configuration.

use sapphirespur_core::config::{
    Change, Class, Config, ConfigError, DataCentre, DataCentreState, Model, Target, Upstream,
    UpstreamState, Workspace,
};
use sapphirespur_core::config_sync::ConfigSync;
use sapphirespur_core::hash::sha256_hex;
use sapphirespur_core::message::{ConfigDelta, ConfigPull, Message};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

const NOW: Time = Time::from_micros(1_000_000_000);

fn workspace(name: &str, share: u32) -> Change {
    let key_digests = vec![sha256_hex(name.as_bytes())];
    Change::SetWorkspace(Name::new(name), Workspace { share, key_digests })
}

fn class(name: &str, weight: u32, default: bool) -> Change {
    Change::SetClass(Name::new(name), Class { weight, default })
}

fn upstream(name: &str, edit: impl Fn(&mut Upstream)) -> Change {
    let mut upstream = Upstream {
        target: Target::Model(Name::new("writer")),
        data_centre: Name::new("milano"),
        address: Name::new("127.0.0.1:1"),
        control: Name::new(&format!("127.0.0.1:{}", name.len())),
        slots: 8,
        cold_slots: 1,
        state: UpstreamState::Active,
    };
    edit(&mut upstream);
    Change::SetUpstream(Name::new(name), upstream)
}

fn base() -> Config {
    let data_centre = DataCentre { state: DataCentreState::In };
    let changes = [
        workspace("agenzia", 2),
        class("ordinary", 2, true),
        Change::SetModel(Name::new("writer"), Model {}),
        Change::SetDataCentre(Name::new("milano"), data_centre),
        upstream("e", |_| ()),
    ];
    Config::default().with_changes(&changes).expect("the base is right")
}

macro_rules! refused {
    ($($name:ident: [$($change:expr),*] => $error:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let result = base().with_changes(&[$($change),*]);
                assert!(matches!(result, Err($error)), "{result:?}");
            }
        )*
    };
}

refused! {
    a_share_of_zero: [workspace("w", 0)] => ConfigError::OutOfRange { field: "share", .. },
    a_weight_above_the_range: [class("c", 1_000_001, false)]
        => ConfigError::OutOfRange { field: "weight", .. },
    a_second_default_class: [class("c", 1, true)] => ConfigError::DefaultClassCount(2),
    no_default_class: [class("ordinary", 1, false)] => ConfigError::DefaultClassCount(0),
    a_name_with_a_blank: [workspace("a b", 1)] => ConfigError::InvalidName(_),
    an_empty_name: [workspace("", 1)] => ConfigError::InvalidName(_),
    a_shared_key: [Change::SetWorkspace(
            Name::new("w"),
            Workspace { share: 1, key_digests: vec![sha256_hex(b"agenzia")] },
        )] => ConfigError::DuplicateKey(..),
    a_digest_in_upper_case: [Change::SetWorkspace(
            Name::new("w"),
            Workspace { share: 1, key_digests: vec!["A".repeat(64)] },
        )] => ConfigError::InvalidKeyDigest(_),
    more_cold_slots_than_slots: [upstream("ee", |u| u.cold_slots = 9)]
        => ConfigError::ColdSlotsAboveSlots(_),
    no_slots: [upstream("ee", |u| u.slots = 0)] => ConfigError::OutOfRange { field: "slots", .. },
    an_unknown_data_centre: [upstream("ee", |u| u.data_centre = Name::new("roma"))]
        => ConfigError::UnknownDataCentre { .. },
    an_unknown_model: [upstream("ee", |u| u.target = Target::Model(Name::new("other")))]
        => ConfigError::UnknownTarget { .. },
    a_shared_control_address: [upstream("f", |_| ())] => ConfigError::DuplicateControlAddress(..),
    the_removal_of_nothing: [Change::RemoveClass(Name::new("other"))]
        => ConfigError::Missing { kind: "class", .. },
    the_removal_of_a_model_in_use: [Change::RemoveModel(Name::new("writer"))]
        => ConfigError::UnknownTarget { .. },
    the_removal_of_a_data_centre_in_use: [Change::RemoveDataCentre(Name::new("milano"))]
        => ConfigError::UnknownDataCentre { .. },
}

#[test]
fn changes_lead_to_the_next_revision_and_leave_the_old_one() {
    let before = base();
    let after = before.with_changes(&[workspace("w", 3)]).expect("the change is right");
    assert_eq!((before.revision, after.revision), (1, 2));
    assert!(!before.workspaces.contains_key("w"));
}

#[test]
fn chunks_join_to_the_same_configuration() {
    let changes: Vec<Change> =
        (0..2_000).map(|index| workspace(&format!("w{index}"), index + 1)).collect();
    let config = base().with_changes(&changes).expect("the changes are right");
    let chunks = config.to_chunks();
    let joined = Config::from_chunks(chunks.iter().map(Vec::as_slice)).expect("chunks join");

    assert_eq!(joined, config);
    assert_eq!(joined.digest(), config.digest());
}

#[test]
fn one_changed_workspace_changes_two_chunks() {
    let changes: Vec<Change> =
        (0..2_000).map(|index| workspace(&format!("w{index}"), index + 1)).collect();
    let before = base().with_changes(&changes).expect("the changes are right");
    let after = before.with_changes(&[workspace("w7", 9)]).expect("the change is right");
    let (old, new) = (before.to_chunks(), after.to_chunks());

    // The first chunk holds the revision.
    assert_eq!(new.iter().filter(|chunk| !old.contains(chunk)).count(), 2);
}

fn with(config: Config) -> ConfigSync {
    let mut controller = ConfigSync::default();
    assert!(controller.accept(config));
    controller
}

#[test]
fn an_older_configuration_is_ignored() {
    let (old, new) = (base(), base().with_changes(&[workspace("w", 1)]).expect("right"));
    let mut controller = with(new.clone());
    assert!(!controller.accept(old));
    assert_eq!(controller.config(), &new);
}

#[test]
fn a_delta_leads_to_the_same_configuration() {
    let changes = vec![workspace("w", 4)];
    let next = base().with_changes(&changes).expect("right");
    let mut controller = with(base());
    let delta = ConfigDelta { base: 1, steps: vec![changes], digest: next.digest() };

    assert_eq!(controller.accept_delta(&delta), Ok(true));
    assert_eq!(controller.config(), &next);
    assert_eq!(controller.accept_delta(&delta), Ok(false));
}

#[test]
fn a_delta_that_leads_elsewhere_is_refused() {
    let mut controller = with(base());
    let steps = vec![vec![workspace("w", 4)]];
    let delta = ConfigDelta { base: 1, steps, digest: "other".to_owned() };

    assert_eq!(controller.accept_delta(&delta), Err(ConfigError::DigestMismatch(2)));
    assert_eq!(controller.revision(), 1);
}

#[test]
fn a_delta_from_an_unknown_base_is_ignored() {
    let mut controller = with(base());
    let delta = ConfigDelta { base: 5, steps: vec![vec![]], digest: String::new() };
    assert_eq!(controller.accept_delta(&delta), Ok(false));
}

#[test]
fn a_peer_that_is_a_little_behind_gets_the_steps_and_one_far_behind_gets_all() {
    let mut controller = with(base());
    let steps = vec![vec![workspace("w", 4)], vec![workspace("w", 5)]];
    let last = base()
        .with_changes(&steps[0])
        .and_then(|next| next.with_changes(&steps[1]))
        .expect("right");
    let delta = ConfigDelta { base: 1, steps, digest: last.digest() };
    controller.accept_delta(&delta).expect("right");

    let answer = |revision| controller.answer_pull(&ConfigPull { revision });
    assert_eq!(answer(3), None);
    assert!(matches!(answer(1), Some(Message::ConfigDelta(d)) if d.steps.len() == 2));
    assert!(matches!(answer(2), Some(Message::ConfigDelta(d)) if d.steps.len() == 1));
    assert!(matches!(answer(0), Some(Message::ConfigFull(full)) if full.config == last));
}

#[test]
fn a_pull_is_repeated_after_a_while_only() {
    let mut controller = with(base());
    let peer = Name::new("r");
    assert!(controller.on_peer_revision(NOW, &peer, 1).is_none());
    assert!(controller.on_peer_revision(NOW, &peer, 2).is_some());
    assert!(controller.on_peer_revision(NOW, &peer, 2).is_none());
    let later = NOW + std::time::Duration::from_millis(500);
    assert!(controller.on_peer_revision(later, &peer, 2).is_some());
}
