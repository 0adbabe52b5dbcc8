//! Bad input gets a clear error that names the field and says what is accepted.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::Chat;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use serde_json::Value;
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cranberryvalved");

fn start() -> Cluster {
    let settings = ClusterSettings { vms: 1, ..ClusterSettings::default() };
    Cluster::start_with(Path::new(PROGRAM), settings, |config| {
        config.customers[1].classes = vec![config::REPLAN.into()];
    })
    .expect("the deployment starts")
}

fn good() -> Chat {
    Chat::new(&config::api_key(0), config::TIDE_CHECK, config::MODEL, "bar?")
}

/// Status, field and message of the answer to a request that `change` has spoilt.
fn answer(vm: SocketAddr, change: impl FnOnce(&mut Chat)) -> (u16, Value, String) {
    let mut chat = good();
    change(&mut chat);
    let reply = client::chat(vm, &chat);
    let error = reply.error["error"].clone();
    let message = error["message"].as_str().unwrap_or_default().to_owned();
    (reply.status, error["param"].clone(), message)
}

#[test]
fn spoilt_requests_name_their_field() {
    let cluster = start();
    let vm = cluster.vms[0].callers;
    let (status, _, message) = answer(vm, |it| it.key = "nobody".to_owned());
    assert_eq!((status, &*message), (401, "the API key is not known"));
    let (status, param, message) = answer(vm, |it| it.class = "unheard-of".to_owned());
    assert_eq!((status, param), (400, json!("x-service-class")));
    assert!(message.contains("may use: tide-check, booking, commentary, replan"), "{message}");
    let (status, param, message) = answer(vm, |it| it.key = config::api_key(1));
    assert_eq!((status, param), (403, json!("x-service-class")));
    assert!(message.contains("it may use: replan"), "{message}");
    let (status, param, message) = answer(vm, |it| it.body["model"] = json!("gone-7b"));
    assert_eq!((status, param), (400, json!("model")));
    assert!(message.contains("known models: harbour-7b"), "{message}");
    for (field, value) in [
        ("messages", json!([])),
        ("messages", json!("text")),
        ("stream", json!(1)),
        ("model", json!(7)),
    ] {
        let (status, param, _) = answer(vm, |it| it.body[field] = value);
        assert_eq!((status, param), (400, json!(field)));
    }
    let (status, param, _) = answer(vm, |it| it.body = json!([1, 2]));
    assert_eq!((status, param), (400, json!("body")));
    let big = "x".repeat(5 * 1024 * 1024);
    let (status, ..) = answer(vm, |it| it.body["messages"][0]["content"] = json!(big));
    assert_eq!(status, 413);
    assert!(client::chat(vm, &good()).complete, "the VM serves on");
}

#[test]
fn unknown_paths_and_methods_are_told() {
    let cluster = start();
    let vm = cluster.vms[0].callers;
    let key = config::api_key(0);
    assert_eq!(client::plain(vm, &key, "GET", "/nowhere", "", "").status, 404);
    assert_eq!(client::plain(vm, &key, "POST", "/v1/models", "", "").status, 405);
    assert_eq!(client::plain(vm, &key, "GET", "/v1/models", "", "").status, 200);
    assert_eq!(client::get_status(cluster.vms[0].operators, "/dump"), Some(401));
}

#[test]
fn wrong_settings_are_reported_together() {
    let output = Command::new(PROGRAM)
        .env_clear()
        .args(["--vm", "a b", "--peer-address", "localhost:1", "--drain-ms", "soon"])
        .output()
        .expect("the daemon starts");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for flag in
        ["--vm:", "--failure-domain:", "--peer-address:", "--operator-token:", "--drain-ms:"]
    {
        assert_eq!(text.matches("localhost:1").count(), 1, "one fault is reported twice:\n{text}");
        assert!(text.contains(flag), "{flag} is not named in:\n{text}");
    }
}
