//! Sends one chat request and prints the streamed answer.

use crate::cli::call::ErrorBody;
use crate::cli::exit::{CallSnafu, CliError, Exit};
use crate::cli::options::SendOptions;
use crate::edge::caller::DEADLINE_HEADER;
use crate::edge::http::{CallError, call_error, client};
use serde_json::{Value, json};
use smol::io::{AsyncBufReadExt, BufReader};
use smol::stream::StreamExt;
use snafu::ResultExt;
use std::io::Write;
use std::time::Instant;
use trillium_client::{Conn, Method};

/// Sends the request to the first host that can be reached.
///
/// # Errors
///
/// Returns why no whole answer came.
pub async fn send(options: &SendOptions) -> Result<Exit, CliError> {
    let mut last = CliError::Option {
        option: "--host",
        why: "give at least one".to_string(),
    };
    for host in &options.host {
        let started_at = Instant::now();
        match try_host(options, host, started_at).await {
            Err(
                error @ CliError::Call {
                    source: CallError::NotConnected { .. },
                    ..
                },
            ) => {
                eprintln!("mangovale: {error}; trying the next host");
                last = error;
            }
            other => return other,
        }
    }
    Err(last)
}

async fn try_host(
    options: &SendOptions,
    host: &str,
    started_at: Instant,
) -> Result<Exit, CliError> {
    let url = host.trim_end_matches('/');
    let conn = build(options, url)
        .await
        .map_err(|error| call_error(&error));
    let mut conn = conn.context(CallSnafu { url })?;
    if conn.status().is_none_or(|status| !status.is_success()) {
        return Err(refusal(&mut conn).await);
    }
    let first_byte_ms = started_at.elapsed().as_millis();
    let tokens = print_stream(conn, url).await?;
    let total_ms = started_at.elapsed().as_millis();
    eprintln!("[{url}: first byte after {first_byte_ms} ms, {tokens} tokens in {total_ms} ms]");
    Ok(Exit::Done)
}

fn build(options: &SendOptions, url: &str) -> Conn {
    let body = json!({
        "model": options.model,
        "stream": true,
        "messages": [{ "role": "user", "content": options.message }],
    });
    let mut conn = client()
        .build_conn(Method::Post, format!("{url}/v1/chat/completions"))
        .with_request_header("authorization", format!("Bearer {}", options.key))
        .with_request_header("content-type", "application/json");
    if let Some(deadline_ms) = options.deadline_ms {
        conn = conn.with_request_header(DEADLINE_HEADER, deadline_ms.to_string());
    }
    conn.with_body(body.to_string())
}

async fn refusal(conn: &mut Conn) -> CliError {
    let text = conn.response_body().read_string().await.unwrap_or_default();
    match serde_json::from_str::<ErrorBody>(&text) {
        Ok(body) => body.into(),
        Err(_) => CliError::Refused {
            kind: "unreadable".to_string(),
            message: text,
            advice: String::new(),
        },
    }
}

async fn print_stream(mut conn: Conn, url: &str) -> Result<u64, CliError> {
    let broken = |why: &str| CallError::Broken {
        why: why.to_string(),
    };
    let body = conn.take_response_body();
    let body = body
        .ok_or_else(|| broken("no body"))
        .context(CallSnafu { url })?;
    let mut lines = BufReader::new(body).lines();
    let mut tokens = 0;
    while let Some(line) = lines.next().await {
        let line = line
            .map_err(|error| broken(&error.to_string()))
            .context(CallSnafu { url })?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            println!();
            return Ok(tokens);
        }
        if let Ok(error) = serde_json::from_str::<ErrorBody>(data) {
            return Err(error.into());
        }
        tokens += 1;
        print_token(data);
    }
    Err(broken("the stream ended before its end mark")).context(CallSnafu { url })
}

fn print_token(data: &str) {
    let chunk: Value = serde_json::from_str(data).unwrap_or_default();
    if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
        print!("{text}");
        let _ = std::io::stdout().flush();
    }
}
