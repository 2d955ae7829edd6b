//! The request's way through the daemon, as a row of filters.
//!
//! [`entry`] takes a caller's request, finds its route, asks [`sender`] whose it is and
//! holds its body.
//! [`attempts`] chooses an upstream and, through [`send`], sends the request to
//! the daemon on that upstream's host, as often as the route and the budget allow. There, [`exit`]
//! admits it and sends it to the upstream. The answer comes back through
//! [`answer`]. Large answers leave by the host's link in turn, see
//! [`paced`]. [`headers`], [`payload`], [`digest`] and [`tracked`] are the parts that all of
//! them use, [`work`] is a call on its way, [`refuse`] what callers are told in place of an
//! answer, [`story`] the lines that the log gets.

pub mod answer;
pub mod attempts;
pub mod digest;
pub mod entry;
pub mod exit;
pub mod headers;
pub mod paced;
pub mod payload;
pub mod refuse;
pub mod send;
pub mod sender;
pub mod story;
pub mod tracked;
pub mod trial;
pub mod work;
