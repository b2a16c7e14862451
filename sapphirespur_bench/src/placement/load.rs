//! Loads of callers.

use std::time::Duration;

use sapphirespur_core::edge::Prompt;

use crate::rng::Rng;

/// Kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Name of its route.
    pub route: &'static str,
    /// Requests a second.
    pub per_s: f64,
    /// Mean tokens of the shared parts: the first is shared by many, the second by one subject.
    pub shared: [u32; 2],
    /// Different first and second parts.
    pub subjects: [u64; 2],
    /// Mean tokens of the request's own part.
    pub own: u32,
    /// Mean tokens of the answer, and most of them.
    pub output: (u32, u32),
    /// Time within which the first event has its full worth.
    pub target: Duration,
    /// Time within which the answer must be whole.
    pub timeout: Duration,
}

/// What the callers do beside the steady load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pattern {
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

impl Pattern {
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
    pub output: u32,
}

/// Load of a run.
#[derive(Clone, Debug)]
pub struct Load {
    /// Kinds of request.
    pub kinds: Vec<Kind>,
    /// Workspaces, of which the first send most.
    pub workspaces: usize,
    /// Factor on the rates.
    pub factor: f64,
    /// What callers do beside the steady load.
    pub pattern: Pattern,
    /// Length of the run.
    pub span: Duration,
}

impl Load {
    /// Factor of a workspace that is hot.
    const HOT: f64 = 6.0;

    /// Workspaces that are hot together.
    pub const TWO_HOT: [usize; 2] = [2, 3];

    /// Weight of each of them; all others together have about 2,000.
    const TWO_HOT_WEIGHT: u32 = 2_000;

    /// Draws the requests of a run, in the order of their arrival.
    pub fn draw(&self, routers: usize, rng: &mut Rng) -> Vec<Request> {
        let mut requests = Vec::new();
        for kind in 0..self.kinds.len() {
            let mut at_us = 0;
            loop {
                let rate = self.kinds[kind].per_s * self.factor * self.swell(at_us);
                at_us += exponential_us(rng, rate);
                if at_us >= self.span.as_micros() as u64 {
                    break;
                }
                requests.push(self.request(kind, at_us, routers, rng));
            }
        }

        requests.sort_by_key(|request| request.at_us);
        requests
    }

    fn is_middle(&self, at_us: u64) -> bool {
        let span = self.span.as_micros() as u64;
        (span / 3..span * 2 / 3).contains(&at_us)
    }

    fn swell(&self, at_us: u64) -> f64 {
        match self.pattern {
            Pattern::Burst if self.is_middle(at_us) => 2.0,
            Pattern::HotWorkspace if self.is_middle(at_us) => 1.0 + Self::HOT / 8.0,
            _ => 1.0,
        }
    }

    fn request(&self, kind: usize, at_us: u64, routers: usize, rng: &mut Rng) -> Request {
        let workspace = self.workspace(at_us, rng);
        let spec = &self.kinds[kind];
        let mut subject = rng.below(spec.subjects[1]);
        if self.pattern == Pattern::HotSubject && kind == 0 && rng.per_mille(333) {
            subject = 0;
        }
        let first = subject % spec.subjects[0];
        let mut sizes = Rng::new(subject * 31 + kind as u64);
        let shared = [spec.shared[0], spread(&mut sizes, spec.shared[1])];
        let own = spread(rng, spec.own);
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
            prompt: Prompt::new(&parts, input, spec.output.1),
            output: spread(rng, spec.output.0).min(spec.output.1),
        }
    }

    fn router(&self, workspace: usize, routers: usize, rng: &mut Rng) -> usize {
        // Callers of a workspace come mostly to one router.
        let at_home_per_mille = match self.pattern {
            Pattern::TwoHotWorkspaces if workspace == Self::TWO_HOT[0] => 0,
            Pattern::TwoHotWorkspaces if workspace == Self::TWO_HOT[1] => 1_000,
            _ => 600,
        };
        if rng.per_mille(at_home_per_mille) {
            workspace % routers
        } else {
            rng.below(routers as u64) as usize
        }
    }

    fn workspace(&self, at_us: u64, rng: &mut Rng) -> usize {
        let hot = self.pattern == Pattern::HotWorkspace && self.is_middle(at_us);
        let weights: Vec<u32> = (0..self.workspaces)
            .map(|index| {
                let usual = 1_000 / (index as u32 + 2);
                if self.pattern == Pattern::TwoHotWorkspaces && Self::TWO_HOT.contains(&index) {
                    return Self::TWO_HOT_WEIGHT;
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
