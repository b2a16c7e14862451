//! Routes, keys and weights.

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

macro_rules! finds {
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

finds! {
    the_longest_prefix_wins: "host.example", "/a/b/c", Some("good") => Ok(("long", Some("clinic")));
    a_shorter_prefix_takes_the_rest: "host.example", "/a/x", Some("good") => Ok(("short", Some("clinic")));
    hosts_have_no_case: "HOST.example", "/c/", Some("good") => Ok(("other", Some("clinic")));
    a_port_is_no_part_of_the_host: "host.example:8080", "/c/", Some("good") => Ok(("other", Some("clinic")));
    a_prefix_ends_with_its_slash: "host.example", "/ab", Some("good") => Err(RouteError::NoRoute);
    another_host_has_no_route: "elsewhere", "/a/", Some("good") => Err(RouteError::NoRoute);
    a_wrong_key_is_not_known: "host.example", "/a/", Some("bad") => Err(RouteError::UnknownKey);
    a_missing_key_is_not_known: "host.example", "/a/", None => Err(RouteError::UnknownKey);
    an_open_route_needs_no_key: "host.example", "/open/", None => Ok(("open", None));
    an_open_route_ignores_a_wrong_key: "host.example", "/open/", Some("bad") => Ok(("open", None));
}

#[test]
fn weights_split_the_requests_and_every_router_splits_alike() {
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
fn keys_are_not_asked_for_when_there_are_none() {
    let mut table = table();
    table.keys = None;
    assert!(table.find("host.example", "/a/", None).is_ok());
}
