//! Drives the operator program against the stand-in platform.

use std::{fs, net::SocketAddr, path::PathBuf, process::Output};

use poplarbarrow::{
    platform::{Memory, memory::Faults},
    standin,
};
use test_case::test_case;
use tokio::{net::TcpListener, process::Command};
use tokio_util::sync::{CancellationToken, DropGuard};

const VALID: &str = r#"{"centres": {"a": {"region": "r"}}, "services": {"orders": {}}}"#;
const CHANGED: &str =
    r#"{"centres": {"a": {"region": "r"}}, "services": {"orders": {"deadline_ms": 5}}}"#;

async fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_poplarbarrow")).args(args).output().await.unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Returns the one line of a failure.
fn failure(output: &Output) -> String {
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let text = String::from_utf8(output.stderr.clone()).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().into()
}

async fn platform() -> (Memory, String, DropGuard) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let (memory, stop) = (Memory::new(), CancellationToken::new());
    tokio::spawn(standin::platform::serve(listener, memory.clone(), stop.clone()));
    (memory, address.to_string(), stop.drop_guard())
}

/// Guards against a command whose help does not show how to call it.
#[test_case(&["--help"])]
#[test_case(&["check", "--help"])]
#[test_case(&["diff", "--help"])]
#[test_case(&["apply", "--help"])]
#[test_case(&["status", "--help"])]
#[tokio::test]
async fn help_shows_an_example(args: &[&str]) {
    let output = run(args).await;
    assert!(output.status.success());
    assert!(stdout(&output).contains("Example: poplarbarrow "), "{}", stdout(&output));
}

/// Guards against a check that stops at the first problem or succeeds despite one.
#[tokio::test]
async fn check_prints_every_problem() {
    let valid = run(&["check", &file("check-valid.json", VALID)]).await;
    assert!(valid.status.success());
    assert_eq!(stdout(&valid), "valid: 1 data centres, 1 services\n");
    let text = r#"{"centres": {}, "services": {"A": {}, "b": {"retry_percent": 101}}, "x": 1}"#;
    let invalid = run(&["check", &file("check-invalid.json", text)]).await;
    assert!(failure(&invalid).contains("3 problems"));
    let stdout = stdout(&invalid);
    for path in ["services.A: ", "services.b.retry_percent: ", "x: "] {
        assert!(stdout.lines().any(|line| line.starts_with(path)), "{stdout}");
    }
    assert!(failure(&run(&["check", "no-such-file.json"]).await).contains("no-such-file.json"));
}

/// Guards against an operator who cannot see a change first, or overwrites another operator's change.
#[tokio::test]
async fn diff_and_apply_follow_the_revision() {
    let (_, address, _stop) = platform().await;
    let (valid, changed) = (file("apply-valid.json", VALID), file("apply-changed.json", CHANGED));
    let apply = |file, expect| run_apply(file, &address, expect);
    let first = apply(&valid, "0").await;
    assert_eq!(stdout(&first), "applied: revision 1, 3 parts written\n", "{first:?}");
    let diff = run(&["diff", &changed, "--platform", &address]).await;
    let change = "~ services.orders.deadline_ms: 2000 -> 5\n";
    assert_eq!(stdout(&diff), format!("revision 1, 1 changes\n{change}"));
    let json = run(&["diff", &changed, "--platform", &address, "--json"]).await;
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!((&json["revision"], &json["changes"][0]["to"]), (&1.into(), &5.into()));
    assert_eq!(stdout(&apply(&changed, "1").await), "applied: revision 2, 1 parts written\n");
    let lost = apply(&valid, "1").await;
    assert_eq!(stdout(&lost), change);
    assert!(failure(&lost).contains("revision 2 is in force"));
}

/// Guards against a mistaken command line that exits with success.
#[test_case(&[])]
#[test_case(&["apply", "x.json"])]
#[test_case(&["apply", "x.json", "--expect", "y", "--platform", "127.0.0.1:1"])]
#[test_case(&["no-such-command"])]
#[tokio::test]
async fn a_mistaken_command_line_exits_with_2(args: &[&str]) {
    let output = run(args).await;
    assert_eq!((output.status.code(), stdout(&output).as_str()), (Some(2), ""));
    assert_eq!(String::from_utf8(output.stderr).unwrap().lines().count(), 1);
}

/// Guards against an outage that ends in a success or a panic.
#[tokio::test]
async fn an_outage_is_one_line() {
    let (memory, address, _stop) = platform().await;
    memory.set_faults(Faults { outage: true, ..Faults::default() });
    let failed = run_apply(&file("outage.json", VALID), &address, "0").await;
    assert!(failure(&failed).contains("committed nothing"), "{failed:?}");
}

async fn run_apply(file: &str, address: &str, expect: &str) -> Output {
    run(&["apply", file, "--platform", address, "--expect", expect]).await
}
