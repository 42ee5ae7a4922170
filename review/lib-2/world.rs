//! Processes of the project, and stand-ins for the platform, the operator, the engines and the
//! clients.

use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Commands of the roles, as in `deploy/system.toml`.
const CONTROL: &str = "target/release/hickoryreel-platform-control";
const ENTRY: &str = "target/release/hickoryreel-platform-entry";

/// Begin of the paths of all calls to the system's own interfaces.
const API: &str = "/hickoryreel";

const FRONT_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;
const CONTROL_PORT: u16 = 8_229;
const ENGINE_PORT: u16 = 9_000;

/// Interval between the heartbeats of an engine, as in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time after which callers of the control API try another machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Odd number that spreads small differences over all bits.
const MIXER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Time between SIGTERM and SIGKILL, as in the settings.
const GRACE: Duration = Duration::from_secs(8);

const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Option of `prctl` for the signal that a process gets when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Role of a machine.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control,
    Entry,
}

struct Node {
    role: Role,
    ip: String,
    /// Addresses of the seeds in its settings.
    seeds: Vec<String>,
    bootstrap: bool,
    child: Option<Child>,
}

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub path: String,
    /// Lines of the head after the first one.
    head: Vec<String>,
}

impl Run {
    /// Returns the value of the header whose name, with its colon, is `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

/// Returns the value of the header whose name, with its colon, is `name`.
fn header<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    let line = head
        .iter()
        .find(|line| line.get(..name.len()).is_some_and(|start| start.eq_ignore_ascii_case(name)));
    line.map(|line| line[name.len()..].trim())
}

/// Status and body of an answer; `None` if there was none.
pub type Answer = Option<(u16, Vec<u8>)>;

struct State {
    folder: PathBuf,
    /// First two octets of the addresses of this run.
    network: String,
    nodes: Mutex<Vec<Node>>,
    record: Mutex<File>,
    started: Instant,
    runs: Mutex<HashMap<String, Vec<Run>>>,
    next_id: AtomicU64,
}

/// All processes and stand-ins of one run.
#[derive(Clone)]
pub struct World(Arc<State>);

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

