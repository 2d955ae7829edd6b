//! The status of organisations and their quotas, summed over daemons.

use super::{OperatorError, fleet};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

/// Status of one organisation, summed over the daemons that answered.
#[derive(Clone, Debug, Default)]
struct Totals {
    limit: Option<(u64, u64)>,
    priority: u64,
    admitted_per_s: f64,
    /// Calls per second as counted by keepers. While the mesh is partitioned, there may be
    /// several keepers, whose counts are added.
    offered_per_s: f64,
    keepers: Vec<String>,
    /// Smallest share of the organisation's calls that any of the daemons admits.
    least_share: f64,
    by_domain: BTreeMap<String, f64>,
    daemons: u64,
}

/// Returns the status of all organisations. It comes from the first of these daemons that
/// answers, which queries all others.
///
/// # Errors
///
/// Returns [`OperatorError::NoDaemon`] where none answers.
pub async fn list(daemons: &[SocketAddr]) -> Result<Value, OperatorError> {
    let hosts = fleet::fetch_json(daemons, "/v1/organisations").await?;
    let totals = total_by_name(&hosts);
    Ok(totals.iter().map(|(name, total)| total.to_json(name)).collect::<Vec<_>>().into())
}

/// Returns the status of one organisation.
///
/// # Errors
///
/// Returns [`OperatorError::NotFound`] where no daemon knows the name, and
/// [`OperatorError::NoDaemon`] where none answers.
pub async fn show(daemons: &[SocketAddr], name: &str) -> Result<Value, OperatorError> {
    let list = list(daemons).await?;
    let row = list.as_array().and_then(|rows| rows.iter().find(|row| row["name"] == name));
    row.cloned().ok_or_else(|| OperatorError::NotFound(format!("organisation {name}")))
}

fn total_by_name(answer: &Value) -> BTreeMap<String, Totals> {
    let mut totals: BTreeMap<String, Totals> = BTreeMap::new();
    for host in answer["hosts"].as_array().into_iter().flatten() {
        for row in host["organisations"].as_array().into_iter().flatten() {
            let Some(name) = row["name"].as_str() else { continue };
            totals.entry(name.to_string()).or_default().add(host, row);
        }
    }
    totals
}

impl Totals {
    fn add(&mut self, host: &Value, row: &Value) {
        let text = |value: &Value| value.as_str().unwrap_or("?").to_string();
        let share = row["share"].as_f64().unwrap_or(1.0);
        let admitted = row["admitted_per_s"].as_f64().unwrap_or(0.0);
        self.least_share = if self.daemons == 0 { share } else { self.least_share.min(share) };
        self.daemons += 1;
        self.limit = row["rate_per_s"].as_u64().zip(row["burst"].as_u64());
        self.priority = row["priority"].as_u64().unwrap_or(0);
        self.admitted_per_s += admitted;
        *self.by_domain.entry(text(&host["domain"])).or_default() += admitted;
        if let Some(offered) = row["kept"]["offered_per_s"].as_f64() {
            self.offered_per_s += offered;
            self.keepers.push(text(&host["host"]));
        }
    }

    fn to_json(&self, name: &str) -> Value {
        let by_domain: BTreeMap<_, _> =
            self.by_domain.iter().map(|(domain, rate)| (domain, rate.round() as u64)).collect();
        json!({
            "name": name,
            "priority": self.priority,
            "rate_per_s": self.limit.map(|(rate, _)| rate),
            "burst": self.limit.map(|(_, burst)| burst),
            "admitted_per_s": self.admitted_per_s.round() as u64,
            "offered_per_s": self.offered_per_s.round() as u64,
            "least_share": self.least_share,
            "keepers": self.keepers,
            "admitted_per_s_by_domain": by_domain,
            "daemons": self.daemons,
        })
    }
}

/// Renders the result of [`list()`] as text, one organisation per line.
pub fn render(list: &Value) -> String {
    let rows = list.as_array().map(Vec::as_slice).unwrap_or_default();
    let mut out = format!("{} organisations\n", rows.len());
    for row in rows {
        // Writing to a string cannot fail.
        let _written = writeln!(out, "{}", summary_line(row));
    }
    out
}

/// Renders one organisation as text, with the calls per second that each failure domain
/// admits.
pub fn render_one(row: &Value) -> String {
    let mut out = format!("{}\n", summary_line(row));
    let keepers: Vec<_> =
        row["keepers"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    let counted_by =
        if keepers.is_empty() { "nobody, it is not used".into() } else { keepers.join(", ") };
    // Writing to a string cannot fail.
    let _written = writeln!(out, "  counted by {counted_by}; {} daemons answered", row["daemons"]);
    for (domain, rate) in row["admitted_per_s_by_domain"].as_object().into_iter().flatten() {
        let _written = writeln!(out, "  {domain}: {rate} a second");
    }
    out
}

fn summary_line(row: &Value) -> String {
    let name = row["name"].as_str().unwrap_or("?");
    let admitted = &row["admitted_per_s"];
    let limit = match row["rate_per_s"].as_u64() {
        Some(rate) => format!("of {rate} a second, {} at once", row["burst"]),
        None => "a second, no limit".to_string(),
    };
    let share = row["least_share"].as_f64().unwrap_or(1.0);
    let throttled = match share < 1.0 {
        true => format!(", HELD BACK to {:.0} in 100 of {}", share * 100.0, row["offered_per_s"]),
        false => String::new(),
    };
    format!("{name}: rank {}, {admitted} {limit}{throttled}", row["priority"])
}
