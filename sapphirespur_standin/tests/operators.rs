//! What operators meet, with real processes.

mod common;

use std::fs;
use std::time::Duration;

use common::{ask, block_on, eventually, start, start_unconfigured};
use sapphirespur_standin::processes::{Layout, ProcessFleet, Signal};
use serde_json::{Value, json};

const SHARES: &str = "[workspace agenzia]\nshare = 7\n";

fn json_of(fleet: &ProcessFleet, args: &[&str]) -> Value {
    let text = fleet.operate(&[&["--json"], args].concat()).expect("the command succeeds");
    serde_json::from_str(&text).expect("the output is JSON")
}

fn write(fleet: &ProcessFleet, file: &str, text: &str) {
    fs::write(fleet.dir.join(file), text).expect("the file is written");
}

fn code_of(fleet: &ProcessFleet, operator: &str, args: &[&str]) -> (Option<i32>, String) {
    let output = fleet.try_operate(operator, args).expect("the command starts");
    let text = [output.stdout, output.stderr].concat();

    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn nothing_changes_before_a_plan_is_confirmed() {
    let fleet = start("plans", Layout::smallest());
    write(&fleet, "shares.ini", SHARES);
    let plan = fleet.plan("shares.ini", "more dossiers").expect("the plan is made");
    assert_eq!(json_of(&fleet, &["export"])["workspaces"]["agenzia"]["share"], 2);

    fleet.operate(&["confirm", &plan]).expect("the plan is accepted");
    assert_eq!(json_of(&fleet, &["export"])["workspaces"]["agenzia"]["share"], 7);
    let history = json_of(&fleet, &["history"]);
    assert_eq!(history[1]["plan"]["reason"], "more dossiers");
    assert_eq!(history[1]["confirmed_by"], "operator");
}

#[test]
fn confirming_twice_tells_the_same() {
    let fleet = start("twice", Layout::smallest());
    write(&fleet, "shares.ini", SHARES);
    let plan = fleet.apply("shares.ini", "").expect("the plan is accepted");
    let again = json_of(&fleet, &["confirm", &plan]);
    assert_eq!((&again["accepted"], &again["revision"]), (&json!(true), &json!(2)));
    assert_eq!(json_of(&fleet, &["export"])["revision"], 2);
}

#[test]
fn of_racing_operators_one_wins_and_the_other_is_told_by_whom() {
    let fleet = start("races", Layout::smallest());
    write(&fleet, "a.ini", SHARES);
    write(&fleet, "b.ini", "[workspace agenzia]\nshare = 9\n");
    fleet.write_operator("rival").expect("the settings are written");
    let first = fleet.plan("a.ini", "first").expect("the plan is made");
    let second = fleet.plan("b.ini", "second").expect("the plan is made");

    let fleet = &fleet;
    let codes: Vec<(Option<i32>, String)> = std::thread::scope(|scope| {
        let confirm = |operator: &'static str, plan: String| {
            scope.spawn(move || code_of(fleet, operator, &["confirm", &plan]))
        };
        let threads = [confirm("operator", first), confirm("rival", second)];
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    let mut exits: Vec<Option<i32>> = codes.iter().map(|(code, _)| *code).collect();
    exits.sort_unstable();
    assert_eq!(exits, [Some(0), Some(3)], "{codes:?}");
    let loser = codes.iter().find(|(code, _)| *code == Some(3)).expect("one lost");
    assert!(loser.1.contains("confirmed by"), "{loser:?}");
    assert_eq!(json_of(fleet, &["export"])["revision"], 2);
}

#[test]
fn a_lost_answer_of_the_platform_is_settled() {
    let fleet = start("lost_answer", Layout::smallest());
    write(&fleet, "shares.ini", SHARES);
    let plan = fleet.plan("shares.ini", "").expect("the plan is made");
    // The chunks that changed are written first, then the head is swapped.
    for lost in [1, 3] {
        let fault = json!({ "lose_answers": lost });
        fleet.put("store", "/standin/fault", &fault).expect("the fault is set");
        let (code, text) = code_of(&fleet, "operator", &["confirm", &plan]);
        assert!(matches!(code, Some(0 | 4)), "{code:?} {text}");
    }
    fleet.put("store", "/standin/fault", &json!({})).expect("the fault ends");

    let again = json_of(&fleet, &["confirm", &plan]);
    assert_eq!((&again["accepted"], &again["revision"]), (&json!(true), &json!(2)));
}

#[test]
fn refusals_name_file_line_and_key() {
    let fleet = start("refusals", Layout::smallest());
    let cases = [
        ("[workspace agenzia]\n\nshare = many\n", ":3: 'share' in [workspace agenzia]"),
        ("[workspace agenzia]\nshares = 3\n", ":2: 'shares' in [workspace agenzia]"),
        ("[tenant agenzia]\n", ":1: [tenant agenzia]"),
        ("[upstream new]\nmodel = profile-writer\n", "'data-centre' in [upstream new]"),
        ("[workspace agenzia]\nshare = 2\n", "the intent changes nothing"),
        ("[remove model profile-writer]\n", "names unknown model/profile-writer"),
    ];
    for (intent, expected) in cases {
        write(&fleet, "wrong.ini", intent);
        let path = fleet.dir.join("wrong.ini").display().to_string();
        let (code, text) = code_of(&fleet, "operator", &["plan", &path]);
        assert_eq!(code, Some(2), "{text}");
        assert!(text.contains(expected), "{text} lacks {expected}");
    }
}

#[test]
fn a_new_operator_takes_over_from_the_record_alone() {
    let mut fleet = start("takeover", Layout::default());
    write(&fleet, "shares.ini", SHARES);
    fleet.apply("shares.ini", "before the takeover").expect("the plan is accepted");
    let nodes =
        [fleet.layout.router_names(), fleet.layout.engine_names(), fleet.layout.service_names()]
            .concat();
    for name in &nodes {
        fleet.signal(name, Signal::Kill).expect("the process ends");
    }
    for name in &nodes {
        fleet.start_node(name).expect("the process starts");
    }
    fleet.write_operator("successor").expect("the settings are written");

    let (code, text) = code_of(&fleet, "successor", &["status", "--wait-s", "16"]);
    assert_eq!(code, Some(0), "{text}");
    let router = fleet.layout.router_names().remove(0);
    block_on(async {
        let answer = ask(&fleet.router_url(&router), "after the takeover", 6).await;
        answer.expect("the fresh fleet serves");
    });
    let history = json_of(&fleet, &["history"]);
    assert_eq!(history.as_array().map(Vec::len), Some(2));
    let exported = fleet.operate(&["export"]).expect("the command succeeds");
    write(&fleet, "exported.ini", &exported);
    let path = fleet.dir.join("exported.ini").display().to_string();
    let (_, text) = code_of(&fleet, "successor", &["plan", &path]);
    assert!(text.contains("the intent changes nothing"), "{text}");
}

#[test]
fn a_data_centre_goes_out_and_comes_back() {
    let fleet = start("out_and_back", Layout::default());
    let serving = |expected: bool| {
        // While some are behind, the exit code says so.
        let (_, text) = code_of(&fleet, "operator", &["--json", "status"]);
        let status: Value = serde_json::from_str(&text).expect("the output is JSON");
        let torino = ["torino-e1", "torino-e2", "torino-s1"];
        torino.iter().all(|name| status["upstreams"][name]["serving"] == expected)
    };
    for (state, expected) in [("out", false), ("in", true)] {
        let plan = json_of(&fleet, &["data-centre", state, "torino"]);
        fleet.operate(&["confirm", plan["id"].as_str().expect("named")]).expect("accepted");
        let is_done = block_on(eventually(Duration::from_secs(3), async || serving(expected)));
        assert!(is_done, "torino is not {state}");
    }
}

#[test]
fn status_tells_who_is_behind() {
    let mut fleet = start("behind", Layout::default());
    fleet.signal("torino-r2", Signal::Stop).expect("the router pauses");
    write(&fleet, "shares.ini", SHARES);
    fleet.apply("shares.ini", "").expect("the plan is accepted");
    let (code, text) = code_of(&fleet, "operator", &["status", "--wait-s", "3"]);
    assert_eq!(code, Some(5), "{text}");
    assert!(text.contains("behind: torino-r2"), "{text}");

    fleet.signal("torino-r2", Signal::Continue).expect("the router goes on");
    let (code, text) = code_of(&fleet, "operator", &["status", "--wait-s", "16"]);
    assert_eq!(code, Some(0), "{text}");
}

#[test]
fn an_unknown_plan_is_refused() {
    let fleet = start_unconfigured("unknown_plan", Layout::smallest());
    let (code, text) = code_of(&fleet, "operator", &["confirm", "0123456789ab"]);
    assert_eq!(code, Some(1), "{text}");
}
