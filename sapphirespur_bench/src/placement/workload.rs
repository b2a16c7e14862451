//! Request workloads, drawn from a seeded random number generator.

use std::time::Duration;

use sapphirespur_core::edge::Prompt;

use crate::rng::Rng;

/// Parameters of one kind of request: its route, rate, prompt and answer sizes, and time limits.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Name of the route that it uses.
    pub route: &'static str,
    /// Mean requests per second.
    pub requests_per_s: f64,
    /// Mean tokens of the two shared prompt segments: many subjects share the first, the requests
    /// about one subject the second. The size of the second varies by subject.
    pub shared_tokens: [u32; 2],
    /// Number of distinct first and second segments; the latter is the number of subjects.
    pub shared_variants: [u64; 2],
    /// Mean tokens of the prompt segment that no other request has.
    pub own_tokens: u32,
    /// Mean and largest number of tokens of the answer.
    pub output_tokens: (u32, u32),
    /// Target for the time to the first event; later, a complete answer counts as late.
    pub target_latency: Duration,
    /// Time within which the answer must be complete.
    pub timeout: Duration,
}

/// Deviation of the traffic from a steady load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TrafficPattern {
    /// Constant mean request rates, the usual weights of workspaces and evenly drawn subjects.
    Steady,
    /// One workspace sends several times its usual rate in the middle third of the run.
    HotWorkspace,
    /// A third of the requests of the first kind concern one subject.
    HotSubject,
    /// The traffic doubles in the middle third of the run.
    Burst,
    /// Two workspaces send many times as much as the others throughout the run. The requests of the
    /// first are spread evenly over all routers, those of the second go to one router.
    TwoHotWorkspaces,
}

impl TrafficPattern {
    /// All patterns with the names that are printed.
    pub const ALL: [(&'static str, Self); 5] = [
        ("steady", Self::Steady),
        ("hot workspace", Self::HotWorkspace),
        ("hot subject", Self::HotSubject),
        ("burst", Self::Burst),
        ("two hot workspaces", Self::TwoHotWorkspaces),
    ];
}

/// Request of a generated workload: its arrival, workspace, router, prompt and answer size.
#[derive(Clone, Debug)]
pub struct Request {
    /// Arrival time, in microseconds from the start of the run.
    pub arrival_us: u64,
    /// Index of its kind in `Workload::request_kinds`.
    pub kind: usize,
    /// Index of the workspace that sends it.
    pub workspace: usize,
    /// Index of the router that receives it.
    pub router: usize,
    /// Prompt, with the shared segments and the request's own.
    pub prompt: Prompt,
    /// Number of tokens of its answer.
    pub output_tokens: u32,
}

/// Parameters of the requests of a run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Kinds of request, each with its own arrival process.
    pub request_kinds: Vec<RequestKind>,
    /// Number of workspaces; those with lower indices send more.
    pub workspaces: usize,
    /// Factor on the request rates of all kinds.
    pub rate_factor: f64,
    /// Deviation from a steady load.
    pub pattern: TrafficPattern,
    /// Time during which requests arrive.
    pub duration: Duration,
}

impl Workload {
    /// Factor on the rate of the hot workspace in `TrafficPattern::HotWorkspace`.
    const HOT_WORKSPACE_FACTOR: f64 = 6.0;

    /// Indices of the hot workspaces in `TrafficPattern::TwoHotWorkspaces`: the one that is spread
    /// over all routers, and the one that goes to a single router.
    pub const HOT_WORKSPACES: [usize; 2] = [2, 3];

    /// Weight of each of `HOT_WORKSPACES`; all others together have about 2,000.
    const HOT_WORKSPACE_WEIGHT: u32 = 2_000;

    /// Generates the requests of a run, in the order of their arrival.
    pub fn generate(&self, routers: usize, rng: &mut Rng) -> Vec<Request> {
        let mut requests = Vec::new();
        for kind in 0..self.request_kinds.len() {
            let mut arrival_us = 0;
            loop {
                let rate_per_s = self.request_kinds[kind].requests_per_s
                    * self.rate_factor
                    * self.pattern_factor(arrival_us);
                arrival_us += exponential_us(rng, rate_per_s);
                if arrival_us >= self.duration.as_micros() as u64 {
                    break;
                }
                requests.push(self.request(kind, arrival_us, routers, rng));
            }
        }

        requests.sort_by_key(|request| request.arrival_us);
        requests
    }

    /// Returns whether a time is in the middle third of the run.
    fn is_middle_third(&self, arrival_us: u64) -> bool {
        let duration_us = self.duration.as_micros() as u64;
        (duration_us / 3..duration_us * 2 / 3).contains(&arrival_us)
    }

