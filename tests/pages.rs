//! The pages in `docs/` list every setting and metric, and name only tests, scripts and
//! measurements that exist.

use cicadashift::settings::Settings;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

/// Collects the Rust source files below a directory.
fn sources(dir: &Path, out: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.is_dir() && !path.ends_with("target") {
            sources(&path, out);
        } else if path.extension().is_some_and(|ext| ext == "rs") {
            out.push(path);
        }
    }
}

fn all_source() -> String {
    let mut files = Vec::new();
    for dir in ["src", "crates", "platform", "spec", "tests"] {
        sources(&root().join(dir), &mut files);
    }
    files.iter().map(|path| read(path)).collect()
}

#[test]
fn every_setting_is_on_its_page() {
    let page = read(&root().join("docs/SETTINGS.md"));
    let example = serde_json::json!({
        "host": "h", "failure_domain": "d", "callers": "127.0.0.1:1", "upstreams": "127.0.0.1:2",
        "mesh": "127.0.0.1:3", "platform": [], "witnesses": ["h"], "mesh_key": "k"
    });
    let settings: Settings =
        serde_json::from_value(example).expect("settings from the required fields");
    let all = serde_json::to_value(settings).expect("settings serialize to JSON");
    let mut missing = Vec::new();
    for (name, value) in all.as_object().expect("settings are a JSON object") {
        let nested = value
            .as_object()
            .filter(|_| ["limits", "log", "retries", "rollouts"].contains(&name.as_str()));
        let names: Vec<String> = match nested {
            Some(fields) => fields.keys().map(|field| format!("{name}.{field}")).collect(),
            None => vec![name.clone()],
        };
        missing.extend(names.into_iter().filter(|name| !page.contains(&format!("| `{name}` |"))));
    }
    assert_eq!(missing, Vec::<String>::new());
}

#[test]
fn every_metric_is_on_its_page() {
    let page = read(&root().join("docs/METRICS.md"));
    let source = all_source();
    let mut missing = Vec::new();
    for call in ["metrics.incr(\"", "metrics.time(\"", "metrics.gauge(\"", "metrics.count(\""] {
        for rest in source.split(call).skip(1) {
            let name = rest.split('"').next().unwrap_or_default();
            if !name.is_empty() && !page.contains(&format!("`{name}`")) {
                missing.push(name.to_string());
            }
        }
    }
    assert_eq!(missing, Vec::<String>::new());
}

#[test]
fn every_proof_exists() {
    let page = read(&root().join("docs/PROOF.md"));
    let source = all_source();
    let mut missing = Vec::new();
    for name in page.split('`').skip(1).step_by(2) {
        let exists = match name {
            name if name.ends_with(".scn") => root().join("testdata").join(name).exists(),
            name if name.ends_with(".json") => root().join("docs/measurements").join(name).exists(),
            name if name.contains("::") => {
                let function = name.rsplit("::").next().unwrap_or_default();
                source.contains(&format!("fn {function}("))
            }
            _ => true,
        };
        if !exists {
            missing.push(name.to_string());
        }
    }
    assert_eq!(missing, Vec::<String>::new());
}
