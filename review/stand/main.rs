//! Runs one case of the review: `stand CASE FOLDER`, in the root of the repository.
//!
//! Ends with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the case runs without its disruption.

mod client;
mod drain;
mod fleet;
mod freeze;
mod http;
mod instance;
mod json;
mod pipeline;
mod record;
mod store;

use client::HOST;
use record::Record;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;

/// What a case is run with.
pub struct Setting {
    pub trouble: bool,
    /// For settings and logs.
    pub folder: PathBuf,
}

/// Returns a configuration with one route for each prefix, kind, service and time-out.
pub fn config(version: u32, routes: &[(&str, &str, &str, u32)]) -> String {
    let service = |name: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":110,\
             \"Protocol\":\"h1\",\"Tls\":false}}"
        )
    };
    let mut names: Vec<&str> = routes.iter().map(|route| route.2).collect();
    names.sort_unstable();
    names.dedup();
    let services: Vec<String> = names.into_iter().map(service).collect();
    let paths: Vec<String> = routes
        .iter()
        .map(|(prefix, kind, service, timeout_ms)| {
            format!(
                "{{\"Name\":\"r{}\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutMs\":\
                 {timeout_ms},\"TargetLatencyMs\":400,\"Priority\":1,\"Service\":\"{service}\",\
                 \"MaxAttempts\":2}}",
                prefix.replace('/', "")
            )
        })
        .collect();
    format!(
        "{{\"Version\":\"r{version}\",\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"VirtualHosts\":[{{\"Host\":\"{HOST}\",\"Paths\":[{}]}}]}}",
        services.join(","),
        paths.join(",")
    )
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("stand CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let work = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let (Ok(()), Ok(record)) = (std::fs::create_dir_all(&work), record) else {
        eprintln!("the record or the temporary folder cannot be written");
        exit(2);
    };
    let record = Arc::new(record);
    let setting = Setting { trouble, folder: work.clone() };
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "drain" => drain::run(&setting, &record),
        "pipeline" => pipeline::run(&setting, &record),
        "freeze" => freeze::run(&setting, &record),
        _ => Err(format!("no case {case}")),
    });
    let _left_behind = std::fs::remove_dir_all(&work);
    match result {
        Ok(Ok(true)) => {
            record.say("the rule held");
            exit(0);
        }
        Ok(Ok(false)) => {
            record.say("the rule was broken");
            exit(1);
        }
        Ok(Err(why)) => record.say(&format!("the case could not run: {why}")),
        Err(_) => record.say("the case could not run: a stand-in failed"),
    }
    exit(2);
}
