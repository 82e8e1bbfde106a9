//! Input of an experiment: deployments and scenarios, parsed from scenario files.

use std::{sync::Arc, time::Duration};

use crate::{
    clock,
    config::{Importance, Target},
    names::ServiceName,
    scenario::{Statement, When, parse},
};

/// Length of a run where the scenario has no `length` statement.
const DEFAULT_LENGTH: Duration = Duration::from_secs(30);

/// A service of a deployment.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of instances, each with a node and an upstream.
    pub targets: usize,
    /// Number of requests that an upstream runs concurrently.
    pub slots: u32,
    /// Largest number of requests in an upstream, running and queued, without overload control.
    pub connections: usize,
    /// Mean service time of a request in the upstream, without the time in calls.
    pub service_time: Duration,
    /// Index of the service that an upstream calls once for each request.
    pub calls: Option<usize>,
}

/// A class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// Name of the class.
    pub name: Arc<str>,
    /// Index of the first service of the call chain.
    pub service: usize,
    /// Fraction of all requests, from 0 to 1.
    pub part: f64,
    /// Importance, derived from the target of the class.
    pub importance: Importance,
    /// Time after sending within which a response is useful to the caller.
    pub answer_within: Duration,
    /// Whether requests can run more than once without harm.
    pub is_idempotent: bool,
}

/// The simulated services, network and mix of requests.
#[derive(Debug, Clone, Default)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// Number of availability zones.
    pub zones: usize,
    /// Delay between zones, one way.
    pub delay_between_zones: Duration,
    /// Delay within a zone, one way.
    pub delay_within_zone: Duration,
    /// Delay between callers and nodes, one way.
    pub caller_delay: Duration,
    /// Services; a service calls only services that follow it in this list.
    pub services: Vec<Service>,
    /// Classes, the most important first.
    pub classes: Vec<Class>,
    /// Fraction of the demand that each organisation sends.
    pub organisations: Vec<f64>,
}

/// A change of load or a fault, or the end of one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Sets the demand, as a multiple of capacity.
    Demand(f64),
    /// Multiplies the service times of the deepest service.
    Slow(f64),
    /// Starts (true) or ends (false) an outage of the platform, in which dead instances stay in the
    /// membership table.
    Outage(bool),
    /// Kills the first instance of the deepest service.
    KillDeepest,
    /// Kills all instances in the first availability zone.
    KillZone,
    /// Restarts the dead instances, which begin with a cold start.
    Restart,
}

/// A bound on a figure.
#[derive(Debug, Clone, PartialEq)]
pub struct Bound {
    /// Name of the figure, as `Figures::by_name` has it.
    pub figure: String,
    /// Whether the figure must be at least the limit; otherwise it must be at most the limit.
    pub is_lower_bound: bool,
    /// The limit, in the unit of the figure.
    pub limit: f64,
}

/// Load, faults and bounds.
#[derive(Debug, Clone, Default)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Length of the run.
    pub length: Duration,
    /// Times from the start of the run and faults, ordered by time.
    pub faults: Vec<(Duration, Fault)>,
    /// Largest number of retries of a caller for one request.
    pub caller_retries: u32,
    /// Mean delay of a caller before a retry; a longer Retry-After replaces it.
    pub backoff: Duration,
    /// Whether callers ignore Retry-After.
    pub ignores_retry_after: bool,
    /// Start and end of the interval in which goodput and fairness are measured.
    pub measured: (Duration, Duration),
    /// When the fault or overload ends, from which recovery is measured.
    pub recovery_at: Option<Duration>,
    /// Index of an organisation that sends more than its share of the demand, and the factor.
    pub flood: Option<(usize, f64)>,
    /// Sum of the organisations' rates as a multiple of capacity; `None` for no limits on rates.
    pub rates: Option<f64>,
    /// Factors by which the slots that upstreams announce differ from their real number, assigned
    /// to the instances of each service in turn.
    pub announced_slots_factors: Vec<f64>,
    /// Factors on the service times, assigned to the instances of each service in turn.
    pub service_time_factors: Vec<f64>,
    /// Bounds that the figures of a run must keep.
    pub bounds: Vec<Bound>,
}

