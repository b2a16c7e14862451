//! Cap'n Proto encoding of the control messages and answer frames between processes of the fleet.

#[allow(clippy::all, missing_docs, unused_qualifications)]
#[path = "generated/control_capnp.rs"]
#[rustfmt::skip]
pub mod control_capnp;
#[allow(clippy::all, missing_docs, unused_qualifications)]
#[path = "generated/frame_capnp.rs"]
#[rustfmt::skip]
pub mod frame_capnp;

mod decode;
mod encode;
mod error;
mod frame;

pub use decode::decode_message;
pub use encode::encode_message;
pub use error::WireError;
pub use frame::{Frame, FrameBody};
