//! Choice of the links and of the platform's watchers.

use std::collections::BTreeMap;

use crate::config::Config;
use crate::hash::rendezvous;
use crate::name::Name;
use crate::vm::{Vm, VmRole, VmState};

/// Routers of each data centre that watch the platform.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Routers of each data centre that link to those of the others.
const GATEWAYS_PER_DATA_CENTRE: usize = 2;

/// Returns the address of each process to which router `self_name` opens a link.
pub(super) fn required_links(
    self_name: &Name,
    data_centre: &Name,
    config: &Config,
    members: &[Vm],
) -> BTreeMap<Name, Name> {
    let sidecars =
        config.upstreams.iter().map(|(name, upstream)| (name.clone(), upstream.control.clone()));
    // Without a configuration nobody may know of this router yet, so it opens every link itself.
    let opens_link = |vm: &&Vm| config.revision == 0 || vm.name > *self_name;
    let routers = router_peers(self_name, data_centre, members)
        .into_iter()
        .filter(opens_link)
        .map(|vm| (vm.name.clone(), vm.control.clone()));

    sidecars.chain(routers).collect()
}

/// Tells whether router `self_name` watches the platform, given which routers seem alive.
pub(super) fn is_watcher(
    self_name: &Name,
    data_centre: &Name,
    members: &[Vm],
    is_alive: impl Fn(&Name) -> bool,
) -> bool {
    let local = members
        .iter()
        .filter(|vm| vm.role == VmRole::Router && vm.data_centre == *data_centre)
        .filter(|vm| vm.state == VmState::Live && vm.name != *self_name && is_alive(&vm.name))
        .map(|vm| &vm.name)
        .chain(std::iter::once(self_name));

    rendezvous(b"watcher", local, WATCHERS_PER_DATA_CENTRE).contains(&self_name)
}

/// Returns the routers with which `self_name` keeps a link: all of its own data centre and, when it is a
/// gateway of its data centre, the gateways of the others.
fn router_peers<'a>(self_name: &Name, data_centre: &Name, members: &'a [Vm]) -> Vec<&'a Vm> {
    let mut by_data_centre: BTreeMap<&Name, Vec<&Vm>> = BTreeMap::new();
    for vm in members.iter().filter(|vm| vm.role == VmRole::Router) {
        by_data_centre.entry(&vm.data_centre).or_default().push(vm);
    }

    let is_gateway = |vms: &[&Vm], name: &Name| {
        rendezvous(b"gateway", vms.iter().map(|vm| &vm.name), GATEWAYS_PER_DATA_CENTRE)
            .contains(&name)
    };
    let local = by_data_centre.get(data_centre).map_or(&[][..], Vec::as_slice);
    let is_self_gateway = is_gateway(local, self_name);

    let mut peers = Vec::new();
    for (other, vms) in &by_data_centre {
        let is_local = *other == data_centre;
        let has_link = |vm: &&&Vm| is_local || (is_self_gateway && is_gateway(vms, &vm.name));
        peers.extend(vms.iter().filter(|vm| vm.name != *self_name).filter(has_link));
    }

    peers
}
