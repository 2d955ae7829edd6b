//! Passes the commit of the sources to the compiler, so that the log of a daemon names it.

use std::path::Path;
use std::process::Command;

/// What the build depends on, besides the state of the repository.
const SOURCES: [&str; 5] = ["build.rs", "src", "crates", "platform", "Cargo.lock"];
/// Changes whenever another commit is checked out.
const CHECKOUTS: &str = ".git/logs/HEAD";

fn main() {
    // A path that does not exist would count as changed at each build.
    let paths = SOURCES.iter().chain([&CHECKOUTS]).filter(|path| Path::new(path).exists());
    paths.for_each(|path| println!("cargo::rerun-if-changed={path}"));
    println!("cargo::rustc-env=CICADASHIFT_COMMIT={}", commit());
}

/// Returns the commit, with a suffix if files were changed since, or `unknown` outside of a
/// repository.
fn commit() -> String {
    let Some(commit) = git(&["rev-parse", "--short=12", "HEAD"]) else {
        return "unknown".to_string();
    };
    match git(&["status", "--porcelain", "--untracked-files=no"]) {
        Some(changes) if changes.is_empty() => commit,
        _ => format!("{commit}-modified"),
    }
}

fn git(args: &[&str]) -> Option<String> {
    let output = Command::new("git").args(args).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_string())
}
