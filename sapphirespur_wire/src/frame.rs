//! Frames of an answer, sent from a sidecar to a router.

use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp::serialize;
use sapphirespur_core::answer::FrameKind;
use sapphirespur_core::request::{AttemptId, Outcome, Refusal, RefusalCode};

use crate::error::WireError;
use crate::frame_capnp::frame as schema;

/// Content of a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FrameBody {
    /// Status and content type of the answer.
    Head {
        /// HTTP status code.
        status: u16,
        /// Value of the `Content-Type` header.
        content_type: String,
    },
    /// Bytes of the answer's body.
    Data(Vec<u8>),
    /// Keep-alive while there is no content.
    KeepAlive,
    /// End of a complete answer.
    End,
    /// Refusal in place of the answer or of its remainder.
    Refused(Refusal),
}

/// Frame of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// Attempt to which the answer belongs.
    pub attempt: AttemptId,
    /// Number of the frame among the content frames, as defined by `FrameKind`.
    pub number: u64,
    /// Content of the frame.
    pub body: FrameBody,
}

impl Frame {
    /// Returns the kind, which a reader needs to order frames.
    pub fn kind(&self) -> FrameKind {
        match self.body {
            FrameBody::Head { .. } | FrameBody::Data(_) | FrameBody::Refused(_) => {
                FrameKind::Content
            }
            FrameBody::KeepAlive => FrameKind::KeepAlive,
            FrameBody::End => FrameKind::End,
        }
    }

    /// Returns the encoded frame.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut message = capnp::message::Builder::new_default();
        let mut builder = message.init_root::<schema::Builder<'_>>();
        builder.set_incarnation(self.attempt.incarnation);
        builder.set_counter(self.attempt.counter);
        builder.set_number(self.number);
        match &self.body {
            FrameBody::Head { status, content_type } => {
                let mut head = builder.init_head();
                head.set_status(*status);
                head.set_content_type(content_type.as_str());
            }
            FrameBody::Data(data) => builder.set_data(data),
            FrameBody::KeepAlive => builder.set_keep_alive(()),
            FrameBody::End => builder.set_end(()),
            FrameBody::Refused(refusal) => {
                let mut refused = builder.init_refused();
                refused.set_code(refusal.code.as_str());
                refused.set_ran(refusal.outcome == Outcome::Unknown);
                let retry_after = refusal.retry_after.map_or(0, |delay| delay.as_millis() as u64);
                refused.set_retry_after_millis(retry_after);
            }
        }

        serialize::write_message_to_words(&message)
    }

    /// Decodes a frame from its encoded bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are malformed or hold an unknown variant.
    pub fn from_bytes(mut bytes: &[u8]) -> Result<Self, WireError> {
        let message = serialize::read_message_from_flat_slice(&mut bytes, ReaderOptions::new())?;
        let reader = message.get_root::<schema::Reader<'_>>()?;
        let attempt =
            AttemptId { incarnation: reader.get_incarnation(), counter: reader.get_counter() };
        let body = match reader.which()? {
            schema::Which::Head(head) => FrameBody::Head {
                status: head.get_status(),
                content_type: head.get_content_type()?.to_str()?.to_owned(),
            },
            schema::Which::Data(data) => FrameBody::Data(data?.to_vec()),
            schema::Which::KeepAlive(()) => FrameBody::KeepAlive,
            schema::Which::End(()) => FrameBody::End,
            schema::Which::Refused(refused) => {
                let code = RefusalCode::parse(refused.get_code()?.to_str()?)
                    .ok_or(WireError::UnknownRefusal)?;
                let outcome = if refused.get_ran() { Outcome::Unknown } else { Outcome::NotRun };
                let retry_after_millis = refused.get_retry_after_millis();
                let retry_after =
                    (retry_after_millis > 0).then(|| Duration::from_millis(retry_after_millis));
                FrameBody::Refused(Refusal { code, outcome, retry_after })
            }
        };

        Ok(Self { attempt, number: reader.get_number(), body })
    }
}
