//! A small deployment on loopback addresses: one platform stand-in, and a
//! target with its daemon for each instance.
//!
//! ```text
//! let mut fleet = Fleet::builder().instances(4).zones(2).start();
//! fleet.ready(Duration::from_secs(5)).await;
//! let version = fleet.apply(0, fleet.default_resources()).await;
//! fleet.holds_everywhere(version, Duration::from_secs(6)).await;
//! fleet.instances[1].daemon.kill();
//! ```
//!
//! Everything that was started ends when the fleet is dropped.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use ntex::time::sleep;
use stoatstep_resource::{Version, wire};

use crate::http::{Answer, Request};
use crate::process::Process;

/// Services of a fleet; instance `i` serves the service `i % 2`.
pub(crate) const SERVICES: [&str; 2] = ["floatdesk", "refundhall"];

/// Token of the operators of every fleet.
pub(crate) const OPERATOR_TOKEN: &str = "operator-token-of-the-tests";

/// Token of the daemons of every fleet.
pub(crate) const PEER_TOKEN: &str = "peer-token-of-the-tests";

const POLL: Duration = Duration::from_millis(20);
const FIRST_PORT: u16 = 7000;
const PORTS_PER_FLEET: u16 = 4;
const MAX_INSTANCES: usize = 200;

/// Fleets of one test program run side by side, each on ports of its own.
static FLEETS: AtomicU16 = AtomicU16::new(0);

/// Builds a [`Fleet`].
#[derive(Clone, Debug)]
pub(crate) struct FleetBuilder {
    instances: usize,
    zones: usize,
    slots: u32,
    service_time: Duration,
    drain_timeout: Duration,
}

impl FleetBuilder {
    /// Number of instances, each a target and its daemon; 2 by default.
    pub(crate) fn instances(mut self, instances: usize) -> Self {
        assert!(instances <= MAX_INSTANCES, "too many for one subnet");
        self.instances = instances;
        self
    }

    /// Number of availability zones, filled in turn; 1 by default.
    pub(crate) fn zones(mut self, zones: usize) -> Self {
        self.zones = zones;
        self
    }

    /// Calls that each target runs at a time; 13 by default.
    pub(crate) fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Time of a run in a target; 2 ms by default.
    pub(crate) fn service_time(mut self, time: Duration) -> Self {
        self.service_time = time;
        self
    }

    /// Longest time of a daemon's graceful stop; 90 s by default.
    pub(crate) fn drain_timeout(mut self, time: Duration) -> Self {
        self.drain_timeout = time;
        self
    }

    /// Starts every process; [`Fleet::ready`] waits for them.
    pub(crate) fn start(self) -> Fleet {
        let net = Net::next();
        let dir = net.dir();
        std::fs::create_dir_all(&dir).expect("a directory for logs");
        let platform_addr = net.addr(0, 0);
        let flags = [("addr", platform_addr.to_string())];
        let platform = Process::start(
            "platform",
            env!("CARGO_BIN_EXE_stoat-platform"),
            &flags,
            &dir,
        );
        let mut fleet = Fleet {
            cfg: self,
            dir,
            platform_addr,
            platform,
            instances: Vec::new(),
        };
        for number in 0..fleet.cfg.instances {
            let instance = fleet.start_instance(number, &net);
            fleet.instances.push(instance);
        }
        fleet
    }
}

/// Loopback addresses and ports that no other fleet of this machine uses.
#[derive(Debug)]
struct Net {
    octets: [u8; 2],
    first_port: u16,
}

impl Net {
    /// The subnet comes from the process id, so that test programs that run at
    /// the same time don't meet; 127.0 is left to others.
    fn next() -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = std::process::id().to_be_bytes();
        Self {
            octets: [high | 0x40, low],
            first_port: FIRST_PORT + number * PORTS_PER_FLEET,
        }
    }

    fn addr(&self, host: usize, port: u16) -> SocketAddr {
        let [second, third] = self.octets;
        let fourth = u8::try_from(host + 1).expect("within the subnet");
        let ip = Ipv4Addr::new(127, second, third, fourth);
        SocketAddr::from((ip, self.first_port + port))
    }

    fn dir(&self) -> PathBuf {
        let name = format!("fleet-{}-{}", std::process::id(), self.first_port);
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
    }
}

/// One target and its daemon.
#[derive(Debug)]
pub(crate) struct Instance {
    /// Id of the instance, and name of its upstream.
    pub(crate) name: String,
    /// Label of its availability zone.
    pub(crate) zone: String,
    /// Service that the target belongs to.
    pub(crate) service: &'static str,
    /// Where callers connect.
    pub(crate) caller_addr: SocketAddr,
    /// Where other daemons connect.
    pub(crate) peer_addr: SocketAddr,
    /// Where operators connect.
    pub(crate) operator_addr: SocketAddr,
    /// Where the target listens.
    pub(crate) target_addr: SocketAddr,
    /// The target's process.
    pub(crate) target: Process,
    /// The daemon's process.
    pub(crate) daemon: Process,
}

