//! The stages that a request passes in the daemons.
//!
//! On the caller's host, [`entry`] reads the request, finds its route, identifies the
//! organisation that sent it with [`sender`] and buffers the body. [`attempts`] chooses an
//! upstream and sends the request with [`send`] to the daemon on that upstream's host, and
//! tries again as the route and the retry budget allow. [`trial`] decides whether a call
//! that may be quarantined wrongly is sent.
//!
//! On the upstream's host, [`exit`] admits the request and sends it to the upstream.
//!
//! The answer returns through [`answer`], where [`held`] bounds the answers that wait until
//! they are whole and [`bounded`] gives up those that arrive too late; [`paced`] schedules large answers on the host's
//! link. [`headers`], [`payload`], [`digest`] and [`tracked`] are shared by these stages.
//! [`work`] holds the state of a routed call, [`refuse`] makes the responses that replace
//! an answer, and [`log_lines`] writes the log lines about requests.

pub mod answer;
pub mod attempts;
pub mod bounded;
pub mod digest;
pub mod entry;
pub mod exit;
pub mod headers;
pub mod held;
pub mod log_lines;
pub mod paced;
pub mod payload;
pub mod refuse;
pub mod send;
pub mod sender;
pub mod tracked;
pub mod trial;
pub mod work;
