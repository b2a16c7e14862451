//! Requests of workspaces, admitted and refused, for the log.

use std::cmp::Reverse;

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::edge::Prompt;
use sapphirespur_core::name::Name;

/// Requests of one workspace since the last summary.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkspaceCount {
    /// Requests that were sent to an upstream.
    pub admitted: u32,
    /// Prompt tokens of these requests.
    pub admitted_tokens: u64,
    /// Refused requests, by the reason.
    pub refused: HashMap<&'static str, u32>,
    /// Prompt tokens of the refused requests.
    pub refused_tokens: u64,
}

impl WorkspaceCount {
    /// Returns the refused requests by reason, as the log shows them.
    pub fn refused_by_reason(&self) -> String {
        let mut reasons: Vec<_> = self.refused.iter().collect();
        reasons.sort_unstable();
        let reasons: Vec<_> =
            reasons.iter().map(|(reason, count)| format!("{reason}:{count}")).collect();
        reasons.join(",")
    }
}

/// Requests of all workspaces since the last summary.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkspaceCounts {
    by_workspace: HashMap<Name, WorkspaceCount>,
}

impl WorkspaceCounts {
    /// Counts a request that is sent to an upstream.
    pub fn record_admitted(&mut self, workspace: Option<&Name>, prompt: Option<&Prompt>) {
        if let Some(count) = self.count(workspace) {
            count.admitted += 1;
            count.admitted_tokens += input_tokens(prompt);
        }
    }

    /// Counts a refused request.
    pub fn record_refused(
        &mut self,
        workspace: Option<&Name>,
        prompt: Option<&Prompt>,
        reason: &'static str,
    ) {
        if let Some(count) = self.count(workspace) {
            *count.refused.entry(reason).or_default() += 1;
            count.refused_tokens += input_tokens(prompt);
        }
    }

    /// Starts the next summary. Returns the `most` workspaces of which most tokens were refused.
    pub fn take_refused(&mut self, most: usize) -> Vec<(Name, WorkspaceCount)> {
        let counts = std::mem::take(&mut self.by_workspace);
        let mut refused: Vec<_> =
            counts.into_iter().filter(|(_, count)| !count.refused.is_empty()).collect();
        refused.sort_unstable_by_key(|(_, count)| Reverse(count.refused_tokens));
        refused.truncate(most);
        refused
    }

    fn count(&mut self, workspace: Option<&Name>) -> Option<&mut WorkspaceCount> {
        let workspace = workspace?;
        if !self.by_workspace.contains_key(workspace) {
            self.by_workspace.insert(workspace.clone(), WorkspaceCount::default());
        }
        self.by_workspace.get_mut(workspace)
    }
}

fn input_tokens(prompt: Option<&Prompt>) -> u64 {
    prompt.map_or(0, |prompt| u64::from(prompt.input_tokens))
}
