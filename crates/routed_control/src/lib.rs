//! The control VM of a routed site: the replicated catalog, the registry of backend
//! servers and machines, and the feed that publishes their changes to entry VMs and
//! other control VMs.

pub mod cache;
pub mod commands;
pub mod control_vm;
pub mod feed;
pub mod feed_reader;
mod feed_responses;
pub mod interruptions;
pub mod pack;
pub mod reach;
pub mod replication_transport;
pub mod serve;
pub mod settings;
pub mod shared_responses;

pub use control_vm::ControlVm;
pub use feed::{FeedPage, FeedRequest, FeedResponse, Paging, Reader};
pub use settings::Settings;
