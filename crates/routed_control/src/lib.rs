//! The control VM of a routed site: the replicated catalog, the roster, and
//! the feed from which entry VMs and other control VMs learn of changes.

pub mod cache;
pub mod courier;
pub mod feed;
pub mod follow;
pub mod hub;
pub mod orders;
pub mod serve;
pub mod settings;

pub use feed::{Ask, Give, Reader};
pub use hub::Hub;
pub use settings::Settings;