impl Deployment {
    /// Parses a deployment file; `name` is also its name in error messages.
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
            index.ok_or_else(|| {
                format!("unknown service {service}: expected a service of this deployment")
            })
        };
        for statement in &statements {
            match statement.verb.as_str() {
                "network" => {
                    deployment.zones = statement.argument("zones", deployment.zones)?;
                    deployment.delay_between_zones = statement.time("between", Duration::ZERO)?;
                    deployment.delay_within_zone = statement.time("within", Duration::ZERO)?;
                    deployment.caller_delay = statement.time("clients", Duration::ZERO)?;
                }
                "service" => deployment.services.push(Service {
                    name: statement.word(0)?.into(),
                    targets: statement.argument("targets", 1)?,
                    slots: statement.argument("slots", 1)?,
                    connections: statement.argument("connections", usize::MAX)?,
                    service_time: statement.time("time", Duration::ZERO)?,
                    calls: match statement.arguments.get("calls") {
                        Some(service) => Some(index(service)?),
                        None => None,
                    },
                }),
                "class" => deployment.classes.push(read_class(statement, index)?),
                "organisations" => deployment.organisations = parse_numbers(statement)?,
                other => return Err(format!("line {}: unknown verb {other}", statement.line)),
            }
        }
        Ok(deployment)
    }

    /// Returns the index of the deepest service, the last of the list.
    pub fn deepest(&self) -> usize {
        self.services.len() - 1
    }
}

fn read_class(
    statement: &Statement,
    index: impl Fn(&str) -> Result<usize, String>,
) -> Result<Class, String> {
    let answer_within = statement.time("within", Duration::from_secs(1))?;
    let target = Target {
        must_get_through: statement.argument("through", 0.0)?,
        answer_within_ms: clock::to_millis(answer_within),
    };
    let service: String = statement.argument("service", String::new())?;
    Ok(Class {
        name: statement.word(0)?.into(),
        service: index(&service)?,
        part: statement.argument("part", 0.0)?,
        importance: Importance::from_target(&target),
        answer_within,
        is_idempotent: statement.argument("idempotent", 0u8)? == 1,
    })
}

fn parse_numbers(statement: &Statement) -> Result<Vec<f64>, String> {
    let number = |word: &String| {
        word.parse()
            .map_err(|_| format!("line {}: expected a number, found {word}", statement.line))
    };
    statement.words.iter().map(number).collect()
}

impl Scenario {
    /// Parses a scenario file; `name` is also its name in error messages.
    pub fn read(name: &str, text: &str) -> Result<Self, String> {
        let statements = parse(name, text).map_err(|findings| findings.to_string())?;
        let mut scenario =
            Self { name: name.to_owned(), length: DEFAULT_LENGTH, ..Self::default() };
        let mut base_demand = 1.0;
        for statement in &statements {
            match (statement.verb.as_str(), statement.when) {
                ("length", _) => scenario.length = parse_time_word(statement)?,
                ("demand", When::Always) => {
                    base_demand = parse_number(statement, 0)?;
                    scenario.faults.push((Duration::ZERO, Fault::Demand(base_demand)));
                }
                ("demand", when) => scenario.add_fault(
                    when,
                    Fault::Demand(parse_number(statement, 0)?),
                    Fault::Demand(base_demand),
                ),
                ("slow", when) => {
                    scenario.add_fault(
                        when,
                        Fault::Slow(parse_number(statement, 0)?),
                        Fault::Slow(1.0),
                    );
                }
                ("outage", when) => {
                    scenario.add_fault(when, Fault::Outage(true), Fault::Outage(false));
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
                    scenario.ignores_retry_after = statement.argument("impatient", 0u8)? == 1;
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
                ("rates", _) => scenario.rates = Some(parse_number(statement, 0)?),
                ("lie", _) => scenario.announced_slots_factors = parse_numbers(statement)?,
                ("speeds", _) => scenario.service_time_factors = parse_numbers(statement)?,
                ("expect", _) => scenario.bounds.push(Bound {
                    figure: statement.word(0)?.to_owned(),
                    is_lower_bound: statement.word(1)? == ">=",
                    limit: parse_number(statement, 2)?,
                }),
                (other, _) => return Err(format!("line {}: unknown verb {other}", statement.line)),
            }
        }
        scenario.faults.sort_by_key(|(at, _)| *at);
        Ok(scenario)
    }

    /// Returns the demand of an organisation as a multiple of its share of the demand.
    pub fn organisation_factor(&self, organisation: usize) -> f64 {
        match self.flood {
            Some((flooding, factor)) if flooding == organisation => factor,
            _ => 1.0,
        }
    }

    /// Adds a fault, and its end where the statement covers an interval.
    fn add_fault(&mut self, when: When, start: Fault, end: Fault) {
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

fn parse_number(statement: &Statement, index: usize) -> Result<f64, String> {
    let word = statement.word(index)?;
    word.parse().map_err(|_| format!("line {}: expected a number, found {word}", statement.line))
}

fn parse_time_word(statement: &Statement) -> Result<Duration, String> {
    let word = statement.word(0)?;
    crate::scenario::parse_time(word)
        .ok_or_else(|| format!("line {}: expected a time, found {word}", statement.line))
}
