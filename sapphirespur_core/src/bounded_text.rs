//! Texts of a largest length.

use std::fmt::{self, Display, Write};

/// Mark at the end of a text that was cut.
const CUT_MARK: char = '…';

/// Formats a value in at most `max_bytes` bytes and a mark where it was cut.
///
/// Formatting ends where the text is cut, so its cost does not depend on the size of the value either.
pub fn bounded_text(value: impl Display, max_bytes: usize) -> String {
    let mut text = BoundedText { text: String::new(), max_bytes };
    // The only error is that of a text that was cut.
    let _ = write!(text, "{value}");
    text.text
}

/// Text that takes no more than a number of bytes.
struct BoundedText {
    text: String,
    max_bytes: usize,
}

impl Write for BoundedText {
    /// Appends a part; fails when it does not fit, which ends the formatting of the value.
    fn write_str(&mut self, part: &str) -> fmt::Result {
        let room = self.max_bytes.saturating_sub(self.text.len());
        if part.len() <= room {
            self.text.push_str(part);
            return Ok(());
        }
        self.text.push_str(&part[..part.floor_char_boundary(room)]);
        self.text.push(CUT_MARK);
        Err(fmt::Error)
    }
}
