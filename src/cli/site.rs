//! Which operator interface to ask, and with which token: from options or the environment.

use crate::cli::exit::{CliError, FileSnafu};
use snafu::ResultExt;
use std::env;
use std::path::{Path, PathBuf};

/// The environment variable with the operator interface's address.
pub const SITE_VARIABLE: &str = "MANGOVALE_SITE";
/// The environment variable with the path of the operator's token file.
pub const TOKEN_FILE_VARIABLE: &str = "MANGOVALE_TOKEN_FILE";

/// An operator interface and the token for it.
pub struct Site {
    /// The address, as `http://host:port`.
    pub url: String,
    /// The operator's token.
    pub token: String,
}

impl Site {
    /// Makes a site from options, and from the environment where an option is absent.
    ///
    /// The address may carry the token file after a comma, as `http://host:port,TOKEN_FILE`.
    ///
    /// # Errors
    ///
    /// Returns which of the two is missing or cannot be used.
    pub fn resolve(site: Option<&str>, token_file: Option<&Path>) -> Result<Self, CliError> {
        let site = site.map(str::to_string).or_else(|| variable(SITE_VARIABLE));
        let site = site.ok_or(CliError::Option {
            option: "--site",
            why: format!("give it, or set {SITE_VARIABLE}"),
        })?;
        let (url, with_site) = match site.split_once(',') {
            Some((url, path)) => (url, Some(PathBuf::from(path))),
            None => (site.as_str(), None),
        };
        let from_variable = || variable(TOKEN_FILE_VARIABLE).map(PathBuf::from);
        let path = token_file
            .map(Path::to_path_buf)
            .or(with_site)
            .or_else(from_variable);
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

/// Checks that an option's value is `http://host:port`, and drops a slash at its end.
///
/// # Errors
///
/// Returns the option and what it takes.
pub fn http_url(option: &'static str, value: &str) -> Result<String, CliError> {
    let url = value.trim_end_matches('/');
    let rest = url.strip_prefix("http://").unwrap_or_default();
    if rest.is_empty() || rest.contains('/') {
        let why = format!("takes http://host:port, not {value}");
        return Err(CliError::Option { option, why });
    }
    Ok(url.to_string())
}

fn variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|value| !value.is_empty())
}
