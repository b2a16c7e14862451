//! The `confirm` command.

use sapphirespur_core::config::{Plan, RevisionRecord};
use sapphirespur_node::clock::wall_s;
use sapphirespur_node::platform::ConfirmOutcome;
use serde::Serialize;

use crate::args::ConfirmArgs;
use crate::commands::Context;
use crate::error::CommandError;
use crate::exit::Exit;

/// JSON output of the command.
#[derive(Debug, Serialize)]
struct Confirmed<'a> {
    /// Identifier of the plan.
    plan: &'a str,
    accepted: bool,
    /// Revision in force.
    revision: u64,
    /// Record of the revision in force if the plan is stale; absent if the record is missing or the
    /// plan was accepted.
    by: Option<RevisionRecord>,
}

/// Confirms a plan and prints which revision is in force.
pub(super) async fn run(cx: &Context, args: &ConfirmArgs) -> Result<Exit, CommandError> {
    let plan = find_plan(cx, &args.plan).await?;
    let operator = cx.settings.name.as_str();

    match cx.store.confirm(&plan, operator, wall_s()).await? {
        ConfirmOutcome::Accepted { revision } => {
            let result = Confirmed { plan: &plan.id, accepted: true, revision, by: None };
            let text = format!("Plan {} is accepted as revision {revision}.\n", plan.id);
            cx.print(&result, &text)?;
            Ok(Exit::Success)
        }
        ConfirmOutcome::Stale { revision, record } => {
            let text = format_stale(&plan, revision, record.as_ref());
            cx.print(&Confirmed { plan: &plan.id, accepted: false, revision, by: record }, &text)?;
            Ok(Exit::Stale)
        }
    }
}

/// Finds a plan among those that wait for confirmation or, when it was already accepted, in the
/// history.
async fn find_plan(cx: &Context, id: &str) -> Result<Plan, CommandError> {
    if let Some(plan) = cx.store.load_plan(id).await? {
        return Ok(plan);
    }

    let records = cx.store.list_records().await?;
    let record = records.into_iter().find(|record| record.plan.id == id);
    record.map(|record| record.plan).ok_or_else(|| CommandError::NoPlan(id.to_owned()))
}

/// Returns the message that a plan is stale, with the revision that is in force instead.
fn format_stale(plan: &Plan, revision: u64, record: Option<&RevisionRecord>) -> String {
    let (id, base) = (&plan.id, plan.base);
    let first = format!("Plan {id} was made against revision {base} and is not accepted.\n");
    let second = match record {
        Some(record) => format!(
            "Revision {revision} is in force: plan {} of {}, confirmed by {}: {}\n",
            record.plan.id, record.plan.operator, record.confirmed_by, record.plan.reason
        ),
        None => format!("Revision {revision} is in force.\n"),
    };

    format!("{first}{second}Plan again against revision {revision}.\n")
}
