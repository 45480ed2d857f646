//! HTTP server for operators and health probes.

use std::{io, net, sync, thread};

use kernel::event;

use crate::runtime;

/// Number of threads that answer requests. A release note occupies one of them
/// until the kernel has decided on the note.
const WORKERS: usize = 4;
/// Largest size of a release note.
const NOTE_LIMIT_BYTES: u64 = 4 << 20;

/// Starts the threads that answer requests on the listener.
pub fn start(
    runtime: &sync::Arc<runtime::Runtime>,
    listener: net::TcpListener,
) -> Option<sync::Arc<tiny_http::Server>> {
    let server = tiny_http::Server::from_listener(listener, None).ok()?;
    let server = sync::Arc::new(server);
    for _ in 0..WORKERS {
        let runtime = sync::Arc::downgrade(runtime);
        let server = server.clone();
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                let Some(runtime) = runtime.upgrade() else {
                    return;
                };
                respond(&runtime, request);
            }
        });
    }
    Some(server)
}

fn respond(runtime: &runtime::Runtime, mut request: tiny_http::Request) {
    let url = request.url().to_string();
    let (code, text) = match (request.method(), url.as_str()) {
        (tiny_http::Method::Get, "/live") => (200, "live\n".into()),
        (tiny_http::Method::Get, "/ready") => readiness_response(runtime),
        (tiny_http::Method::Get, "/metrics") => (200, metrics_text(runtime)),
        (tiny_http::Method::Get, "/status") => (200, status_json(runtime)),
        (tiny_http::Method::Get, "/explain") => (200, decision_lines(runtime)),
        (tiny_http::Method::Get, "/log") => (200, telemetry::recent_lines()),
        (tiny_http::Method::Post, "/notes") => {
            let mut body = String::new();
            let mut reader = io::Read::take(request.as_reader(), NOTE_LIMIT_BYTES);
            match io::Read::read_to_string(&mut reader, &mut body) {
                Ok(_) => apply_note(runtime, &body),
                Err(_) => (400, "the note is not text\n".into()),
            }
        }
        _ => (404, "no such page\n".into()),
    };
    let response = tiny_http::Response::from_string(text).with_status_code(code);
    let _ = request.respond(response);
}

fn readiness_response(runtime: &runtime::Runtime) -> (u16, String) {
    if runtime.inspect(kernel::Daemon::is_ready) {
        (200, "ready\n".into())
    } else {
        (503, "not ready\n".into())
    }
}

fn metrics_text(runtime: &runtime::Runtime) -> String {
    let (waiting, revision, fresh) = runtime.inspect(|kernel| {
        (
            kernel.waiting_requests(),
            kernel.revision(),
            kernel.is_fresh(),
        )
    });
    runtime.metrics.set_control_state(waiting, revision, fresh);
    let (domains, counts) = runtime.inspect(|kernel| {
        let evacuations = kernel.evacuations();
        (evacuations.len(), evacuations.counts())
    });
    runtime
        .metrics
        .set_evacuations(domains, counts.ended, counts.refused);
    runtime.metrics.set_intake(runtime.intake.held());
    runtime.metrics.encode()
}

fn status_json(runtime: &runtime::Runtime) -> String {
    let now = runtime.clock.now();
    let value = runtime.inspect(|kernel| {
        let groups: serde_json::Map<_, _> = kernel
            .groups()
            .map(|(name, group)| (name.to_string(), group_status(group, now)))
            .collect();
        let peers: Vec<_> = kernel
            .membership()
            .peers()
            .iter()
            .map(|(name, peer)| {
                serde_json::json!({
                    "vm": &***name,
                    "listed": peer.entry.is_some(),
                    "heard_ms": now.since(peer.heard_at).as_millis(),
                    "revision": peer.revision,
                    "epoch": peer.epoch,
                })
            })
            .collect();
        serde_json::json!({
            "vm": &**runtime.settings.vm,
            "revision": kernel.revision(),
            "epoch": kernel.budgets().epoch().number,
            "fresh": kernel.is_fresh(),
            "ready": kernel.is_ready(),
            "sessions": runtime.session_count(),
            "waiting": kernel.waiting_requests(),
            "evacuated": kernel.fleet().evacuated,
            "groups": groups,
            "peers": peers,
        })
    });
    format!("{value}\n")
}

fn group_status(group: &kernel::group::Group, now: kernel::time::Time) -> serde_json::Value {
    let instances: serde_json::Map<_, _> = group
        .instances
        .iter()
        .map(|(name, state)| {
            let status = state.status.map(|(sent, status)| {
                serde_json::json!({
                    "age_ms": now.since(sent).as_millis(),
                    "status": status,
                })
            });
            (name.to_string(), status.unwrap_or_default())
        })
        .collect();
    serde_json::json!({
        "term": group.newest_term(),
        "primary": group.primary().map(|name| &***name),
        "confirmed": group.confirmation(now).is_some(),
        "instances": instances,
    })
}

/// Returns the recorded decisions as JSON lines, each with its explanation.
fn decision_lines(runtime: &runtime::Runtime) -> String {
    runtime.inspect(|kernel| {
        let mut out = String::new();
        for entry in kernel.decisions() {
            let mut value = serde_json::to_value(entry).unwrap_or_default();
            value["vm"] = serde_json::Value::String(runtime.settings.vm.to_string());
            value["text"] = serde_json::Value::String(entry.decision.to_string());
            out.push_str(&value.to_string());
            out.push('\n');
        }
        out
    })
}

fn apply_note(runtime: &runtime::Runtime, body: &str) -> (u16, String) {
    let origin = config::Origin("note".into());
    let note = match config::read_note(body, &origin) {
        Ok(note) => note,
        Err(failure) => return (422, format!("{failure}\n")),
    };
    let outcome = runtime.submit(note);
    let code = match &outcome {
        event::SubmissionOutcome::InForce(_) => 200,
        event::SubmissionOutcome::Accepted(_) => 202,
        event::SubmissionOutcome::Invalid(..) => 422,
        event::SubmissionOutcome::NoMajority | event::SubmissionOutcome::Unknown => 503,
    };
    (code, format!("{outcome}\n"))
}
