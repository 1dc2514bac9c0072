//! Tests of the resource types.

mod difference;
mod support;

mod change;
mod decoders;
mod examples;
mod files;
mod policy;
mod state;
mod wire;
