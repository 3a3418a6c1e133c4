//! Builds the HTTP request of the command `send` from its options.

use crate::cli::exit::{CliError, FileSnafu};
use crate::cli::options::SendOptions;
use crate::edge::request_reader::{DEADLINE_HEADER, IDEMPOTENCY_HEADER};
use crate::http1::Target;
use serde_json::json;
use snafu::ResultExt;
use std::fs::read_to_string;
use trillium_client::{Client, Conn, Method};

/// A body option that begins with this character names a file.
const BODY_FILE_PREFIX: char = '@';

/// The kind of a request, which decides how its answer is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A chat request to a model, with a streamed answer.
    Chat,
    /// A call to a plain service, with any answer.
    Service,
}

/// A request that can be sent to any host.
#[derive(Clone, Debug)]
pub struct Request {
    /// The kind of the request.
    pub kind: RequestKind,
    /// The name of the model or service.
    pub name: String,
    method: Method,
    target: Target,
    key: String,
    headers: Vec<(&'static str, String)>,
    body: Option<String>,
}

impl Request {
    /// Creates the request that the options describe. The API key and a service call's body may
    /// come from files.
    ///
    /// # Errors
    ///
    /// Returns the option that is missing or contradicts the others, or why a file cannot be read.
    pub fn new(options: &SendOptions) -> Result<Self, CliError> {
        let mut request = match (&options.model, &options.service) {
            (Some(model), None) => chat(options, model)?,
            (None, Some(service)) => service_call(options, service)?,
            _ => return option_error("--model, --service", "give one of the two"),
        };
        request.key = key(options)?;
        if let Some(deadline_ms) = options.deadline_ms {
            let header = (DEADLINE_HEADER, deadline_ms.to_string());
            request.headers.push(header);
        }
        if let Some(operation) = &options.idempotency_key {
            let header = (IDEMPOTENCY_HEADER, operation.clone());
            request.headers.push(header);
        }
        Ok(request)
    }

    /// Builds the request to the caller interface at `url`.
    pub fn build(&self, client: &Client, url: &str) -> Conn {
        let mut conn = client
            .build_conn(self.method, format!("{url}{}", self.target))
            .with_request_header("authorization", format!("Bearer {}", self.key));
        for (header, value) in &self.headers {
            conn = conn.with_request_header(*header, value.clone());
        }
        match &self.body {
            None => conn,
            Some(body) => conn
                .with_request_header("content-type", "application/json")
                .with_body(body.clone()),
        }
    }

    /// Builds the request for the list of hosts that callers should use, to the caller interface at
    /// `url`.
    pub fn build_entry(&self, client: &Client, url: &str) -> Conn {
        let target = Target::new("/v1/entry").pair("model", &self.name);
        client
            .build_conn(Method::Get, format!("{url}{target}"))
            .with_request_header("authorization", format!("Bearer {}", self.key))
    }
}

fn chat(options: &SendOptions, model: &str) -> Result<Request, CliError> {
    let Some(message) = &options.message else {
        return option_error("message", "give the text to send to the model");
    };
    if options.path.is_some() || options.method.is_some() || options.body.is_some() {
        return option_error("--path, --method, --body", "go with --service only");
    }
    let body = json!({
        "model": model,
        "stream": true,
        "messages": [{ "role": "user", "content": message }],
    });
    Ok(Request {
        kind: RequestKind::Chat,
        name: model.to_string(),
        method: Method::Post,
        target: Target::new("/v1/chat/completions"),
        key: String::new(),
        headers: Vec::new(),
        body: Some(body.to_string()),
    })
}

fn service_call(options: &SendOptions, service: &str) -> Result<Request, CliError> {
    if options.message.is_some() {
        return option_error("message", "goes with --model only; see --body");
    }
    Ok(Request {
        kind: RequestKind::Service,
        name: service.to_string(),
        method: method(options)?,
        target: service_target(service, options.path.as_deref().unwrap_or("/"))?,
        key: String::new(),
        headers: Vec::new(),
        body: body(options)?,
    })
}

/// Returns the target of a call to a service, whose own path and query the option gives encoded.
fn service_target(service: &str, path: &str) -> Result<Target, CliError> {
    if matches!(service, "" | "." | "..") {
        return option_error("--service", "takes the name of a service");
    }
    let slash = if path.starts_with('/') { "" } else { "/" };
    let service = Target::new("/services").segment(service);
    let target = Target::from_received(&format!("{service}{slash}{path}"));
    target.or_else(|error| option_error("--path", &error.to_string()))
}

fn method(options: &SendOptions) -> Result<Method, CliError> {
    match (&options.method, &options.body) {
        (None, None) => Ok(Method::Get),
        (None, Some(_)) => Ok(Method::Post),
        (Some(name), _) => name
            .to_uppercase()
            .parse()
            .or_else(|_| option_error("--method", "takes an HTTP method")),
    }
}

fn body(options: &SendOptions) -> Result<Option<String>, CliError> {
    let Some(body) = &options.body else {
        return Ok(None);
    };
    match body.strip_prefix(BODY_FILE_PREFIX) {
        None => Ok(Some(body.clone())),
        Some(path) => read_to_string(path).map(Some).context(FileSnafu { path }),
    }
}

fn key(options: &SendOptions) -> Result<String, CliError> {
    match (&options.key, &options.key_file) {
        (Some(key), None) => Ok(key.clone()),
        (None, Some(path)) => {
            let text = read_to_string(path).context(FileSnafu { path })?;
            Ok(text.trim().to_string())
        }
        _ => option_error("--key, --key-file", "give one of the two"),
    }
}

fn option_error<T>(option: &'static str, why: &str) -> Result<T, CliError> {
    let why = why.to_string();
    Err(CliError::Option { option, why })
}
