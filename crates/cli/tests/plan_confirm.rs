//! Runs the command line against real daemons.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::vm::OPERATOR_TOKEN;

/// A cluster and a folder in which the command line runs.
struct Operator {
    cluster: Cluster,
    folder: PathBuf,
}

impl Operator {
    fn new(name: &str) -> Self {
        let settings = ClusterSettings { engines: 6, ..ClusterSettings::default() };
        let cluster = Cluster::start(&daemon(), settings).expect("the cluster starts");
        let folder =
            std::env::temp_dir().join(format!("cranberryvalve-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder for plans can be created");
        Self { cluster, folder }
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let vms: Vec<String> =
            self.cluster.vms.iter().map(|it| it.operator_address.to_string()).collect();
        Command::new(env!("CARGO_BIN_EXE_cranberryvalve"))
            .current_dir(&self.folder)
            .env("CRANBERRYVALVE_VMS", vms.join(","))
            .env("CRANBERRYVALVE_OPERATOR_TOKEN", OPERATOR_TOKEN)
            .env("CRANBERRYVALVE_OPERATOR", "ana")
            .args(arguments)
            .output()
            .expect("the command line can be started")
    }
}

impl Drop for Operator {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the path of the daemon, which is built into the same folder.
fn daemon() -> PathBuf {
    let cli = Path::new(env!("CARGO_BIN_EXE_cranberryvalve"));
    cli.with_file_name("cranberryvalved")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn upstream_is_drained_after_confirmation() {
    let operator = Operator::new("drain");
    let planned = operator.run(&["drain", "engine-1", "--out", "plan.json"]);
    assert_eq!(planned.status.code(), Some(0), "{}", stderr(&planned));
    assert!(stdout(&planned).contains("~ upstream engine-1 drained: false -> true"));
    assert!(stdout(&operator.run(&["status"])).contains("version 1 "));
    let confirmed = operator.run(&["confirm", "plan.json"]);
    assert_eq!(stdout(&confirmed), "applied as version 2\n", "{}", stderr(&confirmed));
    let again = operator.run(&["confirm", "plan.json"]);
    assert_eq!(stdout(&again), "applied as version 2\n");
    assert!(stdout(&operator.run(&["history"])).lines().count() == 3);
}

#[test]
fn status_never_lacks_the_build_of_a_vm_that_responds() {
    let operator = Operator::new("builds");
    let dump = operator.cluster.vms[0].dump();
    let build = dump["member_builds"][0]["build"].as_str().expect("the name of a build");
    let status = stdout(&operator.run(&["status"]));
    let shown: Vec<Option<&str>> =
        status.lines().map(|it| it.split_once(" build ").map(|it| it.1)).collect();
    let of_vms = shown.get(..operator.cluster.vms.len()).unwrap_or_default();
    assert_eq!(of_vms, vec![Some(build); operator.cluster.vms.len()], "{status}");
}

#[test]
fn status_without_a_reachable_vm_fails() {
    let mut operator = Operator::new("unreachable");
    operator.cluster.vms.iter_mut().for_each(cranberryvalve_standins::vm::Vm::kill);
    let status = operator.run(&["status"]);
    assert_eq!(status.status.code(), Some(6), "{}", stdout(&status));
    assert!(!stdout(&status).contains("all agree"), "{}", stdout(&status));
}

#[test]
fn unacknowledged_hazard_is_refused() {
    let operator = Operator::new("hazard");
    let planned = operator.run(&["drain", "berth-0", "--out", "plan.json"]);
    assert!(stdout(&planned).contains("class-unserved:booking:berth-api"));
    let refused = operator.run(&["confirm", "plan.json"]);
    assert_eq!(refused.status.code(), Some(3));
    assert!(stderr(&refused).contains("class-unserved:booking:berth-api"));
}

#[test]
fn error_names_the_invalid_field() {
    let operator = Operator::new("field");
    std::fs::write(operator.folder.join("bad.toml"), "[[class]]\nid = \"a\"\ntier = 99\n").unwrap();
    let refused = operator.run(&["plan", "bad.toml", "--out", "plan.json"]);
    assert_eq!(refused.status.code(), Some(3));
    assert!(stderr(&refused).contains("class[0].tier: 99 is too large; 0 to 15 are accepted"));
}

#[test]
fn stale_plan_exits_with_four() {
    let operator = Operator::new("stale");
    operator.run(&["drain", "engine-0", "--out", "first.json"]);
    operator.run(&["drain", "engine-1", "--out", "second.json"]);
    assert_eq!(operator.run(&["confirm", "first.json"]).status.code(), Some(0));
    let stale = operator.run(&["confirm", "second.json"]);
    assert_eq!(stale.status.code(), Some(4));
    assert!(stdout(&stale).contains("came first; version 2 is in force"));
}
