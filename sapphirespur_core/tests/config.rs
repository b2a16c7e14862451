//! Validation, encoding and replication of the configuration.

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
    Config::default().with_changes(&changes).expect("the base is valid")
}

macro_rules! rejected {
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

rejected! {
    zero_share_is_rejected: [workspace("w", 0)] => ConfigError::OutOfRange { field: "share", .. },
    weight_above_the_maximum_is_rejected: [class("c", 1_000_001, false)]
        => ConfigError::OutOfRange { field: "weight", .. },
    second_default_class_is_rejected: [class("c", 1, true)] => ConfigError::DefaultClassCount(2),
    missing_default_class_is_rejected: [class("ordinary", 1, false)]
        => ConfigError::DefaultClassCount(0),
    name_with_a_space_is_rejected: [workspace("a b", 1)] => ConfigError::InvalidName(_),
    empty_name_is_rejected: [workspace("", 1)] => ConfigError::InvalidName(_),
    key_of_another_workspace_is_rejected: [Change::SetWorkspace(
            Name::new("w"),
            Workspace { share: 1, key_digests: vec![sha256_hex(b"agenzia")] },
        )] => ConfigError::DuplicateKey(..),
    upper_case_key_digest_is_rejected: [Change::SetWorkspace(
            Name::new("w"),
            Workspace { share: 1, key_digests: vec!["A".repeat(64)] },
        )] => ConfigError::InvalidKeyDigest(_),
    more_cold_slots_than_slots_is_rejected: [upstream("ee", |u| u.cold_slots = 9)]
        => ConfigError::ColdSlotsAboveSlots(_),
    zero_slots_is_rejected: [upstream("ee", |u| u.slots = 0)]
        => ConfigError::OutOfRange { field: "slots", .. },
    unknown_data_centre_is_rejected: [upstream("ee", |u| u.data_centre = Name::new("roma"))]
        => ConfigError::UnknownDataCentre { .. },
    unknown_model_is_rejected: [upstream("ee", |u| u.target = Target::Model(Name::new("other")))]
        => ConfigError::UnknownTarget { .. },
    control_address_of_another_upstream_is_rejected: [upstream("f", |_| ())]
        => ConfigError::DuplicateControlAddress(..),
    removal_of_a_missing_entry_is_rejected: [Change::RemoveClass(Name::new("other"))]
        => ConfigError::Missing { kind: "class", .. },
    removal_of_a_model_in_use_is_rejected: [Change::RemoveModel(Name::new("writer"))]
        => ConfigError::UnknownTarget { .. },
    removal_of_a_data_centre_in_use_is_rejected: [Change::RemoveDataCentre(Name::new("milano"))]
        => ConfigError::UnknownDataCentre { .. },
}

#[test]
fn changes_create_the_next_revision_and_leave_the_old_one_unchanged() {
    let before = base();
    let after = before.with_changes(&[workspace("w", 3)]).expect("the change is right");
    assert_eq!((before.revision, after.revision), (1, 2));
    assert!(!before.workspaces.contains_key("w"));
}

#[test]
fn joined_chunks_equal_the_configuration() {
    let changes: Vec<Change> =
        (0..2_000).map(|index| workspace(&format!("w{index}"), index + 1)).collect();
    let config = base().with_changes(&changes).expect("the changes are right");
    let chunks = config.to_chunks();
    let joined = Config::from_chunks(chunks.iter().map(Vec::as_slice)).expect("chunks join");

    assert_eq!(joined, config);
    assert_eq!(joined.digest(), config.digest());
}

#[test]
fn changing_one_workspace_changes_two_chunks() {
    let changes: Vec<Change> =
        (0..2_000).map(|index| workspace(&format!("w{index}"), index + 1)).collect();
    let before = base().with_changes(&changes).expect("the changes are right");
    let after = before.with_changes(&[workspace("w7", 9)]).expect("the change is right");
    let (old, new) = (before.to_chunks(), after.to_chunks());

    // The first chunk holds the revision.
    assert_eq!(new.iter().filter(|chunk| !old.contains(chunk)).count(), 2);
}

fn sync_with(config: Config) -> ConfigSync {
    let mut sync = ConfigSync::default();
    assert!(sync.accept(config));
    sync
}

#[test]
fn older_revision_is_ignored() {
    let (old, new) = (base(), base().with_changes(&[workspace("w", 1)]).expect("valid"));
    let mut sync = sync_with(new.clone());
    assert!(!sync.accept(old));
    assert_eq!(sync.config(), &new);
}

#[test]
fn delta_produces_the_same_configuration_and_its_repeat_is_ignored() {
    let changes = vec![workspace("w", 4)];
    let next = base().with_changes(&changes).expect("valid");
    let mut sync = sync_with(base());
    let delta = ConfigDelta { base: 1, revisions: vec![changes], digest: next.digest() };

    assert_eq!(sync.accept_delta(&delta), Ok(true));
    assert_eq!(sync.config(), &next);
    assert_eq!(sync.accept_delta(&delta), Ok(false));
}

#[test]
fn delta_with_another_digest_is_rejected() {
    let mut sync = sync_with(base());
    let revisions = vec![vec![workspace("w", 4)]];
    let delta = ConfigDelta { base: 1, revisions, digest: "other".to_owned() };

    assert_eq!(sync.accept_delta(&delta), Err(ConfigError::DigestMismatch(2)));
    assert_eq!(sync.revision(), 1);
}

#[test]
fn delta_from_a_newer_base_is_ignored() {
    let mut sync = sync_with(base());
    let delta = ConfigDelta { base: 5, revisions: vec![vec![]], digest: String::new() };
    assert_eq!(sync.accept_delta(&delta), Ok(false));
}

#[test]
fn pull_is_answered_with_a_delta_while_the_changes_are_kept_and_in_full_otherwise() {
    let mut sync = sync_with(base());
    let revisions = vec![vec![workspace("w", 4)], vec![workspace("w", 5)]];
    let last = base()
        .with_changes(&revisions[0])
        .and_then(|next| next.with_changes(&revisions[1]))
        .expect("valid");
    let delta = ConfigDelta { base: 1, revisions, digest: last.digest() };
    sync.accept_delta(&delta).expect("valid");

    let answer = |revision| sync.answer_pull(&ConfigPull { revision });
    assert_eq!(answer(3), None);
    assert!(matches!(answer(1), Some(Message::ConfigDelta(d)) if d.revisions.len() == 2));
    assert!(matches!(answer(2), Some(Message::ConfigDelta(d)) if d.revisions.len() == 1));
    assert!(matches!(answer(0), Some(Message::ConfigFull(full)) if full.config == last));
}

#[test]
fn unanswered_pull_is_repeated_only_after_its_timeout() {
    let mut sync = sync_with(base());
    let peer = Name::new("r");
    assert!(sync.on_peer_revision(NOW, &peer, 1).is_none());
    assert!(sync.on_peer_revision(NOW, &peer, 2).is_some());
    assert!(sync.on_peer_revision(NOW, &peer, 2).is_none());
    let later = NOW + std::time::Duration::from_millis(500);
    assert!(sync.on_peer_revision(later, &peer, 2).is_some());
}