/// A running deployment.
#[derive(Debug)]
pub(crate) struct Fleet {
    cfg: FleetBuilder,
    dir: PathBuf,
    /// Where the platform stand-in listens.
    pub(crate) platform_addr: SocketAddr,
    /// The platform stand-in.
    pub(crate) platform: Process,
    /// Every instance, in the order of their numbers.
    pub(crate) instances: Vec<Instance>,
}

impl Fleet {
    /// Starts to build a fleet.
    pub(crate) fn builder() -> FleetBuilder {
        FleetBuilder {
            instances: 2,
            zones: 1,
            slots: 13,
            service_time: Duration::from_millis(2),
            drain_timeout: Duration::from_secs(90),
        }
    }

    /// Waits until every daemon says that it is ready.
    pub(crate) async fn ready(&self, within: Duration) {
        let end = Instant::now() + within;
        for instance in &self.instances {
            while !instance.is_ready().await {
                assert!(
                    Instant::now() < end,
                    "{} is not ready after {within:?}: {}",
                    instance.name,
                    instance.daemon.log(),
                );
                sleep(POLL).await;
            }
        }
    }

    /// Waits until every daemon that runs knows every instance, so that calls
    /// reach targets beside other daemons.
    pub(crate) async fn joined(&mut self, within: Duration) {
        let end = Instant::now() + within;
        let expected = self.instances.len();
        for number in 0..expected {
            if self.instances[number].daemon.exited().is_some() {
                continue;
            }
            while self.alive_members(number).await < expected {
                let instance = &self.instances[number];
                assert!(
                    Instant::now() < end,
                    "{} knows too few instances after {within:?}: {}",
                    instance.name,
                    instance.daemon.log(),
                );
                sleep(POLL).await;
            }
        }
    }

    /// Services, upstreams and routes that fit this fleet: `/floatdesk` and
    /// `/refundhall` lead to the service of that name.
    pub(crate) fn default_resources(&self) -> Vec<wire::ResourceWire> {
        let services = SERVICES.iter().flat_map(|name| {
            let service = wire::ServiceWire {
                name: (*name).into(),
                policy: None,
                health_path: None,
            };
            let route = wire::RouteWire {
                name: (*name).into(),
                prefix: format!("/{name}").into(),
                service: (*name).into(),
                policy: None,
                host: None,
                split: Vec::new(),
                idempotent: false,
                public: false,
            };
            [
                wire::ResourceWire::Service(service),
                wire::ResourceWire::Route(route),
            ]
        });
        let upstreams = self.instances.iter().map(|instance| {
            wire::ResourceWire::Upstream(wire::UpstreamWire {
                name: instance.name.as_str().into(),
                service: instance.service.into(),
                slots: self.cfg.slots,
                connections: 120,
            })
        });
        services.chain(upstreams).collect()
    }

    /// Puts resources through the daemon of instance `number`; gives the
    /// version that they became.
    pub(crate) async fn apply(&self, number: usize, resources: Vec<wire::ResourceWire>) -> Version {
        let req = wire::ChangeRequest {
            operation: format!("test-{}", uuid::Uuid::now_v7()).into(),
            puts: resources.into_iter().map(put).collect(),
            deletes: Vec::new(),
        };
        let body = serde_json::to_vec(&req).expect("plain data");
        let addr = self.instances[number].operator_addr;
        let answer = as_operator(Request::post(addr, "/v1/changes", body))
            .send()
            .await
            .expect("an answer to a change");
        assert_eq!(answer.status, 200, "{}", answer.text());
        answer.json::<wire::ChangeAnswer>().version
    }

    /// What the daemon of instance `number` says of itself and the others.
    pub(crate) async fn status(&self, number: usize) -> Result<wire::StatusAnswer, String> {
        let addr = self.instances[number].operator_addr;
        let answer = as_operator(Request::get(addr, "/v1/status")).send().await?;
        if answer.status == 200 {
            Ok(answer.json())
        } else {
            Err(answer.text())
        }
    }

    /// Waits until every daemon that runs serves by `version` or a newer one.
    pub(crate) async fn holds_everywhere(&mut self, version: Version, within: Duration) {
        let end = Instant::now() + within;
        for number in 0..self.instances.len() {
            if self.instances[number].daemon.exited().is_some() {
                continue;
            }
            while !self.holds(number, version).await {
                let instance = &self.instances[number];
                assert!(
                    Instant::now() < end,
                    "{} lacks version {version} after {within:?}: {}",
                    instance.name,
                    instance.daemon.log(),
                );
                sleep(POLL).await;
            }
        }
    }

