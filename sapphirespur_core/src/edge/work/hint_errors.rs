//! Learned errors of the clients' hints of response lengths.

use crate::collections::HashMap;
use crate::edge::work::{LengthOutlook, LogHistogram};
use crate::name::Name;

/// Errors of one workspace's hints on a route.
#[derive(Clone, Debug)]
struct WorkspaceErrors {
    workspace: Name,
    ratios: LogHistogram,
    /// Number of the latest sample.
    used: u64,
}

/// Errors of the hints on a route.
#[derive(Clone, Debug)]
struct RouteErrors {
    all: LogHistogram,
    workspaces: Vec<WorkspaceErrors>,
    by_workspace: HashMap<Name, usize>,
}

/// Ratios of actual lengths to hints, by route and workspace.
#[derive(Clone, Debug, Default)]
pub struct HintErrors {
    by_route: HashMap<Name, RouteErrors>,
    samples: u64,
}

impl HintErrors {
    /// Lowest ratio that is distinguished, as a power of two; the highest one is its inverse.
    const LOWEST_RATIO: i8 = -8;

    /// Ratios assumed before the first samples, with their weights: hints are right at the median, and
    /// many are off.
    const PRIOR: [(f32, f32); 5] = [(0.3, 1.0), (0.6, 2.0), (1.05, 4.0), (1.7, 2.0), (3.4, 1.0)];

    /// Samples of the route that a workspace without own ones begins with.
    const PRIOR_SAMPLES: f32 = 20.0;

    /// Workspaces with an own distribution on a route, at most: 75 KB.
    const MAX_WORKSPACES: usize = 256;

    /// Records the length of a response that had a hint.
    pub fn record(&mut self, route: &Name, workspace: Option<&Name>, hint: u32, tokens: f64) {
        let ratio = (tokens / f64::from(hint.max(1))) as f32;
        self.samples += 1;
        let errors = self.by_route.entry(route.clone()).or_insert_with(RouteErrors::new);
        if let Some(workspace) = workspace {
            let own = errors.workspace(workspace);
            own.used = self.samples;
            own.ratios.record(ratio);
        }
        errors.all.record(ratio);
    }

    /// Returns the distribution of the length of a response with a hint, at most `max`.
    pub fn outlook(
        &self,
        route: &Name,
        workspace: Option<&Name>,
        hint: u32,
        max: f64,
    ) -> LengthOutlook {
        let (hint, max) = (hint as f32, max as f32);
        let outlook = match self.by_route.get(route) {
            Some(errors) => errors.ratios(workspace).outlook(hint, max),
            None => prior().outlook(hint, max),
        };
        outlook.unwrap_or_else(|| LengthOutlook::certain(f64::from(hint), f64::from(max)))
    }
}

impl RouteErrors {
    fn new() -> Self {
        Self { all: prior(), workspaces: Vec::new(), by_workspace: HashMap::default() }
    }

    fn ratios(&self, workspace: Option<&Name>) -> &LogHistogram {
        let index = workspace.and_then(|workspace| self.by_workspace.get(workspace));
        index.map_or(&self.all, |index| &self.workspaces[*index].ratios)
    }

    /// Returns the errors of a workspace; a new one begins with those of the route, in place of the one
    /// that had no sample for the longest time if there are too many.
    fn workspace(&mut self, workspace: &Name) -> &mut WorkspaceErrors {
        if let Some(index) = self.by_workspace.get(workspace) {
            return &mut self.workspaces[*index];
        }
        let ratios = self.all.scaled_to(HintErrors::PRIOR_SAMPLES);
        let new = WorkspaceErrors { workspace: workspace.clone(), ratios, used: 0 };
        let index = if self.workspaces.len() < HintErrors::MAX_WORKSPACES {
            self.workspaces.push(new);
            self.workspaces.len() - 1
        } else {
            self.replace_oldest(new)
        };
        self.by_workspace.insert(workspace.clone(), index);
        &mut self.workspaces[index]
    }

    fn replace_oldest(&mut self, new: WorkspaceErrors) -> usize {
        let used = |(_, errors): &(usize, &WorkspaceErrors)| errors.used;
        let oldest = self.workspaces.iter().enumerate().min_by_key(used);
        let index = oldest.map_or(0, |(index, _)| index);
        let old = std::mem::replace(&mut self.workspaces[index], new);
        self.by_workspace.remove(&old.workspace);
        index
    }
}

/// Returns the errors assumed before the first samples.
fn prior() -> LogHistogram {
    let mut prior = LogHistogram::new(HintErrors::LOWEST_RATIO);
    for (ratio, weight) in HintErrors::PRIOR {
        prior.add(ratio, weight);
    }
    prior
}
