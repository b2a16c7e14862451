//! Library of the sapphirespur daemons: settings, control links, platform clients, HTTP traffic and
//! control loops.

pub mod clock;
pub mod daemon;
pub mod edge;
pub mod http;
pub mod line_writer;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod platform;
pub mod router;
pub mod settings;
pub mod sidecar;
pub mod start;
