//! Invalid input gets an error that names the field and the accepted values.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
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

fn valid_chat() -> ChatRequest {
    ChatRequest::new(&config::api_key(0), config::TIDE_CHECK, config::MODEL, "bar?")
}

/// Sends a valid request modified by `change`; returns status, field and message of the response.
fn error_of(vm: SocketAddr, change: impl FnOnce(&mut ChatRequest)) -> (u16, Value, String) {
    let mut chat = valid_chat();
    change(&mut chat);
    let response = client::chat(vm, &chat);
    let error = response.error["error"].clone();
    let message = error["message"].as_str().unwrap_or_default().to_owned();
    (response.status, error["param"].clone(), message)
}

#[test]
fn invalid_requests_name_the_field() {
    let cluster = start();
    let vm = cluster.vms[0].caller_address;
    let (status, _, message) = error_of(vm, |it| it.key = "nobody".to_owned());
    assert_eq!((status, &*message), (401, "the API key is not known"));
    let (status, param, message) = error_of(vm, |it| it.class = "unheard-of".to_owned());
    assert_eq!((status, param), (400, json!("x-service-class")));
    assert!(message.contains("may use: tide-check, booking, commentary, replan"), "{message}");
    let (status, param, message) = error_of(vm, |it| it.key = config::api_key(1));
    assert_eq!((status, param), (403, json!("x-service-class")));
    assert!(message.contains("it may use: replan"), "{message}");
    let (status, param, message) = error_of(vm, |it| it.body["model"] = json!("gone-7b"));
    assert_eq!((status, param), (400, json!("model")));
    assert!(message.contains("known models: harbour-7b"), "{message}");
    for (field, value) in [
        ("messages", json!([])),
        ("messages", json!("text")),
        ("stream", json!(1)),
        ("model", json!(7)),
    ] {
        let (status, param, _) = error_of(vm, |it| it.body[field] = value);
        assert_eq!((status, param), (400, json!(field)));
    }
    let (status, param, _) = error_of(vm, |it| it.body = json!([1, 2]));
    assert_eq!((status, param), (400, json!("body")));
    let big = "x".repeat(5 * 1024 * 1024);
    let (status, ..) = error_of(vm, |it| it.body["messages"][0]["content"] = json!(big));
    assert_eq!(status, 413);
    assert!(client::chat(vm, &valid_chat()).complete, "the VM stopped serving valid requests");
}

#[test]
fn unknown_paths_and_methods_are_rejected() {
    let cluster = start();
    let vm = cluster.vms[0].caller_address;
    let key = config::api_key(0);
    assert_eq!(client::call_service(vm, &key, "GET", "/nowhere", "", "").status, 404);
    assert_eq!(client::call_service(vm, &key, "POST", "/v1/models", "", "").status, 405);
    assert_eq!(client::call_service(vm, &key, "GET", "/v1/models", "", "").status, 200);
    assert_eq!(client::get_status(cluster.vms[0].operator_address, "/dump"), Some(401));
}

#[test]
fn stop_without_time_for_responses_is_not_accepted() {
    let output = Command::new(PROGRAM)
        .args(["--drain-ms", "1000", "--stop-ms", "2999"])
        .output()
        .expect("the daemon starts");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("--stop-ms: at least 3000 is needed"), "{text}");
}

#[test]
fn invalid_settings_are_reported_together() {
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
        assert_eq!(text.matches("localhost:1").count(), 1, "an error is reported twice:\n{text}");
        assert!(text.contains(flag), "{flag} is not named in:\n{text}");
    }
}
