//! Loads of callers.

use std::time::Duration;

use sapphirespur_core::edge::Prompt;

use crate::rng::Rng;

/// Kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Name of its route.
    pub route: &'static str,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Mean tokens of the shared parts: the first is shared by many, the second by one subject.
    pub shared_tokens: [u32; 2],
    /// Different first and second parts.
    pub shared_variants: [u64; 2],
    /// Mean tokens of the request's own part.
    pub own_tokens: u32,
    /// Mean tokens of the answer, and most of them.
    pub output_tokens: (u32, u32),
    /// Time within which the first event has its full worth.
    pub target_latency: Duration,
    /// Time within which the answer must be whole.
    pub timeout: Duration,
}

/// What the callers do beside the steady load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TrafficPattern {
    /// Nothing.
    Steady,
    /// One workspace sends several times its usual in the middle of the run.
    HotWorkspace,
    /// A third of the requests of the first kind are about one subject.
    HotSubject,
    /// Twice the traffic in the middle of the run.
    Burst,
    /// Two workspaces send many times as much as the others all the time; callers of the first one
    /// come to all routers alike, those of the second to one.
    TwoHotWorkspaces,
}

impl TrafficPattern {
    /// All patterns with their names.
    pub const ALL: [(&'static str, Self); 5] = [
        ("steady", Self::Steady),
        ("hot workspace", Self::HotWorkspace),
        ("hot subject", Self::HotSubject),
        ("burst", Self::Burst),
        ("two hot workspaces", Self::TwoHotWorkspaces),
    ];
}

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// When it arrives, in microseconds from the start.
    pub at_us: u64,
    /// Index of its kind.
    pub kind: usize,
    /// Workspace.
    pub workspace: usize,
    /// Router that it comes to.
    pub router: usize,
    /// Prompt.
    pub prompt: Prompt,
    /// Tokens of its answer.
    pub output_tokens: u32,
}

/// Load of a run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Kinds of request.
    pub request_kinds: Vec<RequestKind>,
    /// Workspaces, of which the first send most.
    pub workspaces: usize,
    /// Factor on the rates.
    pub rate_factor: f64,
    /// What callers do beside the steady load.
    pub pattern: TrafficPattern,
    /// Length of the run.
    pub duration: Duration,
}

impl Workload {
    /// Factor of a workspace that is hot.
    const HOT: f64 = 6.0;

    /// Workspaces that are hot together.
    pub const HOT_WORKSPACES: [usize; 2] = [2, 3];

    /// Weight of each of them; all others together have about 2,000.
    const HOT_WORKSPACE_WEIGHT: u32 = 2_000;

    /// Draws the requests of a run, in the order of their arrival.
    pub fn generate(&self, routers: usize, rng: &mut Rng) -> Vec<Request> {
        let mut requests = Vec::new();
        for kind in 0..self.request_kinds.len() {
            let mut at_us = 0;
            loop {
                let rate =
                    self.request_kinds[kind].requests_per_s * self.rate_factor * self.swell(at_us);
                at_us += exponential_us(rng, rate);
                if at_us >= self.duration.as_micros() as u64 {
                    break;
                }
                requests.push(self.request(kind, at_us, routers, rng));
            }
        }

        requests.sort_by_key(|request| request.at_us);
        requests
    }

    fn is_middle(&self, at_us: u64) -> bool {
        let span = self.duration.as_micros() as u64;
        (span / 3..span * 2 / 3).contains(&at_us)
    }

    fn swell(&self, at_us: u64) -> f64 {
        match self.pattern {
            TrafficPattern::Burst if self.is_middle(at_us) => 2.0,
            TrafficPattern::HotWorkspace if self.is_middle(at_us) => 1.0 + Self::HOT / 8.0,
            _ => 1.0,
        }
    }

    fn request(&self, kind: usize, at_us: u64, routers: usize, rng: &mut Rng) -> Request {
        let workspace = self.workspace(at_us, rng);
        let spec = &self.request_kinds[kind];
        let mut subject = rng.below(spec.shared_variants[1]);
        if self.pattern == TrafficPattern::HotSubject && kind == 0 && rng.per_mille(333) {
            subject = 0;
        }
        let first = subject % spec.shared_variants[0];
        let mut sizes = Rng::new(subject * 31 + kind as u64);
        let shared = [spec.shared_tokens[0], spread(&mut sizes, spec.shared_tokens[1])];
        let own = spread(rng, spec.own_tokens);
        let name = |level: u64, id: u64| (kind as u64) << 48 | level << 40 | id;
        let parts = [
            (name(1, first), shared[0]),
            (name(2, subject), shared[1]),
            (rng.next_u64() | 1 << 63, own),
        ];
        let input = shared[0] + shared[1] + own;

        Request {
            at_us,
            kind,
            workspace,
            router: self.router(workspace, routers, rng),
            prompt: Prompt::new(&parts, input, spec.output_tokens.1),
            output_tokens: spread(rng, spec.output_tokens.0).min(spec.output_tokens.1),
        }
    }

    fn router(&self, workspace: usize, routers: usize, rng: &mut Rng) -> usize {
        // Callers of a workspace come mostly to one router.
        let at_home_per_mille = match self.pattern {
            TrafficPattern::TwoHotWorkspaces if workspace == Self::HOT_WORKSPACES[0] => 0,
            TrafficPattern::TwoHotWorkspaces if workspace == Self::HOT_WORKSPACES[1] => 1_000,
            _ => 600,
        };
        if rng.per_mille(at_home_per_mille) {
            workspace % routers
        } else {
            rng.below(routers as u64) as usize
        }
    }

    fn workspace(&self, at_us: u64, rng: &mut Rng) -> usize {
        let hot = self.pattern == TrafficPattern::HotWorkspace && self.is_middle(at_us);
        let weights: Vec<u32> = (0..self.workspaces)
            .map(|index| {
                let usual = 1_000 / (index as u32 + 2);
                if self.pattern == TrafficPattern::TwoHotWorkspaces
                    && Self::HOT_WORKSPACES.contains(&index)
                {
                    return Self::HOT_WORKSPACE_WEIGHT;
                }
                if hot && index == 3 { usual * Self::HOT as u32 } else { usual }
            })
            .collect();

        rng.weighted_index(&weights)
    }
}

/// Returns the time to the next of `rate` events a second.
fn exponential_us(rng: &mut Rng, rate: f64) -> u64 {
    let uniform = (rng.below(1 << 32) + 1) as f64 / (1_u64 << 32) as f64;
    (-uniform.ln() / rate * 1e6) as u64 + 1
}

/// Returns a size about a mean, from a quarter of it to four times.
fn spread(rng: &mut Rng, mean: u32) -> u32 {
    let exponent = (rng.below(2_001) as f64 - 1_000.0) / 1_000.0 * 1.4;
    ((f64::from(mean) * exponent.exp() * 0.74) as u32).max(1)
}