    /// Sends a call to the caller port of instance `number`.
    pub(crate) async fn call(&self, number: usize, path: &str) -> Result<Answer, String> {
        Request::get(self.instances[number].caller_addr, path)
            .send()
            .await
    }

    /// Starts the daemon of an instance whose daemon has ended.
    pub(crate) fn restart_daemon(&mut self, number: usize) {
        let instance = &self.instances[number];
        let daemon = self.start_daemon(instance.identity());
        self.instances[number].daemon = daemon;
    }

    /// Starts the target of an instance whose target has ended.
    pub(crate) fn restart_target(&mut self, number: usize) {
        let instance = &self.instances[number];
        let target = self.start_target(&instance.name, instance.target_addr);
        self.instances[number].target = target;
    }

    async fn alive_members(&self, number: usize) -> usize {
        let Ok(status) = self.status(number).await else {
            return 0;
        };
        let alive = |member: &&wire::MemberStatus| member.state == wire::MemberState::Alive;
        status.members.iter().filter(alive).count()
    }

    async fn holds(&self, number: usize, version: Version) -> bool {
        let status = self.status(number).await;
        status.is_ok_and(|status| status.version_in_force >= version)
    }

    fn start_instance(&self, number: usize, net: &Net) -> Instance {
        let name = format!("instance-{number}");
        let host = number + 1;
        let identity = Identity {
            name: &name,
            zone: &format!("zone-{}", number % self.cfg.zones),
            caller_addr: net.addr(host, 0),
            peer_addr: net.addr(host, 1),
            operator_addr: net.addr(host, 2),
            target_addr: net.addr(host, 3),
        };
        Instance {
            name: name.clone(),
            zone: identity.zone.to_owned(),
            service: SERVICES[number % SERVICES.len()],
            caller_addr: identity.caller_addr,
            peer_addr: identity.peer_addr,
            operator_addr: identity.operator_addr,
            target_addr: identity.target_addr,
            target: self.start_target(&name, identity.target_addr),
            daemon: self.start_daemon(identity),
        }
    }

    fn start_target(&self, name: &str, addr: SocketAddr) -> Process {
        let flags = [
            ("addr", addr.to_string()),
            ("name", name.to_owned()),
            ("slots", self.cfg.slots.to_string()),
            (
                "service-time",
                format!("{}ms", self.cfg.service_time.as_millis()),
            ),
        ];
        let program = env!("CARGO_BIN_EXE_stoat-target");
        Process::start(&format!("target-{name}"), program, &flags, &self.dir)
    }

    fn start_daemon(&self, identity: Identity<'_>) -> Process {
        let flags = [
            ("instance", identity.name.to_owned()),
            ("region", "local".to_owned()),
            ("zone", identity.zone.to_owned()),
            ("upstream", identity.name.to_owned()),
            ("caller-addr", identity.caller_addr.to_string()),
            ("peer-addr", identity.peer_addr.to_string()),
            ("operator-addr", identity.operator_addr.to_string()),
            ("target-addr", identity.target_addr.to_string()),
            ("platform", self.platform_addr.to_string()),
            (
                "drain-timeout",
                format!("{}ms", self.cfg.drain_timeout.as_millis()),
            ),
            ("operator-token", OPERATOR_TOKEN.to_owned()),
            ("peer-token", PEER_TOKEN.to_owned()),
        ];
        let program = env!("CARGO_BIN_EXE_stoatstepd");
        Process::start(
            &format!("daemon-{}", identity.name),
            program,
            &flags,
            &self.dir,
        )
    }
}

/// What a daemon is told of its instance.
#[derive(Clone, Copy, Debug)]
struct Identity<'a> {
    name: &'a str,
    zone: &'a str,
    caller_addr: SocketAddr,
    peer_addr: SocketAddr,
    operator_addr: SocketAddr,
    target_addr: SocketAddr,
}

impl Instance {
    /// Whether the daemon says that it is ready to serve.
    pub(crate) async fn is_ready(&self) -> bool {
        let answer = Request::get(self.operator_addr, "/readyz").send().await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    fn identity(&self) -> Identity<'_> {
        Identity {
            name: &self.name,
            zone: &self.zone,
            caller_addr: self.caller_addr,
            peer_addr: self.peer_addr,
            operator_addr: self.operator_addr,
            target_addr: self.target_addr,
        }
    }
}

/// Signs a request with the operators' token.
pub(crate) fn as_operator(req: Request) -> Request {
    req.header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
}

fn put(resource: wire::ResourceWire) -> wire::PutWire {
    wire::PutWire {
        resource,
        expected: None,
    }
}
