//! Helpers of the tests.

pub mod net;
