//! Placeholder.

use eyre::Result;
use gumdrop::Options;

use crate::Held;

#[derive(Debug, Options)]
pub(crate) struct CampaignOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
}

pub(crate) fn run(_options: &CampaignOptions) -> Result<Held> {
    Ok(Held::Yes)
}
