//! Matching of hosts, paths and keys, and traffic splits.

use sapphirespur_core::edge::{RouteError, RouteKind, RouteTable, Split};
use sapphirespur_core::name::Name;

use crate::support::route;

fn table() -> RouteTable {
    let mut table = RouteTable::default();
    for (name, prefix) in [("short", "/a/"), ("long", "/a/b/"), ("other", "/c/")] {
        table.add_route("Host.Example", route(name, prefix, RouteKind::Idempotent));
    }
    let mut open = route("open", "/open/", RouteKind::Idempotent);
    open.is_open = true;
    table.add_route("host.example", open);
    table.keys = Some([("good".to_owned(), Name::new("clinic"))].into_iter().collect());
    table
}

macro_rules! route_cases {
    ($($name:ident: $host:expr, $path:expr, $key:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let table = table();
                let found = table.find($host, $path, $key);
                let found = found.map(|(route, owner)| (route.name.as_str(), owner.map(Name::as_str)));
                assert_eq!(found, $expected);
            }
        )*
    };
}

route_cases! {
    longest_matching_prefix_is_used: "host.example", "/a/b/c", Some("good") => Ok(("long", Some("clinic")));
    shorter_prefix_matches_the_other_paths: "host.example", "/a/x", Some("good") => Ok(("short", Some("clinic")));
    host_match_ignores_case: "HOST.example", "/c/", Some("good") => Ok(("other", Some("clinic")));
    port_of_the_host_is_ignored: "host.example:8080", "/c/", Some("good") => Ok(("other", Some("clinic")));
    prefix_does_not_match_without_its_slash: "host.example", "/ab", Some("good") => Err(RouteError::NoRoute);
    unknown_host_has_no_route: "elsewhere", "/a/", Some("good") => Err(RouteError::NoRoute);
    wrong_key_is_rejected: "host.example", "/a/", Some("bad") => Err(RouteError::UnknownKey);
    missing_key_is_rejected: "host.example", "/a/", None => Err(RouteError::UnknownKey);
    open_route_needs_no_key: "host.example", "/open/", None => Ok(("open", None));
    open_route_ignores_a_wrong_key: "host.example", "/open/", Some("bad") => Ok(("open", None));
}

#[test]
fn requests_are_split_by_weight_and_identically_at_every_router() {
    let mut split = route("split", "/", RouteKind::Idempotent);
    split.splits = [("most", 90), ("few", 10), ("none", 0)]
        .map(|(service, weight)| Split { service: Name::new(service), weight })
        .to_vec();
    let chosen: Vec<&str> = (0..10_000)
        .map(|id| split.service_for(&id.to_string()).expect("a service").as_str())
        .collect();

    let few = chosen.iter().filter(|name| **name == "few").count();
    assert!((800..1_200).contains(&few), "{few} of 10000 instead of 1000");
    assert!(!chosen.contains(&"none"));
    assert_eq!(split.service_for("7"), split.clone().service_for("7"));
}

#[test]
fn no_key_is_required_when_none_is_configured() {
    let mut table = table();
    table.keys = None;
    assert!(table.find("host.example", "/a/", None).is_ok());
}