impl World {
    pub fn new(record: &str) -> Result<Self, String> {
        for program in [CONTROL, ENTRY] {
            if !PathBuf::from(program).exists() {
                return Err(format!("{program} is not built"));
            }
        }
        let number = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{number}-{}", unix_ms()));
        fs::create_dir_all(&folder).map_err(|cause| cause.to_string())?;
        let record = File::create(record).map_err(|cause| cause.to_string())?;
        // Runs that begin at the same time shall not look at the same addresses first.
        let start = u64::from(number).wrapping_mul(MIXER) ^ (unix_ms() as u64).wrapping_mul(MIXER);
        let network = (1..200_u64)
            .map(|step| start.wrapping_mul(step) >> 40)
            .map(|seed| format!("127.{}.{}", 10 + seed % 200, 1 + (seed / 200) % 250))
            .find(|network| {
                let ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, ENGINE_PORT, 7_340, 9_464];
                let hosts = [1, 2, 3, 4, 5, 6, 101, 102, 201, 202];
                hosts.iter().all(|host| {
                    ports
                        .iter()
                        .all(|port| TcpListener::bind(format!("{network}.{host}:{port}")).is_ok())
                })
            });
        Ok(Self(Arc::new(State {
            folder,
            network: network.ok_or("no free addresses")?,
            nodes: Mutex::default(),
            record: Mutex::new(record),
            started: Instant::now(),
            runs: Mutex::default(),
            next_id: AtomicU64::new(1),
        })))
    }

    /// Writes a line to the record.
    pub fn log(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.0.started.elapsed().as_secs_f64());
        let mut record = self.0.record.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = record.write_all(line.as_bytes());
        print!("{line}");
    }

    /// Address of the machine with a number: control replicas from 1, entries from 101, engines from
    /// 201.
    pub fn ip(&self, number: usize) -> String {
        format!("{}.{number}", self.0.network)
    }

    /// Addresses of the machines that have a control replica, in the order of their first start.
    pub fn controls(&self) -> Vec<String> {
        let nodes = self.0.nodes.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let controls = nodes.iter().filter(|node| node.role == Role::Control);
        controls.map(|node| node.ip.clone()).collect()
    }

    fn settings_path(&self, ip: &str) -> PathBuf {
        self.0.folder.join(format!("settings-{ip}.toml"))
    }

    fn data_path(&self, ip: &str) -> PathBuf {
        self.0.folder.join(format!("data-{ip}"))
    }

    pub fn output_path(&self, ip: &str) -> PathBuf {
        self.0.folder.join(format!("output-{ip}.log"))
    }

    fn settings(&self, node: &Node) -> String {
        let Node { role, ip, seeds, bootstrap, .. } = node;
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("\"{seed}:{CONTROL_PORT}\"")).collect();
        let (class, serves, tolerance, listen, data, cores, memory, disk) = match role {
            Role::Control => (
                "core",
                "control",
                true,
                format!("control = \"{ip}:{CONTROL_PORT}\""),
                format!("data-dir = \"{}\"", self.data_path(ip).display()),
                0.6,
                256,
                128,
            ),
            Role::Entry => (
                "edge",
                "edge",
                false,
                format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\""),
                String::new(),
                0.25,
                110,
                0,
            ),
        };
        let seeds = seeds.join(",");
        format!(
            r#"node-name = "{class}-{ip}"
role = "{serves}"
machine-class = "{class}"
serves = ["{serves}"]
ip = "{ip}"
zone = "khomas-a"
region = "khomas"
port-range = [7340,7355]
seed-nodes = [{seeds}]
bootstrap = {bootstrap}
in-tolerance = {tolerance}
{data}
discovery = "registry"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","rollout"]
config-mode = "highest"
[zones]
khomas-a = "khomas"
oshana-a = "oshana"
erongo-a = "erongo"
[listen-addrs]
{listen}
[limits]
cpu-share = {cores}
cpu-cores = 1
memory-mb = {memory}
max-fds = 4100
link-mbps = 1000.0
disk-mb = {disk}
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 4000
ack-ms = 5000
catch-up-s = 4
drain-ms = 2500
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2500
rollback-slack-ms = 250
max-stretch-ms = 6000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.9
retry-window-s = 10
budget-slack = 56
expose-share = 0.15
expose-slack = 30
rollback-ms = 5000
recover-s = 12
pass-ms = 250
reuse-window-s = 8.9
session-s = 5
"#
        )
    }

    fn launch(&self, node: &mut Node) -> Result<(), String> {
        let settings = self.settings_path(&node.ip);
        fs::write(&settings, self.settings(node)).map_err(|cause| cause.to_string())?;
        fs::create_dir_all(self.data_path(&node.ip)).map_err(|cause| cause.to_string())?;
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.output_path(&node.ip))
            .map_err(|cause| cause.to_string())?;
        let errors = output.try_clone().map_err(|cause| cause.to_string())?;
        let program = if node.role == Role::Control { CONTROL } else { ENTRY };
        let mut command = Command::new(program);
        // SAFETY: the call is async-signal-safe and has no memory effects.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL);
                Ok(())
            })
        };
        let child = command
            // If the group of the harness is orphaned, the kernel wakes its members that stand still.
            .process_group(0)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HICKORYREEL_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|cause| format!("{program}: {cause}"))?;
        node.child = Some(child);
        Ok(())
    }

    /// Starts five control replicas and two entries for the first time.
    pub fn start_all(&self) -> Result<(), String> {
        let roles = (1..=5).map(|number| (Role::Control, number));
        let roles = roles.chain((101..=102).map(|number| (Role::Entry, number)));
        let mut nodes = self.0.nodes.lock().map_err(|_| "poisoned")?;
        for (role, number) in roles {
            let (ip, seeds) = (self.ip(number), (1..=3).map(|seed| self.ip(seed)).collect());
            let mut node = Node { role, ip, seeds, bootstrap: true, child: None };
            self.launch(&mut node)?;
            nodes.push(node);
        }
        drop(nodes);
        self.log("five control replicas and two entries started, bootstrap = true");
        Ok(())
    }

    fn with_node<T>(&self, ip: &str, change: impl FnOnce(&mut Node) -> T) -> T {
        let mut nodes = self.0.nodes.lock().expect("no other thread has failed");
        change(nodes.iter_mut().find(|node| node.ip == ip).expect("the machine exists"))
    }

    /// Kills processes at the same time. With `wipe`, their machines also lose their disks.
    pub fn kill(&self, ips: &[&str], wipe: bool) {
        let children = ips.iter().filter_map(|ip| self.with_node(ip, |node| node.child.take()));
        let mut children: Vec<Child> = children.collect();
        for child in &mut children {
            let _ = child.kill();
        }
        self.log(&format!("{} is killed", ips.join(" and ")));
        for child in &mut children {
            let _ = child.wait();
        }
        if wipe {
            for ip in ips {
                let _ = fs::remove_dir_all(self.data_path(ip));
                self.log(&format!("the disk of {ip} is lost"));
            }
        }
    }

    /// Removes machines for good: their processes get SIGTERM, and SIGKILL after the time that the
    /// settings give them.
    pub fn remove(&self, ips: &[&str]) -> Result<(), String> {
        ips.iter().for_each(|ip| self.signal(ip, SIGTERM));
        for ip in ips {
            let child = self.with_node(ip, |node| node.child.take());
            let mut child = child.ok_or("the process does not run")?;
            let began = Instant::now();
            while child.try_wait().is_ok_and(|status| status.is_none()) && began.elapsed() < GRACE {
                std::thread::sleep(Duration::from_millis(50));
            }
            let _ = child.kill();
            let _ = child.wait();
            self.log(&format!("{ip} has ended and is removed for good"));
        }
        let mut nodes = self.0.nodes.lock().map_err(|_| "poisoned")?;
        nodes.retain(|node| !ips.contains(&node.ip.as_str()));
        Ok(())
    }

    /// Starts a process again. It is no first start, so `bootstrap` is false, and the seeds in its
    /// settings are machines that run.
    pub fn restart(&self, ip: &str) -> Result<(), String> {
        self.log(&format!("{ip} starts again, bootstrap = false"));
        let seeds = {
            let nodes = self.0.nodes.lock().map_err(|_| "poisoned")?;
            let running = nodes.iter().filter(|node| node.role == Role::Control);
            let running = running.filter(|node| node.child.is_some() && node.ip != ip);
            running.map(|node| node.ip.clone()).take(3).collect()
        };
        self.with_node(ip, |node| {
            (node.bootstrap, node.seeds) = (false, seeds);
            node.child.is_none().then_some(()).ok_or("still running")?;
            self.launch(node)
        })
    }

    /// Starts a control replica on a new machine, whose settings name three other ones as seeds.
    pub fn add_control(&self, number: usize, seeds: &[String]) -> Result<(), String> {
        let (ip, seeds) = (self.ip(number), seeds.to_vec());
        self.log(&format!("{ip} is a new machine, bootstrap = false"));
        let mut node = Node { role: Role::Control, ip, seeds, bootstrap: false, child: None };
        self.launch(&mut node)?;
        self.0.nodes.lock().map_err(|_| "poisoned")?.push(node);
        Ok(())
    }

    /// Sends a signal to a process.
    pub fn signal(&self, ip: &str, signal: i32) {
        let process = self.with_node(ip, |node| node.child.as_ref().map(Child::id));
        if let Some(process) = process {
            // SAFETY: the call has no memory effects; the process is a child that was not waited for.
            unsafe { kill(process as i32, signal) };
        }
        let name = match signal {
            SIGSTOP => "stands still",
            SIGCONT => "continues",
            _ => "gets SIGTERM",
        };
        self.log(&format!("{ip} {name}"));
    }

    /// Ends all processes and removes their files.
    pub fn end(&self) {
        let mut nodes = self.0.nodes.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for node in nodes.iter_mut() {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0.folder);
        }
    }

    /// Sends one request on a new connection and reads the answer to its end.
    fn call(&self, address: &str, request: &[u8], timeout: Duration) -> Answer {
        let address: SocketAddr = address.parse().ok()?;
        let deadline = Instant::now() + timeout;
        let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
        stream.write_all(request).ok()?;
        let mut bytes = Vec::new();
        loop {
            let left = deadline.checked_duration_since(Instant::now()).filter(|l| !l.is_zero())?;
            stream.set_read_timeout(Some(left)).ok()?;
            let mut buffer = [0; 16 << 10];
            match stream.read(&mut buffer).ok()? {
                0 => break,
                count => bytes.extend_from_slice(&buffer[..count]),
            }
        }
        let head = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
        let status = std::str::from_utf8(bytes.get(9..12)?).ok()?.parse().ok()?;
        Some((status, bytes.split_off(head + 4)))
    }

    fn control_call(&self, ip: &str, method: &str, path: &str, body: &str) -> Answer {
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {ip}\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
        );
        self.call(&format!("{ip}:{CONTROL_PORT}"), request.as_bytes(), CALL_TIMEOUT)
    }

    /// Sends a configuration, unchanged and to one machine after the other, until it is acknowledged.
    pub fn put(&self, version: u64, body: &str, timeout: Duration) -> Result<(), String> {
        let began = Instant::now();
        while began.elapsed() < timeout {
            for ip in self.controls() {
                match self.control_call(&ip, "POST", &format!("{API}/config/put"), body) {
                    Some((200, _)) => {
                        let ms = began.elapsed().as_millis();
                        self.log(&format!("version {version}: {ip} acknowledges it after {ms} ms"));
                        return Ok(());
                    }
                    Some((status @ 400..500, _)) => {
                        return Err(format!("version {version}: {ip} answers {status}"));
                    }
                    _ => {}
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("version {version} has no acknowledgement after {timeout:?}"))
    }

    /// Reads the configuration at one machine and returns the answer's status and version.
    pub fn read(&self, ip: &str) -> (u16, Option<u64>) {
        match self.control_call(ip, "GET", &format!("{API}/config/get"), "") {
            Some((status, body)) => {
                let body = String::from_utf8_lossy(&body).into_owned();
                let version = body.split("\"version\":").nth(1);
                let digits = version.map(|text| text.chars().take_while(char::is_ascii_digit));
                (status, digits.and_then(|digits| digits.collect::<String>().parse().ok()))
            }
            None => (0, None),
        }
    }

    /// Reads the configuration at all machines once a second, for `time`. Returns the highest version
    /// that came, if one did.
    pub fn read_for(&self, time: Duration) -> Option<u64> {
        let began = Instant::now();
        let mut highest = None;
        while began.elapsed() < time {
            let reads: Vec<_> = self.controls().iter().map(|ip| self.read(ip)).collect();
            highest = reads.iter().filter_map(|(_, version)| *version).max().max(highest);
            let statuses: Vec<_> = reads.iter().map(|(status, _)| status.to_string()).collect();
            self.log(&format!("reads of the configuration: {} ({highest:?})", statuses.join(" ")));
            std::thread::sleep(Duration::from_secs(1));
        }
        highest
    }

    /// Waits until both entries say that they are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        for number in 101..=102 {
            let ip = self.ip(number);
            self.wait_ready_at(&ip)?;
        }
        Ok(())
    }

    pub fn wait_ready_at(&self, ip: &str) -> Result<(), String> {
        let request =
            format!("GET {API}/readyz HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n");
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(10) {
            let address = format!("{ip}:{READY_PORT}");
            if let Some((200, _)) = self.call(&address, request.as_bytes(), CALL_TIMEOUT) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{ip} is not ready"))
    }

    /// Sends a client's request with a key and returns its id and status.
    pub fn request(&self, ip: &str, path: &str, key: &str) -> (String, Option<u16>) {
        let id = format!("{:016x}", self.0.next_id.fetch_add(1, Ordering::Relaxed) + 0xabc0_0000);
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: review.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\nContent-Length: 2\r\n\
             Connection: close\r\n\r\nhi"
        );
        let address = format!("{ip}:{FRONT_PORT}");
        self.log(&format!("client sends {id} {path} with key {key} to {ip}"));
        let answer = self.call(&address, request.as_bytes(), Duration::from_secs(12));
        let status = answer.map(|(status, _)| status);
        self.log(&format!("client gets {status:?} for {id}"));
        (id, status)
    }

    /// Returns how engines ran a request.
    pub fn runs(&self, id: &str) -> Vec<Run> {
        let runs = self.0.runs.lock().expect("no other thread has failed");
        runs.get(id).cloned().unwrap_or_default()
    }

    /// Starts an engine of the service `ledger`.
    pub fn start_engine(&self, number: usize) -> Result<(), String> {
        let ip = self.ip(200 + number);
        let id = format!("i-{number:08x}");
        let listener = TcpListener::bind(format!("{ip}:{ENGINE_PORT}"));
        let listener = listener.map_err(|cause| cause.to_string())?;
        let (world, engine) = (self.clone(), id.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, engine) = (world.clone(), engine.clone());
                std::thread::spawn(move || world.serve_engine(&engine, stream));
            }
        });
        let world = self.clone();
        std::thread::spawn(move || world.send_heartbeats(&id, &ip));
        Ok(())
    }

    fn send_heartbeats(&self, id: &str, ip: &str) {
        let born = unix_ms();
        for sequence in 1_u64.. {
            let body = format!(
                "{{\"service\":\"ledger\",\"address\":\"{ip}:{ENGINE_PORT}\",\"zone\":\"khomas-a\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-left-ms\":0,\
                 \"seq\":{sequence},\"born\":{born}}}"
            );
            let path = format!("{API}/instances/{id}/heartbeat");
            let controls = self.controls();
            let first = sequence as usize % controls.len();
            controls[first..].iter().chain(&controls[..first]).any(|control| {
                matches!(self.control_call(control, "POST", &path, &body), Some((200, _)))
            });
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn serve_engine(&self, engine: &str, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let mut line = String::new();
            (reader.read_line(&mut line).ok()? > 0).then_some(())?;
            let path = line.split(' ').nth(1)?.to_owned();
            let mut head = Vec::new();
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).ok()?;
                if line.trim_end().is_empty() {
                    break;
                }
                head.push(line);
            }
            let length = header(&head, "Content-Length:").and_then(|value| value.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            reader.read_exact(&mut body).ok()?;
            let id = header(&head, "Request-Id:").unwrap_or_default().to_owned();
            if header(&head, "Target-Instance:").is_some_and(|target| target != engine) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                writer.write_all(answer.as_bytes()).ok()?;
                continue;
            }
            let shown = ["Tenant:", "Authorization:"].map(|name| header(&head, name));
            self.log(&format!(
                "engine {engine} runs {id} {path}; Tenant {:?}, Authorization {:?}",
                shown[0], shown[1]
            ));
            let run = Run { path, head };
            self.0.runs.lock().ok()?.entry(id.clone()).or_default().push(run);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {engine}.{id}\r\n\
                 Content-Length: 4\r\n\r\ndone"
            );
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }
}

/// Configuration with an unsafe route for keys, a public one, and a service `ledger`. `tenants` is the
/// value of the field, or empty for none.
pub fn configuration(version: u64, tenants: &str) -> String {
    let route = |name: &str, prefix: &str, public: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"review.example\",\"path-prefix\":\"{prefix}\",\
             \"route-type\":\"unsafe\",\"timeout-ms\":3000,\"target-latency-ms\":300,\"priority\":2,\
             \"service\":\"ledger\",\"max-attempts\":1,\"public\":{public}}}"
        )
    };
    let routes = [route("r-settle", "/settle/", false), route("r-open", "/open/", true)].join(",");
    let tenants =
        if tenants.is_empty() { String::new() } else { format!(",\"tenants\":{tenants}") };
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"ledger\",\
         \"health-path\":\"/healthz\",\"max-connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}{tenants}}}"
    )
}
