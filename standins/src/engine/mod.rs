//! stub
use argh::FromArgs;
use std::net::SocketAddr;
/// x
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineArgs {
    /// x
    #[argh(option)]
    listen: SocketAddr,
}
pub async fn run(_args: EngineArgs) -> Result<(), crate::error::StandInError> {
    Ok(())
}
