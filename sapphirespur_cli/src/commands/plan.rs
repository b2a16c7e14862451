//! The `plan` and `data-centre` commands.

use sapphirespur_core::config::{Change, DataCentre, Plan};
use sapphirespur_core::hash::sha256_hex;
use sapphirespur_core::name::Name;
use sapphirespur_node::clock::{wall_s, wall_us};
use sapphirespur_node::platform::StoredConfig;

use crate::args::{DataCentreArgs, PlanArgs};
use crate::commands::Context;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::intent;
use crate::render;

/// Length of a plan's identifier, in hexadecimal digits.
const PLAN_ID_DIGITS: usize = 12;

/// Stores a plan with the changes of an intent.
pub(super) async fn run(cx: &Context, args: &PlanArgs) -> Result<Exit, CommandError> {
    let stored = cx.store.load().await?;
    let changes = intent::read(&args.intent, &stored.config)?;

    save(cx, &stored, changes, &args.reason).await
}

/// Stores a plan to take a data centre out or back in.
pub(super) async fn run_data_centre(
    cx: &Context,
    args: &DataCentreArgs,
) -> Result<Exit, CommandError> {
    let stored = cx.store.load().await?;
    let name = Name::new(&args.name);
    if !stored.config.data_centres.contains_key(&name) {
        return Err(CommandError::NoDataCentre(args.name.clone()));
    }

    let change = Change::SetDataCentre(name, DataCentre { state: args.state });
    save(cx, &stored, vec![change], &args.reason).await
}

/// Checks that the changes are valid, stores them as a plan and prints it.
async fn save(
    cx: &Context,
    stored: &StoredConfig,
    changes: Vec<Change>,
    reason: &str,
) -> Result<Exit, CommandError> {
    stored.config.with_changes(&changes)?;
    let operator = cx.settings.name.as_str();
    let seed = format!("{operator}\0{}\0{}", wall_us(), std::process::id());
    let mut id = sha256_hex(seed.as_bytes());
    id.truncate(PLAN_ID_DIGITS);

    let plan = Plan {
        id,
        base: stored.root.revision,
        operator: operator.to_owned(),
        reason: reason.to_owned(),
        created_s: wall_s(),
        changes,
    };
    cx.store.save_plan(&plan).await?;

    let text = format!(
        "Plan {} against revision {}:\n{}Nothing has changed yet. To accept: sapphirespur confirm {}\n",
        plan.id,
        plan.base,
        render::format_changes(&stored.config, &plan.changes),
        plan.id
    );
    cx.print(&plan, &text)?;
    Ok(Exit::Success)
}
