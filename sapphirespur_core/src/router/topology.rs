//! Selection of a router's control links and of the routers that watch the platform.

use std::collections::BTreeMap;

use crate::config::Config;
use crate::hash::rendezvous;
use crate::name::Name;
use crate::vm::{Vm, VmRole, VmState};

/// Number of routers in each data centre that watch the platform.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Number of routers in each data centre that link to gateways of other data centres.
const GATEWAYS_PER_DATA_CENTRE: usize = 2;

/// Returns the processes that router `self_name` opens a link to, with their control addresses.
///
/// A router links to every sidecar. Of two routers, the one whose name sorts first opens the link.
pub(super) fn required_links(
    self_name: &Name,
    data_centre: &Name,
    config: &Config,
    members: &[Vm],
) -> BTreeMap<Name, Name> {
    let sidecars =
        config.upstreams.iter().map(|(name, upstream)| (name.clone(), upstream.control.clone()));
    // Without a configuration, other routers may not have discovered this one yet, so it opens all
    // of its links itself.
    let opens_link = |vm: &&Vm| config.revision == 0 || vm.name > *self_name;
    let routers = router_peers(self_name, data_centre, members)
        .into_iter()
        .filter(opens_link)
        .map(|vm| (vm.name.clone(), vm.control.clone()));

    sidecars.chain(routers).collect()
}

/// Returns whether router `self_name` watches the platform.
///
/// The watchers of a data centre are chosen by rendezvous hash among `self_name` and the other
/// live routers there for which `is_alive` returns `true`.
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

/// Returns the routers that `self_name` has a link with.
///
/// These are all routers of its data centre and, if it is a gateway of its data centre, the
/// gateways of the other data centres.
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
