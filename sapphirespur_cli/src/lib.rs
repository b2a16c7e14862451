//! Command line for operators of a sapphirespur fleet.

pub mod args;
pub mod commands;
pub mod describe;
pub mod error;
pub mod exit;
pub mod intent;
pub mod render;
pub mod settings;
