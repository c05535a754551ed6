//! Parts of the operators' tool that other programs use too.

pub mod http;
