//! Finds the operator interface to call and the token for it, from options or the environment.

use crate::cli::exit::{CliError, FileSnafu};
use crate::json::escape;
use snafu::ResultExt;
use std::env;
use std::path::{Path, PathBuf};
use trillium_server_common::url::Url;

/// The most characters of a value that an error shows.
const MAX_SHOWN_CHARS: usize = 200;
/// The environment variable that gives the address of the operator interface, in the form that
/// [`Site::resolve`] takes.
pub const SITE_VARIABLE: &str = "MANGOVALE_SITE";
/// The environment variable that gives the path of the operator's token file.
pub const TOKEN_FILE_VARIABLE: &str = "MANGOVALE_TOKEN_FILE";

/// The address of an operator interface and the token for it.
pub struct Site {
    /// The address, as `http://host:port`.
    pub url: String,
    /// The operator's token, a secret; read from a file without the white space around it.
    pub token: String,
}

impl Site {
    /// Reads the address and the token from the options, or from the environment where an option is
    /// absent.
    ///
    /// The address may be followed by a comma and the token file, as `http://host:port,TOKEN_FILE`.
    /// The option for the token file takes precedence over that, and that over the environment.
    ///
    /// # Errors
    ///
    /// Returns whether the address or the token file is missing, or why it cannot be used.
    pub fn resolve(site: Option<&str>, token_file: Option<&Path>) -> Result<Self, CliError> {
        let site = site
            .map(str::to_string)
            .or_else(|| environment_variable(SITE_VARIABLE));
        let site = site.ok_or(CliError::Option {
            option: "--site",
            why: format!("give it, or set {SITE_VARIABLE}"),
        })?;
        let (url, after_comma) = match site.split_once(',') {
            Some((url, path)) => (url, Some(PathBuf::from(path))),
            None => (site.as_str(), None),
        };
        let from_environment = || environment_variable(TOKEN_FILE_VARIABLE).map(PathBuf::from);
        let path = token_file
            .map(Path::to_path_buf)
            .or(after_comma)
            .or_else(from_environment);
        let path = path.ok_or(CliError::Option {
            option: "--token-file",
            why: format!("give it, or set {TOKEN_FILE_VARIABLE}"),
        })?;
        let token = std::fs::read_to_string(&path).context(FileSnafu { path: &path })?;
        Ok(Self {
            url: http_url("--site", url)?,
            token: token.trim().to_string(),
        })
    }
}

/// Checks that an option's value has the form `http://host:port`, and removes slashes at its end.
///
/// # Errors
///
/// Returns the option and the form that it takes.
pub fn http_url(option: &'static str, value: &str) -> Result<String, CliError> {
    let url = value.trim_end_matches('/');
    let rest = url.strip_prefix("http://").unwrap_or_default();
    let is_host_and_port = !rest.contains(['/', '?', '#', '@', '\\']);
    if rest.is_empty() || !is_host_and_port || Url::parse(url).is_err() {
        let why = format!(
            "takes http://host:port, not {}",
            escape(value, MAX_SHOWN_CHARS)
        );
        return Err(CliError::Option { option, why });
    }
    Ok(url.to_string())
}

fn environment_variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|value| !value.is_empty())
}
