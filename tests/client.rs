//! Tests the operators' commands through the command line.

mod common;

use cicadashift_testkit::mesh::{Mesh, NOTICES_CONFIG, SELECT_ALL};
use cicadashift_testkit::upstream::Behaviour;
use common::{run, spec};
use std::path::PathBuf;
use std::process::Command;

/// The temporary directory of one test and the addresses that its commands use.
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
        std::fs::create_dir_all(&dir).expect("cannot create the temporary directory");
        Operator { dir, platform: mesh.platform.addr.to_string(), daemon }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("cannot write a temporary file");
        path.display().to_string()
    }

    /// Runs a command line; returns the line, its output and its exit code. The temporary
    /// directory is replaced by `DIR`.
    async fn output_of(&self, line: &str) -> String {
        let args: Vec<String> = line.split(' ').map(str::to_string).collect();
        let (platform, daemon) = (self.platform.clone(), self.daemon.clone());
        let out = smol::unblock(move || {
            Command::new(env!("CARGO_BIN_EXE_cicadashift"))
                .args(args)
                .env("CICADASHIFT_PLATFORM", platform)
                .env("CICADASHIFT_DAEMON", daemon)
                .output()
                .expect("cannot start the program")
        })
        .await;
        let (stdout, stderr) =
            (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
        let text = format!("{stdout}{stderr}").replace(&self.dir.display().to_string(), "DIR");
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
fn operator_changes_and_lists_configuration() {
    run(async {
        let mesh = Mesh::start(spec(&["a"], 2), |node| {
            Some(Behaviour::plain("notice", &format!("notice-{}", node.name)))
        })
        .await;
        assert!(mesh.fleet.wait_service("notice", cicadashift_testkit::mesh::WAIT_TIMEOUT).await);
        // The roster names the service a moment after its upstreams are announced; `accept`
        // waits until it does.
        mesh.accept(NOTICES_CONFIG).await.expect("the configuration is accepted");
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
            out.push_str(&op.output_of(line).await);
        }
        // Lines about the progress of proxies depend on the speed of the machine and are
        // left out.
        let is_deterministic = |line: &&str| {
            let of_one_proxy = line.starts_with("  a-") && !line.contains("gains");
            !of_one_proxy && !line.contains("proxies run it")
        };
        let steady: Vec<&str> = out.lines().filter(is_deterministic).collect();
        insta::assert_snapshot!(steady.join("\n"));
    });
}

#[test]
fn status_and_record_show_deliveries() {
    run(async {
        let mesh = Mesh::serving(spec(&["a", "b"], 1)).await;
        let op = Operator::new(&mesh);
        let deadline = std::time::Instant::now() + cicadashift_testkit::mesh::WAIT_TIMEOUT;
        while mesh.platform.keys("cicadashift/record/").len() < 2 {
            assert!(
                std::time::Instant::now() < deadline,
                "the delivery record was not written in time"
            );
            smol::Timer::after(std::time::Duration::from_millis(100)).await;
        }
        let rows = mesh.platform.keys("cicadashift/record/");
        let unique: std::collections::BTreeSet<_> = rows.iter().collect();
        assert_eq!(rows.len(), unique.len());
        let status = op.output_of("status").await;
        assert!(status.contains("a: 1 of 1 run it, 1 answered"), "{status}");
        let page = op.dir.join("record.html");
        let record = op.output_of(&format!("record --html {}", page.display())).await;
        assert!(record.contains("kept the promise of 7 s"), "{record}");
        let html = std::fs::read_to_string(&page).expect("cannot read the page");
        assert!(html.contains("<svg") && html.contains("</html>"));
    });
}
