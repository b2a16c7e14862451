//! Contents of the settings and intent files that the processes read.

use std::fmt::Write;

use crate::processes::addresses::Addresses;
use crate::processes::layout::{Layout, data_centre_name};

/// Returns the section with the URLs of the platform.
fn platform_section(store: &str, vm_list: &str) -> String {
    format!("[platform]\nstore = http://{store}\nvm-list = http://{vm_list}/vms\n")
}

/// Returns the settings of a router that listens on `addresses`.
pub(super) fn router(
    name: &str,
    addresses: &Addresses,
    drain_s: u64,
    store: &str,
    vm_list: &str,
) -> String {
    format!(
        "[node]\nname = {name}\ndata-centre = {}\n[listen]\nhttp = {}\ncontrol = {}\nadmin = {}\n\
         [limits]\ndrain-s = {drain_s}\n{}",
        data_centre_name(name),
        addresses.traffic,
        addresses.control,
        addresses.admin,
        platform_section(store, vm_list)
    )
}

/// Returns the settings of a sidecar that listens on `addresses`; only the sidecar of an engine has
/// a load path.
pub(super) fn sidecar(
    name: &str,
    addresses: &Addresses,
    upstream: &str,
    store: &str,
    vm_list: &str,
) -> String {
    let load = if name.contains("-e") { "load-path = /load\n" } else { "" };

    format!(
        "[node]\nname = {name}\ndata-centre = {}\n[listen]\nattempts = {}\ncontrol = {}\n\
         admin = {}\n[upstream]\nurl = http://{upstream}\n{load}[limits]\ndrain-s = 30\n{}",
        data_centre_name(name),
        addresses.traffic,
        addresses.control,
        addresses.admin,
        platform_section(store, vm_list)
    )
}

/// Returns the settings of an operator.
pub(super) fn operator(name: &str, store: &str, vm_list: &str) -> String {
    format!("[operator]\nname = {name}\n{}", platform_section(store, vm_list))
}

/// Returns the intent of the first configuration.
pub(super) fn intent(
    layout: &Layout,
    key_digest: impl Fn(&str) -> String,
    address: impl Fn(&str) -> Addresses,
) -> String {
    let mut text = String::from(
        "[class dossier]\nweight = 8\n[class tuning]\nweight = 4\n\
         [class ordinary]\nweight = 2\ndefault = true\n[class label]\nweight = 1\n\
         [model profile-writer]\n[service registry]\nidempotent = GET /, POST /lookup\n",
    );
    // Writing to a string cannot fail, so the results are ignored.
    for (workspace, share) in [("agenzia", 2), ("katharotis", 1)] {
        let digest = key_digest(&format!("{workspace}-demo-key"));
        let _ = writeln!(text, "[workspace {workspace}]\nshare = {share}\nkey-digests = {digest}");
    }
    for name in &layout.data_centres {
        let _ = writeln!(text, "[data-centre {name}]\nstate = in");
    }
    for name in layout.engine_names().iter().chain(&layout.service_names()) {
        let target =
            if name.contains("-e") { "model = profile-writer" } else { "service = registry" };
        let addresses = address(name);
        let _ = writeln!(
            text,
            "[upstream {name}]\n{target}\ndata-centre = {}\naddress = {}\ncontrol = {}\n\
             slots = {}\ncold-slots = {}",
            data_centre_name(name),
            addresses.traffic,
            addresses.control,
            layout.engine.slots,
            layout.engine.cold_slots
        );
    }

    text
}
