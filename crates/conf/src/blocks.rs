//! The file with the client blocks: `homes`, a list of places with their blocks.

use steer::BlockList;
use world::Place;

use crate::fault::Faults;
use crate::fields::Fields;
use crate::source::read;

/// Reads the client blocks.
///
/// # Errors
/// Every mistake in the file.
pub fn parse_blocks(file: &str, text: &str) -> Result<Vec<BlockList>, Faults> {
    read(file, text, |top| Some(top.list("homes", home)))
}

fn home(fields: &mut Fields<'_>) -> Option<BlockList> {
    let region = fields.need("region", "a region's name");
    let domain = fields.need("domain", "a failure domain's name");
    let blocks = fields.need("blocks", "a list of prefixes such as \"192.0.2.0/24\"");
    Some(BlockList {
        home: Place::new(region?, domain?),
        blocks: blocks?,
    })
}
