//! Sizes of simulated fleets and their initial configuration.

use std::time::Duration;

use sapphirespur_core::config::{
    CallPattern, Change, Class, DataCentre, DataCentreState, Model, Service, Target, Upstream,
    UpstreamState, Workspace,
};
use sapphirespur_core::hash::sha256_hex;
use sapphirespur_core::name::Name;
use sapphirespur_core::vm::{Vm, VmRole, VmState};

use crate::engine::EngineParams;
use crate::fleet::{Fleet, FleetOptions};

/// Model that the model runners of every topology serve.
pub const MODEL: &str = "writer";

/// Service that the service runners of every topology serve.
pub const SERVICE: &str = "registry";

/// Classes with their weights; the last one is the default class.
pub const CLASSES: [(&str, u32); 4] =
    [("dossier", 8), ("tuning", 4), ("label", 1), ("ordinary", 2)];

/// Size, capacity and latency of a fleet.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Names of the data centres.
    pub data_centres: Vec<&'static str>,
    /// Number of routers in each data centre.
    pub routers: usize,
    /// Number of model runners in total; they are distributed over the data centres in turn.
    pub runners: usize,
    /// Number of service runners in total; they are distributed over the data centres in turn.
    pub services: usize,
    /// Shares of the workspaces, which are named `w0`, `w1` and so on.
    pub shares: Vec<u32>,
    /// Capacity and speed of a model runner.
    pub runner: EngineParams,
    /// Capacity and speed of a service runner.
    pub service: EngineParams,
    /// One-way latency between two nodes.
    pub latency: Duration,
}

impl Topology {
    /// Returns the topology of the Agenzia deployment.
    pub fn agenzia() -> Self {
        Self {
            data_centres: vec!["milano", "torino", "bologna"],
            routers: 2,
            runners: 20,
            services: 3,
            shares: vec![8, 8, 4, 4, 2, 2, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1],
            runner: runner_params(),
            service: service_params(),
            latency: Duration::from_millis(1),
        }
    }

    /// Returns the topology of the Katharotis deployment.
    pub fn katharotis() -> Self {
        Self {
            data_centres: vec!["piraeus", "marousi", "glyfada"],
            runners: 10,
            latency: Duration::from_micros(1_500),
            ..Self::agenzia()
        }
    }

    /// Returns a small topology for tests of single faults.
    pub fn small() -> Self {
        Self {
            data_centres: vec!["east", "west"],
            routers: 2,
            runners: 2,
            services: 2,
            shares: vec![1, 1],
            ..Self::agenzia()
        }
    }

    /// Returns the names of the routers.
    pub fn router_names(&self) -> Vec<Name> {
        let names = self.data_centres.iter().flat_map(|dc| {
            (0..self.routers).map(move |index| Name::new(&format!("{dc}-r{index}")))
        });

        names.collect()
    }

    /// Returns the names of the model runners.
    pub fn runner_names(&self) -> Vec<Name> {
        (0..self.runners).map(|n| Name::new(&format!("{}-m{n}", self.data_centre(n)))).collect()
    }

    /// Returns the names of the service runners.
    pub fn service_names(&self) -> Vec<Name> {
        (0..self.services).map(|n| Name::new(&format!("{}-s{n}", self.data_centre(n)))).collect()
    }

    /// Returns the names of the workspaces.
    pub fn workspace_names(&self) -> Vec<Name> {
        (0..self.shares.len()).map(|index| Name::new(&format!("w{index}"))).collect()
    }

    /// Starts the fleet and runs it for 3 s, so that its links are up.
    ///
    /// An upstream with a cold period longer than that is still cold when this returns.
    pub fn start(&self, options: FleetOptions) -> Fleet {
        let mut fleet = Fleet::new(FleetOptions { latency: self.latency, ..options });
        fleet.set_members(self.members());
        let accepted = fleet.confirm(&self.changes());
        assert!(accepted, "the first configuration is accepted");

        for name in self.router_names() {
            fleet.add_router(&name, &data_centre_from_name(&name));
        }
        for name in self.runner_names() {
            fleet.add_upstream(&name, &data_centre_from_name(&name), self.runner);
        }
        for name in self.service_names() {
            fleet.add_upstream(&name, &data_centre_from_name(&name), self.service);
        }
        fleet.run_for(Duration::from_secs(3));
        fleet
    }

