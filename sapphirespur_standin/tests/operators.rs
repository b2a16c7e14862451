//! End-to-end tests of the operators' command line, with real processes.

mod common;

use std::fs;
use std::time::Duration;

use common::{block_on, eventually, request_stream, start, start_unconfigured};
use sapphirespur_standin::processes::{Layout, ProcessFleet, Signal};
use serde_json::{Value, json};

/// Intent that raises the share of a workspace from 2 to 7.
const SHARES: &str = "[workspace agenzia]\nshare = 7\n";

/// Runs the command line with `--json` and returns its output.
fn run_cli_json(fleet: &ProcessFleet, args: &[&str]) -> Value {
    let text = fleet.run_cli(&[&["--json"], args].concat()).expect("the command succeeds");
    serde_json::from_str(&text).expect("the output is JSON")
}

fn write_file(fleet: &ProcessFleet, file: &str, text: &str) {
    fs::write(fleet.dir.join(file), text).expect("the file is written");
}

/// Runs the command line as `operator` and returns its exit code and its whole output.
fn run_cli_as(fleet: &ProcessFleet, operator: &str, args: &[&str]) -> (Option<i32>, String) {
    let output = fleet.run_cli_as(operator, args).expect("the command starts");
    let text = [output.stdout, output.stderr].concat();

    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn plan_has_no_effect_until_confirmed() {
    let fleet = start("plans", Layout::minimal());
    write_file(&fleet, "shares.ini", SHARES);
    let plan = fleet.plan("shares.ini", "more dossiers").expect("the plan is made");
    assert_eq!(run_cli_json(&fleet, &["export"])["workspaces"]["agenzia"]["share"], 2);

    fleet.run_cli(&["confirm", &plan]).expect("the plan is accepted");
    assert_eq!(run_cli_json(&fleet, &["export"])["workspaces"]["agenzia"]["share"], 7);
    let history = run_cli_json(&fleet, &["history"]);
    assert_eq!(history[1]["plan"]["reason"], "more dossiers");
    assert_eq!(history[1]["confirmed_by"], "operator");
}

#[test]
fn second_confirmation_returns_the_same_revision() {
    let fleet = start("twice", Layout::minimal());
    write_file(&fleet, "shares.ini", SHARES);
    let plan = fleet.apply("shares.ini", "").expect("the plan is accepted");
    let again = run_cli_json(&fleet, &["confirm", &plan]);
    assert_eq!((&again["accepted"], &again["revision"]), (&json!(true), &json!(2)));
    assert_eq!(run_cli_json(&fleet, &["export"])["revision"], 2);
}

#[test]
fn concurrent_confirmations_accept_one_plan_and_name_its_operator() {
    let fleet = start("races", Layout::minimal());
    write_file(&fleet, "a.ini", SHARES);
    write_file(&fleet, "b.ini", "[workspace agenzia]\nshare = 9\n");
    fleet.write_operator_settings("rival").expect("the settings are written");
    let first = fleet.plan("a.ini", "first").expect("the plan is made");
    let second = fleet.plan("b.ini", "second").expect("the plan is made");

    let fleet = &fleet;
    let results: Vec<(Option<i32>, String)> = std::thread::scope(|scope| {
        let confirm = |operator: &'static str, plan: String| {
            scope.spawn(move || run_cli_as(fleet, operator, &["confirm", &plan]))
        };
        let threads = [confirm("operator", first), confirm("rival", second)];
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    let mut exit_codes: Vec<Option<i32>> = results.iter().map(|(code, _)| *code).collect();
    exit_codes.sort_unstable();
    assert_eq!(exit_codes, [Some(0), Some(3)], "{results:?}");
    let refused = results.iter().find(|(code, _)| *code == Some(3)).expect("one plan is refused");
    assert!(refused.1.contains("confirmed by"), "{refused:?}");
    assert_eq!(run_cli_json(fleet, &["export"])["revision"], 2);
}

#[test]
fn confirmation_succeeds_after_lost_platform_responses() {
    let fleet = start("lost_answer", Layout::minimal());
    write_file(&fleet, "shares.ini", SHARES);
    let plan = fleet.plan("shares.ini", "").expect("the plan is made");
    // The changed chunks are written first, then the root is swapped.
    for lost in [1, 3] {
        let fault = json!({ "lose_answers": lost });
        fleet.put("store", "/standin/fault", &fault).expect("the fault is set");
        let (code, text) = run_cli_as(&fleet, "operator", &["confirm", &plan]);
        assert!(matches!(code, Some(0 | 4)), "{code:?} {text}");
    }
    fleet.put("store", "/standin/fault", &json!({})).expect("the fault ends");

    let again = run_cli_json(&fleet, &["confirm", &plan]);
    assert_eq!((&again["accepted"], &again["revision"]), (&json!(true), &json!(2)));
}

#[test]
fn rejected_intents_report_line_and_key() {
    let fleet = start("refusals", Layout::minimal());
    let cases = [
        ("[workspace agenzia]\n\nshare = many\n", ":3: 'share' in [workspace agenzia]"),
        ("[workspace agenzia]\nshares = 3\n", ":2: 'shares' in [workspace agenzia]"),
        ("[tenant agenzia]\n", ":1: [tenant agenzia]"),
        ("[upstream new]\nmodel = profile-writer\n", "'data-centre' in [upstream new]"),
        ("[workspace agenzia]\nshare = 2\n", "the intent changes nothing"),
        ("[remove model profile-writer]\n", "names unknown model/profile-writer"),
    ];
    for (intent, expected) in cases {
        write_file(&fleet, "wrong.ini", intent);
        let path = fleet.dir.join("wrong.ini").display().to_string();
        let (code, text) = run_cli_as(&fleet, "operator", &["plan", &path]);
        assert_eq!(code, Some(2), "{text}");
        assert!(text.contains(expected), "{text} does not contain {expected}");
    }
}

#[test]
fn new_operator_and_restarted_nodes_use_the_stored_configuration() {
    let mut fleet = start("takeover", Layout::default());
    write_file(&fleet, "shares.ini", SHARES);
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
    fleet.write_operator_settings("successor").expect("the settings are written");

    let (code, text) = run_cli_as(&fleet, "successor", &["status", "--wait-s", "16"]);
    assert_eq!(code, Some(0), "{text}");
    let router = fleet.layout.router_names().remove(0);
    block_on(async {
        let response = request_stream(&fleet.router_url(&router), "after the takeover", 6).await;
        response.expect("the restarted fleet serves");
    });
    let history = run_cli_json(&fleet, &["history"]);
    assert_eq!(history.as_array().map(Vec::len), Some(2));
    let exported = fleet.run_cli(&["export"]).expect("the command succeeds");
    write_file(&fleet, "exported.ini", &exported);
    let path = fleet.dir.join("exported.ini").display().to_string();
    let (_, text) = run_cli_as(&fleet, "successor", &["plan", &path]);
    assert!(text.contains("the intent changes nothing"), "{text}");
}

#[test]
fn data_centre_is_taken_out_and_put_back() {
    let fleet = start("out_and_back", Layout::default());
    let serving = |expected: bool| {
        // The exit code is ignored, because it reports nodes that are behind.
        let (_, text) = run_cli_as(&fleet, "operator", &["--json", "status"]);
        let status: Value = serde_json::from_str(&text).expect("the output is JSON");
        let torino = ["torino-e1", "torino-e2", "torino-s1"];
        torino.iter().all(|name| status["upstreams"][name]["serving"] == expected)
    };
    for (state, expected) in [("out", false), ("in", true)] {
        let plan = run_cli_json(&fleet, &["data-centre", state, "torino"]);
        fleet
            .run_cli(&["confirm", plan["id"].as_str().expect("the plan has an ID")])
            .expect("the plan is accepted");
        let is_in_force = block_on(eventually(Duration::from_secs(3), async || serving(expected)));
        assert!(is_in_force, "torino is not {state}");
    }
}

#[test]
fn status_reports_nodes_that_are_behind() {
    let mut fleet = start("behind", Layout::default());
    fleet.signal("torino-r2", Signal::Stop).expect("the router pauses");
    write_file(&fleet, "shares.ini", SHARES);
    fleet.apply("shares.ini", "").expect("the plan is accepted");
    let (code, text) = run_cli_as(&fleet, "operator", &["status", "--wait-s", "3"]);
    assert_eq!(code, Some(5), "{text}");
    assert!(text.contains("behind: torino-r2"), "{text}");

    fleet.signal("torino-r2", Signal::Continue).expect("the router resumes");
    let (code, text) = run_cli_as(&fleet, "operator", &["status", "--wait-s", "16"]);
    assert_eq!(code, Some(0), "{text}");
}

#[test]
fn unknown_plan_is_refused() {
    let fleet = start_unconfigured("unknown_plan", Layout::minimal());
    let (code, text) = run_cli_as(&fleet, "operator", &["confirm", "0123456789ab"]);
    assert_eq!(code, Some(1), "{text}");
}
