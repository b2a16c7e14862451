//! Start of the project's routers, with the command and the template of the deploy file.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::client::{self, Request};

/// Program of the deploy file, relative to the repository's root.
const PROGRAM: &str = "target/release/sapphirespur-edge";
/// Template of the settings, relative to the repository's root.
const TEMPLATE: &str = "deploy/router.ini";

/// Ports that are the same on all machines of a deployment.
const FRONTEND_PORT: u16 = 18_783;
const READY_PORT: u16 = 18_780;
const CONTROL_PORT: u16 = 18_785;
const INTERNAL_PORT: u16 = 17_400;
const METRICS_PORT: u16 = 9_464;

/// Folder and loopback network of a case, removed at the end.
pub struct Place {
    pub folder: PathBuf,
    /// First three bytes of the loopback addresses.
    net: String,
}

impl Place {
    /// Creates a temporary folder, and chooses a loopback network in which the ports are free.
    pub fn create() -> io::Result<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("sapphirespur-review-{pid}"));
        fs::create_dir_all(&folder)?;
        let net = (0..200)
            .map(|offset| (pid + offset * 37) % 60_000)
            .map(|number| format!("127.{}.{}", 2 + number / 250, 1 + number % 250))
            .find(|net| (1..=8).all(|host| is_free(&format!("{net}.{host}"))))
            .ok_or_else(|| io::Error::other("no free loopback network"))?;
        Ok(Self { folder, net })
    }

    /// Returns a loopback address of the case.
    pub fn ip(&self, host: u8) -> String {
        format!("{}.{host}", self.net)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn is_free(ip: &str) -> bool {
    [FRONTEND_PORT, READY_PORT, INTERNAL_PORT, METRICS_PORT]
        .iter()
        .all(|port| TcpListener::bind((ip, *port)).is_ok())
        && UdpSocket::bind((ip, INTERNAL_PORT)).is_ok()
}

/// Figures of a machine and bounds, as the sheet of a deployment has them.
#[derive(Clone, Debug)]
pub struct Sheet {
    pub memory_mb: u32,
    pub descriptors: u32,
    pub retry_allowance: u32,
    pub drain_ms: u32,
    pub config_propagation_ms: u32,
    pub delivery_slack_ms: u32,
}

impl Sheet {
    /// Returns the figures of the sheet `katharotis-rounds`.
    pub fn katharotis() -> Self {
        Self {
            memory_mb: 110,
            descriptors: 4_100,
            retry_allowance: 54,
            drain_ms: 2_000,
            config_propagation_ms: 2_000,
            delivery_slack_ms: 120,
        }
    }

    /// Returns the figures of the sheet `arpa-sonora-large`, those of its smallest machines.
    pub fn arpa_large() -> Self {
        Self {
            memory_mb: 160,
            descriptors: 4_100,
            retry_allowance: 246,
            drain_ms: 4_000,
            config_propagation_ms: 4_000,
            delivery_slack_ms: 200,
        }
    }
}

/// Router process; killed when dropped.
pub struct Router {
    pub name: String,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    pub settings: PathBuf,
    /// File with what the process writes.
    pub log: PathBuf,
    child: Child,
}

impl Router {
    /// Starts the router of machine `host` in a zone; `seeds` are addresses of machines.
    pub fn start(
        place: &Place,
        (host, zone): (u8, &str),
        seeds: &[String],
        store: SocketAddr,
        sheet: &Sheet,
    ) -> io::Result<Self> {
        let ip = place.ip(host);
        let name = format!("edge-{zone}-{host}");
        let values = [
            ("node_name", name.clone()),
            ("zone", zone.to_owned()),
            ("listen_addresses.frontend", format!("{ip}:{FRONTEND_PORT}")),
            ("listen_addresses.ready", format!("{ip}:{READY_PORT}")),
            ("ip_address", ip.clone()),
            ("internal_port_range.0", INTERNAL_PORT.to_string()),
            ("seed_nodes", seed_list(seeds)),
            ("platform.address", store.to_string()),
            ("platform.writes_per_s", "400".to_owned()),
            ("bounds.drain_ms", sheet.drain_ms.to_string()),
            ("bounds.config_propagation_ms", sheet.config_propagation_ms.to_string()),
            ("bounds.evacuation_ms", "5000".to_owned()),
            ("bounds.delivery_slack_ms", sheet.delivery_slack_ms.to_string()),
            ("limits.memory_mb", sheet.memory_mb.to_string()),
            ("limits.file_descriptors", sheet.descriptors.to_string()),
            ("bounds.grace_period_s", "8".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_allowance", sheet.retry_allowance.to_string()),
            ("bounds.retry_window_s", "10".to_owned()),
            ("bounds.cold_overshoot", "1.5".to_owned()),
            ("bounds.cold_allowance", "5".to_owned()),
            ("bounds.quota_window_s", "4".to_owned()),
            ("bounds.exposure_share", String::new()),
            ("bounds.exposure_allowance", String::new()),
            ("bounds.rollback_ms", String::new()),
        ];
        let mut text = fs::read_to_string(TEMPLATE)?;
        for (field, value) in values {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        let settings = place.folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let log = place.folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log)?;
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Ok(Self {
            name,
            frontend: address(FRONTEND_PORT),
            ready: address(READY_PORT),
            settings,
            log,
            child,
        })
    }

    /// Writes the settings file with other seeds, and tells the process so with SIGHUP.
    pub fn change_seeds(&self, seeds: &[String]) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        let changed: Vec<String> = text
            .lines()
            .map(|line| match line.starts_with("seeds = ") {
                true => format!("seeds = {}", seed_list(seeds)),
                false => line.to_owned(),
            })
            .collect();
        fs::write(&self.settings, changed.join("\n") + "\n")?;
        self.signal("HUP")
    }

    /// Returns whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let request = Request {
            method: "GET",
            host: "platform",
            path: "/api/readiness",
            id: "0",
            remaining_ms: 500,
            headers: "Connection: close\r\n",
            body: "",
        };
        client::send(self.ready, &request).status() == 200
    }

    /// Waits until the router is ready.
    pub fn wait_until_ready(&self) -> bool {
        crate::wait_until(Duration::from_secs(15), || self.is_ready())
    }

    /// Returns the process identifier.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, given by its name without `SIG`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.pid().to_string())
            .status()
            .map(|_| ())
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process and starts it again with the same settings.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns what the process has written so far.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the addresses of machines as seeds.
fn seed_list(seeds: &[String]) -> String {
    seeds.iter().map(|ip| format!("{ip}:{CONTROL_PORT}")).collect::<Vec<_>>().join(",")
}

/// Has the system end this process when its parent ends, however that ends.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;

    unsafe extern "C" {
        fn prctl(option: i32, value: u64) -> i32;
    }

    // SAFETY: this option takes a number only.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let out = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new(PROGRAM);
    // SAFETY: the call between fork and exec is async-signal-safe.
    unsafe { command.pre_exec(end_with_parent) };
    command
        .arg("--settings")
        .arg(settings)
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("SAPPHIRESPUR_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stderr(out.try_clone()?)
        .stdout(out)
        .spawn()
}
