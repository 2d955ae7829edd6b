//! The operators' commands, as an operator types them.

mod common;

use cicadashift_testkit::mesh::{Mesh, NOTICES_CONFIG, SELECT_ALL};
use cicadashift_testkit::upstream::Behaviour;
use common::{run, spec};
use std::path::PathBuf;
use std::process::Command;

/// A folder for the files of one test, and what commands need.
struct Operator {
    dir: PathBuf,
    platform: String,
    daemon: String,
}

impl Operator {
    fn new(mesh: &Mesh) -> Operator {
        let daemon = mesh.fleet.daemons[0].upstreams.to_string();
        let name = format!("cicadashift-client-{}", daemon.replace([':', '.'], "-"));
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        Operator { dir, platform: mesh.platform.addr.to_string(), daemon }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("a temporary file");
        path.display().to_string()
    }

    /// Runs a command line; returns its exit code and what it says.
    async fn says(&self, line: &str) -> String {
        let args: Vec<String> = line.split(' ').map(str::to_string).collect();
        let (platform, daemon) = (self.platform.clone(), self.daemon.clone());
        let out = smol::unblock(move || {
            Command::new(env!("CARGO_BIN_EXE_cicadashift"))
                .args(args)
                .env("CICADASHIFT_PLATFORM", platform)
                .env("CICADASHIFT_DAEMON", daemon)
                .output()
                .expect("the program starts")
        })
        .await;
        let (said, error) =
            (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
        let text = format!("{said}{error}").replace(&self.dir.display().to_string(), "DIR");
        let shown = line.replace(&self.dir.display().to_string(), "DIR");
        format!("$ {shown}\n{text}exit {}\n\n", out.status.code().unwrap_or(-1))
    }
}

impl Drop for Operator {
    fn drop(&mut self) {
        let _best_effort = std::fs::remove_dir_all(&self.dir);
    }
}

#[test]
fn an_operator_changes_and_looks() {
    run(async {
        let mesh = Mesh::start(spec(&["a"], 2), |node| {
            Some(Behaviour::plain("notice", &format!("notice-{}", node.name)))
        })
        .await;
        assert!(mesh.fleet.wait_service("notice", cicadashift_testkit::mesh::WAIT_TIMEOUT).await);
        // Accepting waits until the roster names the service.
        mesh.accept(NOTICES_CONFIG).await.expect("accepted");
        let op = Operator::new(&mesh);
        let selector = op.file("selector.json", SELECT_ALL);
        let config = op.file("config.json", NOTICES_CONFIG);
        let unknown = op.file("unknown.json", &NOTICES_CONFIG.replace("\"notice\"", "\"nobody\""));
        let field = op.file("field.json", &NOTICES_CONFIG.replace("\"id\"", "\"name\""));
        let text = op.file("text.json", "hello");
        let lines = [
            format!("selector set {selector} --dry-run"),
            format!("selector set {selector}"),
            "selector list".to_string(),
            format!("config accept {config} --wait"),
            "config list".to_string(),
            "config show nothing".to_string(),
            format!("config accept {unknown}"),
            format!("config accept {field}"),
            format!("config accept {text}"),
            "config accept nowhere.json".to_string(),
            "label set a-0 canary=yes".to_string(),
            "label set a-0 canary".to_string(),
            "label list".to_string(),
            "label remove a-0 canary".to_string(),
            "label remove a-0 canary".to_string(),
            "config withdraw notices --dry-run".to_string(),
            "config withdraw notices --json".to_string(),
            "config withdraw notices".to_string(),
            "selector remove everywhere".to_string(),
            "config list --json".to_string(),
            "config fetch".to_string(),
        ];
        let mut out = String::new();
        for line in &lines {
            out.push_str(&op.says(line).await);
        }
        // How far each proxy was when it looked first depends on the machine.
        let progress = |line: &&str| {
            let of_one_proxy = line.starts_with("  a-") && !line.contains("gains");
            !of_one_proxy && !line.contains("proxies run it")
        };
        let steady: Vec<&str> = out.lines().filter(progress).collect();
        insta::assert_snapshot!(steady.join("\n"));
    });
}

#[test]
fn status_and_record_tell_what_was_delivered() {
    run(async {
        let mesh = Mesh::serving(spec(&["a", "b"], 1)).await;
        let op = Operator::new(&mesh);
        let until = std::time::Instant::now() + cicadashift_testkit::mesh::WAIT_TIMEOUT;
        while mesh.platform.keys("cicadashift/record/").len() < 2 {
            assert!(std::time::Instant::now() < until, "the record is written");
            smol::Timer::after(std::time::Duration::from_millis(100)).await;
        }
        let rows = mesh.platform.keys("cicadashift/record/");
        let unique: std::collections::BTreeSet<_> = rows.iter().collect();
        assert_eq!(rows.len(), unique.len());
        let status = op.says("status").await;
        assert!(status.contains("a: 1 of 1 run it, 1 answered"), "{status}");
        let page = op.dir.join("record.html");
        let record = op.says(&format!("record --html {}", page.display())).await;
        assert!(record.contains("kept the promise of 7 s"), "{record}");
        let html = std::fs::read_to_string(&page).expect("the page is written");
        assert!(html.contains("<svg") && html.contains("</html>"));
    });
}
