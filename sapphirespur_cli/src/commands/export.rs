//! Export of the configuration.

use std::fmt::Write;

use crate::commands::Context;
use crate::describe::parts;
use crate::error::CommandError;
use crate::exit::Exit;

/// Prints the accepted configuration as an intent.
pub(super) async fn run(cx: &Context) -> Result<Exit, CommandError> {
    let stored = cx.store.load().await?;

    let mut text = format!("# Configuration of revision {}.\n", stored.root.revision);
    for part in parts(&stored.config) {
        // Writing to a string cannot fail.
        let _ = write!(text, "\n[{} {}]\n", part.kind, part.name);
        for field in part.fields {
            let _ = writeln!(text, "{} = {}", field.key, field.value);
        }
    }
    cx.print(&stored.config, &text)?;
    Ok(Exit::Success)
}
