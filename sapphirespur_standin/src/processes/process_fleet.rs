//! Fleet of running processes.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::Instant;

use serde_json::{Value, json};

use crate::processes::addresses::Addresses;
use crate::processes::layout::{Layout, data_centre_name};
use crate::processes::process::{LISTEN_TIMEOUT, POLL_INTERVAL, Process, Signal};
use crate::processes::{ProcessError, settings};

/// Processes of a fleet, which are killed when the value is dropped.
pub struct ProcessFleet {
    /// Number and kind of the processes.
    pub layout: Layout,
    /// Directory of the settings and logs.
    pub dir: PathBuf,
    /// Directory of the programs.
    bin_dir: PathBuf,
    processes: BTreeMap<String, Process>,
    /// Addresses of the routers and sidecars, which a restarted process uses again.
    addresses: BTreeMap<String, Addresses>,
    /// Address of each stand-in, as `ip:port`.
    standin_addresses: BTreeMap<String, String>,
}

impl ProcessFleet {
    /// Starts all processes from the programs in `bin_dir`; the previous contents of `dir` are
    /// deleted.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub fn start(layout: Layout, bin_dir: &Path, dir: &Path) -> Result<Self, ProcessError> {
        if dir.exists() {
            fs::remove_dir_all(dir)?;
        }
        fs::create_dir_all(dir)?;
        let mut fleet = Self {
            layout,
            dir: dir.to_owned(),
            bin_dir: bin_dir.to_owned(),
            processes: BTreeMap::new(),
            addresses: BTreeMap::new(),
            standin_addresses: BTreeMap::new(),
        };

