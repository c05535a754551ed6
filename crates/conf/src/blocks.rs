//! Parser of the client blocks file.
//!
//! The file has one field, `homes`: a list of failure domains, each with the IP
//! prefixes of the clients whose home it is.

use steer::BlockList;
use world::Place;

use crate::fault::Faults;
use crate::fields::Fields;
use crate::parse::parse_file;

/// Parses the client blocks file; `file` is its name in messages.
///
/// # Errors
/// All mistakes in the file.
pub fn parse_blocks(file: &str, text: &str) -> Result<Vec<BlockList>, Faults> {
    parse_file(file, text, |top| Some(top.object_list("homes", block_list)))
}

fn block_list(fields: &mut Fields<'_>) -> Option<BlockList> {
    let region = fields.required("region", "a region's name");
    let domain = fields.required("domain", "a failure domain's name");
    let blocks = fields.required("blocks", "a list of prefixes such as \"192.0.2.0/24\"");
    Some(BlockList {
        home: Place::new(region?, domain?),
        blocks: blocks?,
    })
}