    /// Returns the platform's VM list.
    pub fn members(&self) -> Vec<Vm> {
        let vm = |name: &Name, role| Vm {
            name: name.clone(),
            data_centre: data_centre_from_name(name),
            role,
            state: VmState::Live,
            control: name.clone(),
            admin: name.clone(),
        };
        let routers = self.router_names();
        let sidecars = self.runner_names().into_iter().chain(self.service_names());

        routers
            .iter()
            .map(|name| vm(name, VmRole::Router))
            .chain(sidecars.map(|name| vm(&name, VmRole::Sidecar)))
            .collect()
    }

    /// Returns the changes that create the initial configuration.
    pub fn changes(&self) -> Vec<Change> {
        let mut changes = vec![
            Change::SetModel(Name::new(MODEL), Model {}),
            Change::SetService(
                Name::new(SERVICE),
                Service {
                    idempotent: vec![CallPattern {
                        method: "POST".to_owned(),
                        path: "/lookup".to_owned(),
                    }],
                },
            ),
        ];
        changes.extend(CLASSES.iter().map(|(name, weight)| {
            let default = *name == "ordinary";
            Change::SetClass(Name::new(name), Class { weight: *weight, default })
        }));
        changes.extend(
            self.data_centres.iter().map(|name| data_centre_change(name, DataCentreState::In)),
        );
        changes.extend(self.workspace_names().into_iter().zip(&self.shares).map(
            |(name, share)| {
                let key_digests = vec![sha256_hex(name.as_str().as_bytes())];
                Change::SetWorkspace(name, Workspace { share: *share, key_digests })
            },
        ));
        let runners = self
            .runner_names()
            .into_iter()
            .map(|name| set_upstream(name, Target::Model(Name::new(MODEL)), self.runner));
        let services = self
            .service_names()
            .into_iter()
            .map(|name| set_upstream(name, Target::Service(Name::new(SERVICE)), self.service));
        changes.extend(runners);
        changes.extend(services);

        changes
    }

    fn data_centre(&self, index: usize) -> &'static str {
        self.data_centres[index % self.data_centres.len()]
    }
}

/// Returns the change that sets the state of a data centre.
pub fn data_centre_change(name: &str, state: DataCentreState) -> Change {
    Change::SetDataCentre(Name::new(name), DataCentre { state })
}

/// Returns the data centre in a node's name, which is the part before the first hyphen.
pub fn data_centre_from_name(name: &Name) -> Name {
    Name::new(name.as_str().split('-').next().unwrap_or_default())
}

fn set_upstream(name: Name, target: Target, params: EngineParams) -> Change {
    let upstream = Upstream {
        target,
        data_centre: data_centre_from_name(&name),
        address: name.clone(),
        control: name.clone(),
        slots: params.slots,
        cold_slots: params.cold_slots,
        state: UpstreamState::Active,
    };

    Change::SetUpstream(name, upstream)
}

fn runner_params() -> EngineParams {
    EngineParams {
        slots: 8,
        cold_slots: 2,
        cold_duration: Duration::ZERO,
        crash_recovery: Duration::from_secs(1),
        first_token_latency: Duration::from_millis(200),
        step_duration: Duration::from_millis(160),
    }
}

fn service_params() -> EngineParams {
    EngineParams {
        slots: 8,
        cold_slots: 2,
        cold_duration: Duration::ZERO,
        crash_recovery: Duration::from_secs(1),
        first_token_latency: Duration::from_millis(20),
        step_duration: Duration::from_millis(10),
    }
}
