//! Filter chain of requests.

use sapphirespur_core::config::{CallPattern, Class, Config, Model, Service, Target, Workspace};
use sapphirespur_core::filter::{FilterContext, run};
use sapphirespur_core::hash::sha256_hex;
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{Outcome, RefusalCode, Repeatability, RequestHead, RequestMeta};

fn config() -> Config {
    let mut config = Config { revision: 1, ..Config::default() };
    config.classes.insert(Name::new("label"), Class { weight: 1, default: false });
    config.classes.insert(Name::new("ordinary"), Class { weight: 2, default: true });
    config.models.insert(Name::new("writer"), Model {});
    let idempotent = vec![CallPattern { method: "GET".to_owned(), path: "/catalogue".to_owned() }];
    config.services.insert(Name::new("registry"), Service { idempotent });
    let key_digests = vec![sha256_hex(b"secret")];
    config.workspaces.insert(Name::new("agenzia"), Workspace { share: 1, key_digests });
    config
}

fn model_head() -> RequestHead {
    RequestHead {
        key_digest: Some(sha256_hex(b"secret")),
        target: Target::Model(Name::new("writer")),
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        class: None,
        cost_hint: Some(100),
        idempotency_key: None,
        fingerprint: "f".to_owned(),
    }
}

fn service_head(method: &str, path: &str, key: Option<&str>) -> RequestHead {
    RequestHead {
        target: Target::Service(Name::new("registry")),
        method: method.to_owned(),
        path: path.to_owned(),
        idempotency_key: key.map(str::to_owned),
        ..model_head()
    }
}

fn check(head: &RequestHead) -> Result<RequestMeta, RefusalCode> {
    let config = config();
    let keys = config.key_index();
    run(head, FilterContext { config: &config, keys: &keys }).map_err(|refusal| {
        assert_eq!(refusal.outcome, Outcome::NotRun);
        refusal.code
    })
}

macro_rules! refused {
    ($($name:ident: $head:expr => $code:ident;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(check(&$head), Err(RefusalCode::$code));
            }
        )*
    };
}

refused! {
    missing_key_is_refused: RequestHead { key_digest: None, ..model_head() } => InvalidKey;
    unknown_key_is_refused:
        RequestHead { key_digest: Some(sha256_hex(b"other")), ..model_head() } => InvalidKey;
    unknown_model_is_refused:
        RequestHead { target: Target::Model(Name::new("other")), ..model_head() }
        => UnknownTarget;
    model_name_as_service_is_refused:
        RequestHead { target: Target::Service(Name::new("writer")), ..model_head() }
        => UnknownTarget;
    unknown_class_is_refused:
        RequestHead { class: Some("other".to_owned()), ..model_head() } => UnknownClass;
    empty_idempotency_key_is_refused:
        service_head("POST", "/bookings", Some("")) => MalformedRequest;
    too_long_idempotency_key_is_refused:
        service_head("POST", "/bookings", Some(&"k".repeat(256))) => MalformedRequest;
    unauthenticated_request_does_not_reveal_whether_the_model_exists:
        RequestHead {
            key_digest: None, target: Target::Model(Name::new("other")), ..model_head()
        } => InvalidKey;
}

macro_rules! repeatabilities {
    ($($name:ident: $head:expr => $repeatability:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let repeatability = check(&$head).map(|meta| meta.repeatability);
                assert!(matches!(repeatability, Ok($repeatability)), "{repeatability:?}");
            }
        )*
    };
}

repeatabilities! {
    model_call_is_idempotent: model_head() => Repeatability::Idempotent,
    listed_service_call_is_idempotent:
        service_head("GET", "/catalogue", None) => Repeatability::Idempotent,
    call_below_a_listed_path_is_idempotent:
        service_head("GET", "/catalogue/7?full", None) => Repeatability::Idempotent,
    call_with_a_listed_path_as_partial_segment_is_not_idempotent:
        service_head("GET", "/catalogues", None) => Repeatability::NonIdempotent,
    path_with_dot_segment_is_not_idempotent:
        service_head("GET", "/catalogue/../approvals", None) => Repeatability::NonIdempotent,
    path_with_encoded_dot_segment_is_not_idempotent:
        service_head("GET", "/catalogue/%2E%2e/approvals", None) => Repeatability::NonIdempotent,
    call_with_unlisted_method_is_not_idempotent:
        service_head("POST", "/catalogue", None) => Repeatability::NonIdempotent,
    call_with_idempotency_key_runs_at_most_once:
        service_head("POST", "/approvals", Some("k")) => Repeatability::Once { .. },
}

#[test]
fn class_and_cost_are_taken_from_the_request_or_default() {
    let head = RequestHead { class: Some("label".to_owned()), ..model_head() };
    let meta = check(&head).expect("the request passes");
    assert_eq!((meta.queue.class.as_str(), meta.cost), ("label", 100));
    let meta = check(&model_head()).expect("the request passes");
    assert_eq!(meta.queue.class.as_str(), "ordinary");
}

#[test]
fn same_idempotency_key_of_two_workspaces_differs() {
    let mut config = config();
    let key_digests = vec![sha256_hex(b"other")];
    config.workspaces.insert(Name::new("katharotis"), Workspace { share: 1, key_digests });
    let keys = config.key_index();
    let cx = FilterContext { config: &config, keys: &keys };
    let own = service_head("POST", "/approvals", Some("k"));
    let other = RequestHead { key_digest: Some(sha256_hex(b"other")), ..own.clone() };

    assert_ne!(
        run(&own, cx).expect("passes").repeatability,
        run(&other, cx).expect("passes").repeatability
    );
}
