//! The `history` command.

use sapphirespur_core::config::RevisionRecord;

use crate::commands::Context;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::render::format_table;

/// Prints all accepted revisions: who planned and confirmed them, when, why and what changed.
pub(super) async fn run(cx: &Context) -> Result<Exit, CommandError> {
    let records = cx.store.list_records().await?;

    let header = ["REVISION", "TIME", "PLAN", "PLANNED BY", "CONFIRMED BY", "REASON", "CHANGES"];
    let rows: Vec<Vec<String>> = records.iter().map(row).collect();
    cx.print(&records, &format_table(&header, &rows))?;
    Ok(Exit::Success)
}

/// Returns the table row of a revision.
fn row(record: &RevisionRecord) -> Vec<String> {
    let changes: Vec<String> = record.plan.changes.iter().map(ToString::to_string).collect();

    vec![
        record.revision.to_string(),
        record.confirmed_s.to_string(),
        record.plan.id.clone(),
        record.plan.operator.clone(),
        record.confirmed_by.clone(),
        record.plan.reason.clone(),
        changes.join("; "),
    ]
}
