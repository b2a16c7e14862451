//! Command line for the operators of a sapphirespur fleet.

pub mod args;
pub mod commands;
pub mod error;
pub mod exit;
pub mod intent;
pub mod intent_section;
pub mod render;
pub mod settings;