    /// Returns the factor that the traffic pattern puts on the request rates.
    fn pattern_factor(&self, arrival_us: u64) -> f64 {
        match self.pattern {
            TrafficPattern::Burst if self.is_middle_third(arrival_us) => 2.0,
            TrafficPattern::HotWorkspace if self.is_middle_third(arrival_us) => {
                1.0 + Self::HOT_WORKSPACE_FACTOR / 8.0
            }
            _ => 1.0,
        }
    }

    /// Draws one request of a kind.
    fn request(&self, kind: usize, arrival_us: u64, routers: usize, rng: &mut Rng) -> Request {
        let workspace = self.workspace(arrival_us, rng);
        let spec = &self.request_kinds[kind];
        let mut subject = rng.below(spec.shared_variants[1]);
        if self.pattern == TrafficPattern::HotSubject && kind == 0 && rng.per_mille(333) {
            subject = 0;
        }
        let first = subject % spec.shared_variants[0];
        // Seeded by subject, so that a subject's segment always has the same size.
        let mut subject_rng = Rng::new(subject * 31 + kind as u64);
        let shared_tokens =
            [spec.shared_tokens[0], log_uniform_size(&mut subject_rng, spec.shared_tokens[1])];
        let own_tokens = log_uniform_size(rng, spec.own_tokens);
        let segment_id = |level: u64, id: u64| (kind as u64) << 48 | level << 40 | id;
        let segments = [
            (segment_id(1, first), shared_tokens[0]),
            (segment_id(2, subject), shared_tokens[1]),
            (rng.next_u64() | 1 << 63, own_tokens),
        ];
        let input = shared_tokens[0] + shared_tokens[1] + own_tokens;

        let output_tokens = log_uniform_size(rng, spec.output_tokens.0).min(spec.output_tokens.1);
        let output_hint = Some(hint(&mut Rng::new(rng.clone().next_u64()), output_tokens));

        Request {
            arrival_us,
            kind,
            workspace,
            router: self.router(workspace, routers, rng),
            prompt: Prompt { output_hint, ..Prompt::new(&segments, input, spec.output_tokens.1) },
            output_tokens,
        }
    }

    /// Draws the router that receives a request.
    fn router(&self, workspace: usize, routers: usize, rng: &mut Rng) -> usize {
        // Most requests of a workspace go to its home router.
        let home_per_mille = match self.pattern {
            TrafficPattern::TwoHotWorkspaces if workspace == Self::HOT_WORKSPACES[0] => 0,
            TrafficPattern::TwoHotWorkspaces if workspace == Self::HOT_WORKSPACES[1] => 1_000,
            _ => 600,
        };
        if rng.per_mille(home_per_mille) {
            workspace % routers
        } else {
            rng.below(routers as u64) as usize
        }
    }

    /// Draws the workspace that sends a request.
    fn workspace(&self, arrival_us: u64, rng: &mut Rng) -> usize {
        let is_hot_phase =
            self.pattern == TrafficPattern::HotWorkspace && self.is_middle_third(arrival_us);
        let weights: Vec<u32> = (0..self.workspaces)
            .map(|index| {
                let usual_weight = 1_000 / (index as u32 + 2);
                if self.pattern == TrafficPattern::TwoHotWorkspaces
                    && Self::HOT_WORKSPACES.contains(&index)
                {
                    return Self::HOT_WORKSPACE_WEIGHT;
                }
                if is_hot_phase && index == 3 {
                    usual_weight * Self::HOT_WORKSPACE_FACTOR as u32
                } else {
                    usual_weight
                }
            })
            .collect();

        rng.weighted_index(&weights)
    }
}

/// Draws a client's estimate of an answer's length: right at the median, and more than two times off in
/// about one of four.
fn hint(rng: &mut Rng, output_tokens: u32) -> u32 {
    let exponent = (rng.below(2_001) as f64 - 1_000.0) / 1_000.0 * 0.9;
    ((f64::from(output_tokens) * exponent.exp()) as u32).max(1)
}

/// Draws the time to the next event of a Poisson process, in microseconds.
fn exponential_us(rng: &mut Rng, rate_per_s: f64) -> u64 {
    let uniform = (rng.below(1 << 32) + 1) as f64 / (1_u64 << 32) as f64;
    (-uniform.ln() / rate_per_s * 1e6) as u64 + 1
}

/// Draws a size from a log-uniform distribution with about the given mean; the largest size is about
/// 16 times the smallest.
fn log_uniform_size(rng: &mut Rng, mean: u32) -> u32 {
    // The factor exp(u), with u uniform from -1.4 to 1.4, is about 1/4 to 4. Its mean is
    // sinh(1.4) / 1.4; 0.74 is about the inverse of that.
    let exponent = (rng.below(2_001) as f64 - 1_000.0) / 1_000.0 * 1.4;
    ((f64::from(mean) * exponent.exp() * 0.74) as u32).max(1)
}
