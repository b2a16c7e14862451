//! The `export` command.

use std::fmt::Write;

use crate::commands::Context;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::intent_section::intent_sections;

/// Prints the accepted configuration as an intent that creates it.
pub(super) async fn run(cx: &Context) -> Result<Exit, CommandError> {
    let stored = cx.store.load().await?;

    let mut text = format!("# Configuration of revision {}.\n", stored.root.revision);
    for section in intent_sections(&stored.config) {
        // Writing to a string cannot fail.
        let _ = write!(text, "\n[{} {}]\n", section.kind, section.name);
        for field in section.fields {
            let _ = writeln!(text, "{} = {}", field.key, field.value);
        }
    }
    cx.print(&stored.config, &text)?;
    Ok(Exit::Success)
}
