//! Exchange of reports among the routers of a fleet.
//!
//! In a small fleet, all routers send their reports to each other. In a larger one, each data centre
//! has a relay and a standby, which add up the reports of its routers: they exchange sums with the
//! other data centres and answer each router's report with the sums over all others.

mod bootstrap;
mod bootstrap_entry;
mod bootstrap_write;
mod contact;
mod exchange;
mod fleet_news;
mod members;
mod message;
mod message_extension;
mod news;
mod reach;
mod seeds;
mod turns;

pub use bootstrap::Bootstrap;
pub use bootstrap_entry::BootstrapEntry;
pub use bootstrap_write::BootstrapWrite;
pub use contact::{Contact, HeardContact};
pub use exchange::Exchange;
pub use fleet_news::FleetNews;
pub use members::{ExchangeRole, Members};
pub use message::{OutgoingMessage, PeerMessage, ReportScope};
pub use message_extension::MessageExtension;
pub use news::News;
pub use reach::Reach;
pub use seeds::Seeds;
pub(crate) use turns::take_in_turn;
