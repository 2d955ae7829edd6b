//! Serves the port for other daemons: control requests and forwarded calls.

use super::request::tracked::InFlightGuard;
use super::request::{exit, headers, paced};
use super::rollouts::decider;
use super::{
    Daemon, catch_up, departures, gateway, promotion, quarantine, quotas, reader, stage, status,
};
use cicadashift_core::delivery::node::{Action, Event};
use cicadashift_core::delivery::witness::Testimony;
use cicadashift_http::body::{self, Body, BodyError};
use cicadashift_http::hyper::{Request, Response as HttpResponse, StatusCode};
use cicadashift_wire::call::{self, Context};
use cicadashift_wire::rpc::{self, Request as Ask, Response};
use http_body_util::BodyExt;
use std::sync::Arc;

/// Answers one request from another daemon.
pub async fn handle(d: Arc<Daemon>, req: Request<Body>) -> HttpResponse<Body> {
    let token = req.headers().get(rpc::TOKEN_HEADER).map(|value| value.as_bytes());
    if !token.is_some_and(|token| d.key.accepts_token(token)) {
        d.metrics.incr("mesh.stranger");
        return headers::plain(StatusCode::FORBIDDEN, "not of this mesh\n");
    }
    if let Some(value) = req.headers().get(call::CONTEXT) {
        return match Context::from_header(value.as_bytes()) {
            Ok(cx) => {
                // The call counts as in flight until its answer has been sent. Failure: a
                // stop waits for calls, but not for their answers on a busy link. Symptom:
                // the caller's connection breaks in the middle of an answer.
                let counted = InFlightGuard::new(&d);
                let res =
                    exit::handle(d.clone(), cx, without_hop_headers(req), exit::Origin::Mesh).await;
                paced::pace_answer(&d, res).map(|body| body::with_guard(body, counted))
            }
            Err(err) => headers::plain(StatusCode::BAD_REQUEST, &format!("{err}\n")),
        };
    }
    let Ok(buf) = body::read(req.into_body(), rpc::MAX_MESSAGE).await else {
        return headers::plain(StatusCode::PAYLOAD_TOO_LARGE, "message too large\n");
    };
    let message: Ask = match rpc::decode(&buf) {
        Ok(message) => message,
        Err(err) => return headers::plain(StatusCode::BAD_REQUEST, &format!("{err}\n")),
    };
    let buf = rpc::encode(&answer(&d, message).await);
    HttpResponse::new(body::full(buf))
}

async fn answer(d: &Arc<Daemon>, message: Ask) -> Response {
    match message {
        Ask::Offer { version_ref, origin, delta, rest } => {
            promotion::on_offer(d, version_ref, origin, delta, rest).await
        }
        Ask::Activate { version_ref, rest } => promotion::on_activate(d, version_ref, rest).await,
        Ask::Fetch { hashes } => stage::on_fetch(d, &hashes),
        Ask::Promise { version } => {
            Response::Testimony(testify(d, Event::PromiseRequested(version)))
        }
        Ask::Floor { host, life } => {
            Response::Testimony(testify(d, Event::FloorRequested { from: host, life }))
        }
        Ask::Sync { outline, records } => {
            d.members.apply(d, records);
            catch_up::on_sync(d, &outline)
        }
        Ask::PushRecords { records } => {
            d.members.apply(d, records);
            Response::Done
        }
        Ask::Exchange { from, life, since, records, newest } => {
            gateway::on_exchange(d, from, life, since, records, newest)
        }
        Ask::Head => Response::Version(reader::fresh_head(d).await),
        Ask::Current => Response::Version(d.versions.active()),
        Ask::Document { held } => Response::Document(d.versions.document.complete_update(held)),
        Ask::DocumentDelta { held, signature } => {
            Response::Document(d.versions.document.delta_update(held, &signature))
        }
        Ask::Status => Response::Status(status::own(d).to_string()),
        Ask::Quotas => Response::Status(quotas::own(d).to_string()),
        Ask::Suspicions(suspicions) => {
            quarantine::merge(d, &suspicions);
            Response::Suspicions(quarantine::suspicions(d))
        }
        Ask::Departures { host, departures } => departures::on_request(d, host, &departures),
        Ask::Rollout(report) => Response::Quotas(decider::on_report(d, report)),
        Ask::Record { rows } => {
            d.delivery_record.add(rows);
            Response::Done
        }
    }
}

/// Passes an event for the witness to the state machine of the configuration path, and returns
/// the testimony that the witness gives, if any.
fn testify(d: &Arc<Daemon>, event: Event) -> Option<Testimony> {
    let actions = d.versions.on(event);
    let testimony = actions.iter().find_map(|action| match action {
        Action::SendTestimony(testimony) => Some(testimony.clone()),
        _ => None,
    });
    stage::perform(d, actions, None);
    testimony
}

/// Removes the headers that are meant only for this connection.
fn without_hop_headers(req: Request<Body>) -> Request<Body> {
    let (mut head, incoming) = req.into_parts();
    head.headers.remove(rpc::TOKEN_HEADER);
    headers::strip_hop_by_hop(&mut head.headers);
    let body = incoming.map_err(|err| BodyError::Broken(err.to_string())).boxed_unsync();
    Request::from_parts(head, body)
}
