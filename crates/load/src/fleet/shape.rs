//! What a fleet consists of.

use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use stoatstep_resource::{Policy, Resource, Retry, Route, Service, Upstream};

/// Connections that each upstream takes.
const CONNECTIONS: u32 = 120;

/// One service of a fleet.
#[derive(Clone, Debug)]
pub struct ServiceShape {
    /// Its name; its route's prefix is `/` and the name.
    pub name: SmolStr,
    /// Its upstreams.
    pub upstreams: usize,
    /// Slots of each.
    pub slots: u32,
}

/// How targets behave.
#[derive(Clone, Copy, Debug)]
pub struct TargetShape {
    /// Mean time of a run.
    pub service_time: Duration,
    /// Spread around it.
    pub service_spread: Duration,
}

/// What a fleet consists of: a Chalkbox-like one unless setters say otherwise.
#[derive(Clone, Debug)]
pub struct Shape {
    pub(crate) zones: usize,
    pub(crate) services: Vec<ServiceShape>,
    pub(crate) daemons: Option<usize>,
    pub(crate) target: Option<TargetShape>,
    pub(crate) timeout: Duration,
}

impl Default for Shape {
    fn default() -> Self {
        let service = |name: &str, upstreams| ServiceShape {
            name: name.into(),
            upstreams,
            slots: 13,
        };
        Self {
            zones: 4,
            services: vec![service("floatdesk", 8), service("refundhall", 4)],
            daemons: None,
            target: Some(TargetShape {
                service_time: Duration::from_millis(5),
                service_spread: Duration::from_millis(2),
            }),
            timeout: Duration::from_secs(2),
        }
    }
}

impl Shape {
    /// The two-year size: `daemons` daemons without targets under 8 zones, and
    /// a state of 48 services with 610 upstreams.
    #[must_use]
    pub fn two_years(daemons: usize) -> Self {
        const SERVICES: usize = 48;
        const UPSTREAMS: usize = 610;
        let services = (0..SERVICES).map(|index| ServiceShape {
            name: format_smolstr!("service-{index:02}"),
            upstreams: UPSTREAMS / SERVICES + usize::from(index < UPSTREAMS % SERVICES),
            slots: 13,
        });
        Self {
            zones: 8,
            services: services.collect(),
            daemons: Some(daemons),
            target: None,
            ..Self::default()
        }
    }

    /// Sets the number of zones; 4 by default.
    #[must_use]
    pub fn zones(mut self, zones: usize) -> Self {
        self.zones = zones;
        self
    }

    /// Sets the services; Chalkbox's two by default.
    #[must_use]
    pub fn services(mut self, services: Vec<ServiceShape>) -> Self {
        self.services = services;
        self
    }

    /// Sets how targets behave; without this, runs take 5 ms plus or minus 2.
    #[must_use]
    pub fn target(mut self, target: TargetShape) -> Self {
        self.target = Some(target);
        self
    }

    /// Sets the number of daemons; by default one for each upstream. Upstreams
    /// beyond it have none.
    #[must_use]
    pub fn daemons(mut self, daemons: usize) -> Self {
        self.daemons = Some(daemons);
        self
    }

    /// Starts daemons alone; by default each has a target.
    #[must_use]
    pub fn without_targets(mut self) -> Self {
        self.target = None;
        self
    }

    /// Daemons of this fleet.
    pub(crate) fn daemon_count(&self) -> usize {
        let upstreams = self.services.iter().map(|it| it.upstreams).sum();
        self.daemons.unwrap_or(upstreams).min(upstreams)
    }

    /// The upstreams, with their service, in the order of the instances. They
    /// are dealt out so that each service reaches over all zones.
    pub(crate) fn upstreams(&self) -> Vec<(SmolStr, &ServiceShape)> {
        let each = self.services.iter().flat_map(|service| {
            (1..=service.upstreams)
                .map(move |number| (format_smolstr!("{}-{number}", service.name), service))
        });
        each.collect()
    }

    /// Every resource that this fleet needs.
    #[must_use]
    pub fn resources(&self) -> Vec<Resource> {
        let policy = SmolStr::new_static("standard");
        let mut all = vec![Resource::Policy(Policy {
            name: policy.clone(),
            timeout: self.timeout,
            retry: Retry {
                attempts: 3,
                budget_percent: 20,
            },
            latency_objective: None,
            priority: None,
            limits: Vec::new(),
        })];
        for service in &self.services {
            all.push(Resource::Service(Service {
                name: service.name.clone(),
                policy: Some(policy.clone()),
                health_path: None,
            }));
            all.push(Resource::Route(route(service)));
        }
        for (name, service) in self.upstreams() {
            all.push(Resource::Upstream(Upstream {
                name,
                service: service.name.clone(),
                slots: service.slots,
                connections: CONNECTIONS,
            }));
        }
        all
    }
}

fn route(service: &ServiceShape) -> Route {
    Route {
        name: service.name.clone(),
        prefix: format_smolstr!("/{}", service.name),
        service: service.name.clone(),
        policy: None,
        host: None,
        split: Vec::new(),
        idempotent: false,
        public: false,
    }
}
