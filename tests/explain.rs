//! `cicadashift explain` on logs of four daemons, in `testdata/logs`.

use std::path::PathBuf;
use std::process::Command;

/// Returns the output of the command, and its exit code.
fn explain(request: &str) -> String {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("testdata/logs");
    let mut files: Vec<PathBuf> = std::fs::read_dir(dir)
        .expect("the logs are there")
        .map(|entry| entry.expect("a readable folder").path())
        .collect();
    files.sort();
    let output = Command::new(env!("CARGO_BIN_EXE_cicadashift"))
        .args(["explain", request])
        .args(files)
        .output()
        .expect("the program runs");
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    format!("{stdout}{stderr}exit code {}", output.status.code().unwrap_or(-1))
}

#[test]
fn a_refused_request_is_explained() {
    // Four upstreams in a row had no slot free in time, and the call was refused.
    insta::assert_snapshot!(explain("b3e1683b30fc50c9"));
}

#[test]
fn a_request_that_ran_out_of_time_is_explained() {
    // The first upstream was full; the second had worked on the call for 394 ms when the
    // route's deadline passed.
    insta::assert_snapshot!(explain("bf2eb455101939b1"));
}

#[test]
fn a_request_that_is_in_no_log_is_reported() {
    insta::assert_snapshot!(explain("0000000000000000"));
}
