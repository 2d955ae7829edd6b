//! The cases of the review: `review-standins-2 CASE`. Exit codes: 0 the rule held, 1 it was
//! broken, 2 the case could not run.

mod drain;
mod expose;
mod fleet;
mod quota;
mod stop;

use cicadashift_http::exec;

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let code = exec::run(3, async move {
        match case.as_str() {
            "quota-cut" => quota::begins_in_cut().await,
            "stop" => stop::slow_readers().await,
            "expose" => expose::rolled_back().await,
            "drain" => drain::late_heartbeats().await,
            _ => 2,
        }
    });
    std::process::exit(code);
}
