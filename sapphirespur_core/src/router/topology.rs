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

/// Returns the address of each process to which router `me` opens a link.
pub(super) fn wanted_links(
    me: &Name,
    data_centre: &Name,
    config: &Config,
    members: &[Vm],
) -> BTreeMap<Name, Name> {
    let sidecars =
        config.upstreams.iter().map(|(name, upstream)| (name.clone(), upstream.control.clone()));
    // Without a configuration nobody may know of this router yet, so it opens every link itself.
    let opens = |vm: &&Vm| config.revision == 0 || vm.name > *me;
    let routers = router_peers(me, data_centre, members)
        .into_iter()
        .filter(opens)
        .map(|vm| (vm.name.clone(), vm.control.clone()));

    sidecars.chain(routers).collect()
}

/// Tells whether router `me` watches the platform, given which routers seem alive.
pub(super) fn is_watcher(
    me: &Name,
    data_centre: &Name,
    members: &[Vm],
    is_alive: impl Fn(&Name) -> bool,
) -> bool {
    let local = members
        .iter()
        .filter(|vm| vm.role == VmRole::Router && vm.data_centre == *data_centre)
        .filter(|vm| vm.state == VmState::Live && vm.name != *me && is_alive(&vm.name))
        .map(|vm| &vm.name)
        .chain(std::iter::once(me));

    rendezvous(b"watcher", local, WATCHERS_PER_DATA_CENTRE).contains(&me)
}

/// Returns the routers with which `me` keeps a link: all of its own data centre and, when it is a
/// gateway of its data centre, the gateways of the others.
fn router_peers<'a>(me: &Name, data_centre: &Name, members: &'a [Vm]) -> Vec<&'a Vm> {
    let mut by_data_centre: BTreeMap<&Name, Vec<&Vm>> = BTreeMap::new();
    for vm in members.iter().filter(|vm| vm.role == VmRole::Router) {
        by_data_centre.entry(&vm.data_centre).or_default().push(vm);
    }

    let is_gateway = |vms: &[&Vm], name: &Name| {
        rendezvous(b"gateway", vms.iter().map(|vm| &vm.name), GATEWAYS_PER_DATA_CENTRE)
            .contains(&name)
    };
    let local = by_data_centre.get(data_centre).map_or(&[][..], Vec::as_slice);
    let bridges = is_gateway(local, me);

    let mut peers = Vec::new();
    for (other, vms) in &by_data_centre {
        let is_local = *other == data_centre;
        let linked = |vm: &&&Vm| is_local || (bridges && is_gateway(vms, &vm.name));
        peers.extend(vms.iter().filter(|vm| vm.name != *me).filter(linked));
    }

    peers
}
