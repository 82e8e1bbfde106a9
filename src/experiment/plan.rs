//! What an experiment runs: deployments and scenarios, read from scenario files.

use std::{sync::Arc, time::Duration};

use crate::{
    clock,
    config::{Importance, Target},
    names::ServiceName,
    scenario::{Statement, When, parse},
};

const DEFAULT_LENGTH: Duration = Duration::from_secs(30);

/// A service of a deployment.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Number of instances.
    pub targets: usize,
    /// Requests that an upstream runs at once.
    pub slots: u32,
    /// Requests that an upstream accepts.
    pub connections: usize,
    /// Mean time of the upstream itself for a request.
    pub time: Duration,
    /// Service that it calls for each request, by index.
    pub calls: Option<usize>,
}

/// A class of work.
#[derive(Debug, Clone)]
pub struct Class {
    /// Name.
    pub name: Arc<str>,
    /// Service at the head of the chain, by index.
    pub service: usize,
    /// Part of all requests.
    pub part: f64,
    /// Derived importance.
    pub importance: Importance,
    /// Latest useful answer.
    pub within: Duration,
    /// Requests may run more than once.
    pub idempotent: bool,
}

/// The fleet and the mix of requests.
#[derive(Debug, Clone, Default)]
pub struct Deployment {
    /// Name.
    pub name: String,
    /// Number of availability zones.
    pub zones: usize,
    /// Delay between zones, one way.
    pub between: Duration,
    /// Delay within a zone, one way.
    pub within: Duration,
    /// Delay between callers and nodes, one way.
    pub clients: Duration,
    /// Services; a service calls only services that stand after it.
    pub services: Vec<Service>,
    /// Classes.
    pub classes: Vec<Class>,
    /// Parts of the organisations in the demand.
    pub organisations: Vec<f64>,
}

/// A fault, or its end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Demand as a multiple of capacity.
    Demand(f64),
    /// Service times of the deepest service are multiplied.
    Slow(f64),
    /// The table is frozen, or no longer.
    Outage(bool),
    /// The first instance of the deepest service dies.
    KillDeepest,
    /// All instances of the first zone die.
    KillZone,
    /// Dead instances come back, cold.
    Restart,
}

/// A bound on a figure.
#[derive(Debug, Clone, PartialEq)]
pub struct Bound {
    /// Name of the figure.
    pub figure: String,
    /// The figure must be at least the limit, otherwise at most.
    pub at_least: bool,
    /// The limit.
    pub limit: f64,
}

/// Load, faults and bounds.
#[derive(Debug, Clone, Default)]
pub struct Scenario {
    /// Name.
    pub name: String,
    /// End of the run.
    pub length: Duration,
    /// Faults in the order of time.
    pub faults: Vec<(Duration, Fault)>,
    /// Times that a caller sends again.
    pub caller_retries: u32,
    /// Mean delay of callers that do not wait as told.
    pub backoff: Duration,
    /// Callers ignore Retry-After.
    pub impatient: bool,
    /// Interval in which goodput and fairness are measured.
    pub measured: (Duration, Duration),
    /// When the cause ends.
    pub recovery_at: Option<Duration>,
    /// Organisation that sends more than its rate, and how many times.
    pub flood: Option<(usize, f64)>,
    /// Sum of the organisations' rates as a multiple of capacity; no rates where it is none.
    pub rates: Option<f64>,
    /// Announced slots of a service's upstreams as multiples of the true ones.
    pub announced: Vec<f64>,
    /// Service times of a service's upstreams as multiples.
    pub speeds: Vec<f64>,
    /// Bounds on the figures.
    pub bounds: Vec<Bound>,
}

impl Deployment {
    /// Reads a deployment.
    pub fn read(name: &str, text: &str) -> Result<Self, String> {
        let statements = parse(name, text).map_err(|findings| findings.to_string())?;
        let mut deployment = Self { name: name.to_owned(), zones: 3, ..Self::default() };
        let names: Vec<&str> = statements
            .iter()
            .filter(|statement| statement.verb == "service")
            .filter_map(|statement| statement.word(0).ok())
            .collect();
        let index = |service: &str| {
            let index = names.iter().position(|name| *name == service);
            index.ok_or_else(|| format!("no service {service}"))
        };
        for statement in &statements {
            match statement.verb.as_str() {
                "network" => {
                    deployment.zones = statement.argument("zones", deployment.zones)?;
                    deployment.between = statement.time("between", Duration::ZERO)?;
                    deployment.within = statement.time("within", Duration::ZERO)?;
                    deployment.clients = statement.time("clients", Duration::ZERO)?;
                }
                "service" => deployment.services.push(Service {
                    name: statement.word(0)?.into(),
                    targets: statement.argument("targets", 1)?,
                    slots: statement.argument("slots", 1)?,
                    connections: statement.argument("connections", usize::MAX)?,
                    time: statement.time("time", Duration::ZERO)?,
                    calls: match statement.arguments.get("calls") {
                        Some(service) => Some(index(service)?),
                        None => None,
                    },
                }),
                "class" => deployment.classes.push(read_class(statement, index)?),
                "organisations" => deployment.organisations = numbers(statement)?,
                other => return Err(format!("line {}: unknown verb {other}", statement.line)),
            }
        }
        Ok(deployment)
    }

