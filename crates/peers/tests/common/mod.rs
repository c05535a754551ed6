//! Shared helpers of the tests.

pub mod net;
