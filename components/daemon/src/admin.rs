//! HTTP for operators and probes.

use std::{io, net, sync, thread};

use kernel::event;

use crate::shell;

/// Threads that answer; a note holds one until its verdict.
const WORKERS: usize = 4;
/// Longest release note, in bytes.
const NOTE_LIMIT: u64 = 4 << 20;

/// Answers on the listener until the daemon halts.
pub fn start(
    shell: &sync::Arc<shell::Shell>,
    listener: net::TcpListener,
) -> Option<sync::Arc<tiny_http::Server>> {
    let server = tiny_http::Server::from_listener(listener, None).ok()?;
    let server = sync::Arc::new(server);
    for _ in 0..WORKERS {
        let shell = sync::Arc::downgrade(shell);
        let server = server.clone();
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                let Some(shell) = shell.upgrade() else {
                    return;
                };
                answer(&shell, request);
            }
        });
    }
    Some(server)
}

fn answer(shell: &shell::Shell, mut request: tiny_http::Request) {
    let url = request.url().to_string();
    let (code, text) = match (request.method(), url.as_str()) {
        (tiny_http::Method::Get, "/live") => (200, "live\n".into()),
        (tiny_http::Method::Get, "/ready") => ready(shell),
        (tiny_http::Method::Get, "/metrics") => (200, metrics(shell)),
        (tiny_http::Method::Get, "/status") => (200, status(shell)),
        (tiny_http::Method::Get, "/explain") => (200, explain(shell)),
        (tiny_http::Method::Get, "/log") => (200, telemetry::recent()),
        (tiny_http::Method::Post, "/notes") => {
            let mut body = String::new();
            let mut reader = io::Read::take(request.as_reader(), NOTE_LIMIT);
            match io::Read::read_to_string(&mut reader, &mut body) {
                Ok(_) => submit(shell, &body),
                Err(_) => (400, "the note is not text\n".into()),
            }
        }
        _ => (404, "no such page\n".into()),
    };
    let response = tiny_http::Response::from_string(text).with_status_code(code);
    let _ = request.respond(response);
}

fn ready(shell: &shell::Shell) -> (u16, String) {
    if shell.inspect(kernel::Daemon::is_ready) {
        (200, "ready\n".into())
    } else {
        (503, "not ready\n".into())
    }
}

fn metrics(shell: &shell::Shell) -> String {
    let (waiting, revision, fresh) =
        shell.inspect(|kernel| (kernel.waiting(), kernel.revision(), kernel.is_fresh()));
    shell.metrics.set_control(waiting, revision, fresh);
    shell.metrics.encode()
}

fn status(shell: &shell::Shell) -> String {
    let now = shell.clock.now();
    let value = shell.inspect(|kernel| {
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
            "vm": &**shell.settings.vm,
            "revision": kernel.revision(),
            "epoch": kernel.budgets().epoch().number,
            "fresh": kernel.is_fresh(),
            "ready": kernel.is_ready(),
            "sessions": shell.count_sessions(),
            "waiting": kernel.waiting(),
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
        .map(|(name, seen)| {
            let status = seen.status.map(|(sent, status)| {
                serde_json::json!({
                    "age_ms": now.since(sent).as_millis(),
                    "status": status,
                })
            });
            (name.to_string(), status.unwrap_or_default())
        })
        .collect();
    serde_json::json!({
        "term": group.newest(),
        "primary": group.primary().map(|name| &***name),
        "confirmed": group.confirmation(now).is_some(),
        "instances": instances,
    })
}

/// Decisions as JSON lines, with the sentence that explains each.
fn explain(shell: &shell::Shell) -> String {
    shell.inspect(|kernel| {
        let mut out = String::new();
        for entry in kernel.decisions() {
            let mut value = serde_json::to_value(entry).unwrap_or_default();
            value["vm"] = serde_json::Value::String(shell.settings.vm.to_string());
            value["text"] = serde_json::Value::String(entry.decision.to_string());
            out.push_str(&value.to_string());
            out.push('\n');
        }
        out
    })
}

fn submit(shell: &shell::Shell, body: &str) -> (u16, String) {
    let origin = config::Origin("note".into());
    let note = match config::read_note(body, &origin) {
        Ok(note) => note,
        Err(failure) => return (422, format!("{failure}\n")),
    };
    let verdict = shell.submit(note);
    let code = match &verdict {
        event::Verdict::InForce(_) => 200,
        event::Verdict::Accepted(_) => 202,
        event::Verdict::Misfit(..) => 422,
        event::Verdict::Isolated | event::Verdict::Unknown => 503,
    };
    (code, format!("{verdict}\n"))
}