    /// Index of the deepest service.
    pub fn deepest(&self) -> usize {
        self.services.len() - 1
    }
}

fn read_class(
    statement: &Statement,
    index: impl Fn(&str) -> Result<usize, String>,
) -> Result<Class, String> {
    let within = statement.time("within", Duration::from_secs(1))?;
    let target = Target {
        must_get_through: statement.argument("through", 0.0)?,
        answer_within_ms: clock::millis(within),
    };
    let service: String = statement.argument("service", String::new())?;
    Ok(Class {
        name: statement.word(0)?.into(),
        service: index(&service)?,
        part: statement.argument("part", 0.0)?,
        importance: Importance::from_target(&target),
        within,
        idempotent: statement.argument("idempotent", 0u8)? == 1,
    })
}

fn numbers(statement: &Statement) -> Result<Vec<f64>, String> {
    let number = |word: &String| {
        word.parse().map_err(|_| format!("line {}: expected a number: {word}", statement.line))
    };
    statement.words.iter().map(number).collect()
}

impl Scenario {
    /// Reads a scenario.
    pub fn read(name: &str, text: &str) -> Result<Self, String> {
        let statements = parse(name, text).map_err(|findings| findings.to_string())?;
        let mut scenario =
            Self { name: name.to_owned(), length: DEFAULT_LENGTH, ..Self::default() };
        let mut base_demand = 1.0;
        for statement in &statements {
            match (statement.verb.as_str(), statement.when) {
                ("length", _) => scenario.length = time_word(statement)?,
                ("demand", When::Always) => {
                    base_demand = number(statement, 0)?;
                    scenario.faults.push((Duration::ZERO, Fault::Demand(base_demand)));
                }
                ("demand", when) => scenario.during(
                    when,
                    Fault::Demand(number(statement, 0)?),
                    Fault::Demand(base_demand),
                ),
                ("slow", when) => {
                    scenario.during(when, Fault::Slow(number(statement, 0)?), Fault::Slow(1.0));
                }
                ("outage", when) => {
                    scenario.during(when, Fault::Outage(true), Fault::Outage(false));
                }
                ("kill", When::At(at)) => scenario.faults.push((
                    at,
                    match statement.word(0)? {
                        "zone" => Fault::KillZone,
                        _ => Fault::KillDeepest,
                    },
                )),
                ("restart", When::At(at)) => scenario.faults.push((at, Fault::Restart)),
                ("callers", _) => {
                    scenario.caller_retries = statement.argument("retries", 0)?;
                    scenario.backoff = statement.time("backoff", Duration::from_millis(200))?;
                    scenario.impatient = statement.argument("impatient", 0u8)? == 1;
                }
                ("measure", _) => {
                    let from = statement.time("from", Duration::ZERO)?;
                    scenario.measured = (from, statement.time("to", scenario.length)?);
                }
                ("recovery", _) => {
                    scenario.recovery_at = Some(statement.time("at", Duration::ZERO)?);
                }
                ("flood", _) => {
                    let organisation = statement.argument("organisation", 0)?;
                    scenario.flood = Some((organisation, statement.argument("factor", 1.0)?));
                }
                ("rates", _) => scenario.rates = Some(number(statement, 0)?),
                ("lie", _) => scenario.announced = numbers(statement)?,
                ("speeds", _) => scenario.speeds = numbers(statement)?,
                ("expect", _) => scenario.bounds.push(Bound {
                    figure: statement.word(0)?.to_owned(),
                    at_least: statement.word(1)? == ">=",
                    limit: number(statement, 2)?,
                }),
                (other, _) => return Err(format!("line {}: unknown verb {other}", statement.line)),
            }
        }
        scenario.faults.sort_by_key(|(at, _)| *at);
        Ok(scenario)
    }

    /// Demand of an organisation as a multiple of its part.
    pub fn organisation_factor(&self, organisation: usize) -> f64 {
        match self.flood {
            Some((flooding, factor)) if flooding == organisation => factor,
            _ => 1.0,
        }
    }

    fn during(&mut self, when: When, start: Fault, end: Fault) {
        match when {
            When::Always => self.faults.push((Duration::ZERO, start)),
            When::At(at) => self.faults.push((at, start)),
            When::During { from, to } => {
                self.faults.push((from, start));
                self.faults.push((to, end));
            }
        }
    }
}

fn number(statement: &Statement, index: usize) -> Result<f64, String> {
    let word = statement.word(index)?;
    word.parse().map_err(|_| format!("line {}: expected a number: {word}", statement.line))
}

fn time_word(statement: &Statement) -> Result<Duration, String> {
    let word = statement.word(0)?;
    crate::scenario::parse_time(word)
        .ok_or_else(|| format!("line {}: expected a time: {word}", statement.line))
}