        fs::write(fleet.dir.join("vms.json"), "[]")?;
        fleet.start_standin("store", &["store"])?;
        let list = fleet.dir.join("vms.json").display().to_string();
        fleet.start_standin("vm-list", &["vm-list", "--file", &list])?;
        for name in fleet.layout.engine_names() {
            let options = serde_json::to_string(&fleet.layout.engine).unwrap_or_default();
            fleet.start_standin(&upstream_name(&name), &["engine", "--options", &options])?;
            fleet.start_node(&name)?;
        }
        for name in fleet.layout.service_names() {
            let latency = fleet.layout.service_latency_ms.to_string();
            fleet.start_standin(&upstream_name(&name), &["service", "--latency-ms", &latency])?;
            fleet.start_node(&name)?;
        }
        for name in fleet.layout.router_names() {
            fleet.start_node(&name)?;
        }
        fleet.publish_vms()?;
        fleet.write_operator_settings("operator")?;
        Ok(fleet)
    }

    /// Plans and confirms the first configuration and waits until every node uses it.
    ///
    /// # Errors
    ///
    /// Returns an error if a command fails or a node does not use the configuration in time.
    pub fn configure(&self) -> Result<(), ProcessError> {
        let mut digests = BTreeMap::new();
        for key in ["agenzia-demo-key", "katharotis-demo-key"] {
            digests.insert(key.to_owned(), self.key_digest(key)?);
        }
        let intent = settings::intent(
            &self.layout,
            |key| digests.get(key).cloned().unwrap_or_default(),
            |name| self.addresses[name].clone(),
        );
        fs::write(self.dir.join("intent.ini"), intent)?;

        self.apply("intent.ini", "first configuration")?;
        self.run_cli(&["status", "--wait-s", "16"])?;
        Ok(())
    }

    /// Plans an intent file in `dir`, confirms the plan and returns its identifier.
    ///
    /// # Errors
    ///
    /// Returns an error if a command fails.
    pub fn apply(&self, file: &str, reason: &str) -> Result<String, ProcessError> {
        let plan = self.plan(file, reason)?;

        self.run_cli(&["confirm", &plan])?;
        Ok(plan)
    }

    /// Plans an intent file in `dir` and returns the identifier of the plan.
    ///
    /// # Errors
    ///
    /// Returns an error if the command fails or does not print valid JSON.
    pub fn plan(&self, file: &str, reason: &str) -> Result<String, ProcessError> {
        let path = self.dir.join(file).display().to_string();
        let text = self.run_cli(&["--json", "plan", "--reason", reason, &path])?;
        let plan: Value =
            serde_json::from_str(&text).map_err(|e| ProcessError::StandIn(e.to_string()))?;

        Ok(plan["id"].as_str().unwrap_or_default().to_owned())
    }

    /// Runs the operators' command line and returns its standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if the command fails.
    pub fn run_cli(&self, args: &[&str]) -> Result<String, ProcessError> {
        let output = self.run_cli_as("operator", args)?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }

        Err(ProcessError::Command {
            args: args.join(" "),
            code: output.status.code(),
            output: String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned(),
        })
    }

    /// Runs the command line as `operator` and returns its output for any exit code.
    ///
    /// # Errors
    ///
    /// Returns an error if the command cannot be started.
    pub fn run_cli_as(&self, operator: &str, args: &[&str]) -> Result<Output, ProcessError> {
        let settings = self.dir.join(format!("{operator}.ini"));

        Ok(Command::new(self.bin_dir.join("sapphirespur"))
            .arg("--settings")
            .arg(settings)
            .args(args)
            .output()?)
    }

    /// Writes the settings of an operator to `{name}.ini`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_operator_settings(&self, name: &str) -> Result<(), ProcessError> {
        let text = settings::operator(
            name,
            &self.standin_addresses["store"],
            &self.standin_addresses["vm-list"],
        );

        Ok(fs::write(self.dir.join(format!("{name}.ini")), text)?)
    }

    /// Returns a listen address with a port that the system picks.
    fn any_port(&self) -> String {
        format!("{}:0", self.layout.ip)
    }

    /// Returns the URL of a router for callers.
    ///
    /// # Panics
    ///
    /// Panics if no router has this name.
    pub fn router_url(&self, name: &str) -> String {
        format!("http://{}", self.addresses[name].traffic)
    }

    /// Returns the URL of a router or sidecar for operators.
    ///
    /// # Panics
    ///
    /// Panics if no router or sidecar has this name.
    pub fn admin_url(&self, name: &str) -> String {
        format!("http://{}", self.addresses[name].admin)
    }

    /// Returns the URL of a stand-in: `store`, `vm-list`, or the name of a sidecar for its
    /// upstream.
    ///
    /// # Panics
    ///
    /// Panics if there is no such stand-in.
    pub fn standin_url(&self, name: &str) -> String {
        let address = self
            .standin_addresses
            .get(name)
            .unwrap_or_else(|| &self.standin_addresses[&upstream_name(name)]);

        format!("http://{address}")
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process or the signal cannot be sent.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<(), ProcessError> {
        self.process(name)?.signal(signal)
    }

    /// Waits until a process has ended and returns its exit code, or `None` when a signal ended it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process or it cannot be waited for.
    pub fn wait(&mut self, name: &str) -> Result<Option<i32>, ProcessError> {
        self.process(name)?.wait()
    }

    fn process(&mut self, name: &str) -> Result<&mut Process, ProcessError> {
        let process = self.processes.get_mut(name);
        process.ok_or_else(|| ProcessError::NotListening(name.to_owned()))
    }

    /// Starts a router or sidecar, on the same addresses as before when it has already run.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_node(&mut self, name: &str) -> Result<(), ProcessError> {
        let listen = self.addresses.get(name).cloned().unwrap_or_else(|| Addresses {
            traffic: self.any_port(),
            control: self.any_port(),
            admin: self.any_port(),
        });
        let (store, vm_list) =
            (&self.standin_addresses["store"], &self.standin_addresses["vm-list"]);
        let (program, text) = match self.standin_addresses.get(&upstream_name(name)) {
            Some(upstream) => {
                ("sapphirespur-sidecar", settings::sidecar(name, &listen, upstream, store, vm_list))
            }
            None => (
                "sapphirespur-router",
                settings::router(name, &listen, self.layout.drain_s, store, vm_list),
            ),
        };
        let path = self.dir.join(format!("{name}.ini"));
        fs::write(&path, text)?;
        let path = path.display().to_string();
        let line = self.spawn_listening(name, program, &["--settings", &path])?;
        let line: Value = serde_json::from_str(&line).unwrap_or_default();
        let text = |key: &str| line[key].as_str().unwrap_or_default().to_owned();
        let addresses =
            Addresses { traffic: text("traffic"), control: text("control"), admin: text("admin") };
        self.addresses.insert(name.to_owned(), addresses);
        Ok(())
    }

    /// Writes an INI file with the endpoints, keys, models and services for clients.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_endpoints(&self, path: &Path) -> Result<(), ProcessError> {
        let mut f = File::create(path)?;
        writeln!(f, "[routers]")?;
        for name in self.layout.router_names() {
            writeln!(f, "{name} = {}", self.router_url(&name))?;
        }
        write!(f, "[keys]\nagenzia = agenzia-demo-key\nkatharotis = katharotis-demo-key\n")?;
        write!(f, "[models]\nprofile-writer =\n[services]\nregistry = /services/registry\n")?;
        Ok(())
    }

    /// Returns the digest of an API key, as `sapphirespur key-digest` computes it.
    fn key_digest(&self, key: &str) -> Result<String, ProcessError> {
        let mut child = Command::new(self.bin_dir.join("sapphirespur"))
            .arg("key-digest")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        if let Some(mut input) = child.stdin.take() {
            input.write_all(key.as_bytes())?;
        }

        let output = child.wait_with_output()?;
        Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned())
    }

    /// Starts a stand-in and stores the address that it reports.
    fn start_standin(&mut self, name: &str, args: &[&str]) -> Result<(), ProcessError> {
        let address = self.any_port();
        let args = [args, &["--listen", &address]].concat();
        self.spawn(name, "sapphirespur-standin", &args)?;

        let line = self.process(name)?.wait_for_line("listening ")?;
        let address = line.trim_start_matches("listening ").trim().to_owned();
        self.standin_addresses.insert(name.to_owned(), address);
        Ok(())
    }

    fn spawn(&mut self, name: &str, program: &str, args: &[&str]) -> Result<(), ProcessError> {
        let program = self.bin_dir.join(program);
        let process = Process::spawn(name, &program, args, &self.dir)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Spawns a process and returns the log line that reports its addresses.
    ///
    /// Retries while the port is in use: while a process is down, the system may assign its port to
    /// a connection of another process.
    fn spawn_listening(
        &mut self,
        name: &str,
        program: &str,
        args: &[&str],
    ) -> Result<String, ProcessError> {
        let deadline = Instant::now() + LISTEN_TIMEOUT;
        loop {
            self.spawn(name, program, args)?;
            match self.process(name)?.wait_for_line("\"listening\"") {
                Err(ProcessError::PortInUse(_)) if Instant::now() < deadline => {
                    std::thread::sleep(POLL_INTERVAL);
                }
                result => return result,
            }
        }
    }

    /// Writes the routers and sidecars to the VM list.
    fn publish_vms(&self) -> Result<(), ProcessError> {
        let vm = |name: &String, role: &str| {
            let addresses = &self.addresses[name];
            json!({
                "name": name,
                "data_centre": data_centre_name(name),
                "role": role,
                "state": "live",
                "control": addresses.control,
                "admin": addresses.admin,
            })
        };
        let sidecars = [self.layout.engine_names(), self.layout.service_names()].concat();
        let vms: Vec<Value> = self
            .layout
            .router_names()
            .iter()
            .map(|name| vm(name, "router"))
            .chain(sidecars.iter().map(|name| vm(name, "sidecar")))
            .collect();

        self.put("vm-list", "/vms", &json!(vms))
    }

    /// Sends a JSON value to a path of a stand-in with PUT.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not accept it.
    pub fn put(&self, standin: &str, path: &str, value: &Value) -> Result<(), ProcessError> {
        let url = format!("{}{path}", self.standin_url(standin));
        let value = value.clone();
        let put = move || {
            actix_rt::System::new().block_on(async {
                let response = awc::Client::default().put(url).send_json(&value).await;
                response.map(|response| response.status().is_success()).ok()
            })
        };

        // Runs on its own thread, because the caller's thread may already run an actix system.
        match std::thread::spawn(put).join() {
            Ok(Some(true)) => Ok(()),
            _ => Err(ProcessError::StandIn(format!("{standin}{path}"))),
        }
    }
}

/// Returns the process name of the upstream behind a sidecar.
fn upstream_name(sidecar: &str) -> String {
    format!("{sidecar}-upstream")
}
