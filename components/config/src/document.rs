//! Parsing and validation of YAML documents.
//!
//! The raw types mirror the YAML and are private. Callers of this module get
//! validated types, or a failure with the line of the invalid value.

use std::{collections, path, time};

use serde::Deserialize;

use crate::{failure, fleet, key, name, note, settings};

/// File name or other source of a document, for error messages.
#[derive(Clone, Debug)]
pub struct Origin(pub String);

type Span<T> = serde_saphyr::Spanned<T>;
type LocatedResult<T> = Result<T, (u64, failure::Problem)>;

/// Parses and validates the settings of a daemon.
pub fn read_settings(text: &str, origin: &Origin) -> Result<settings::Settings, failure::Failure> {
    let raw: RawSettings = parse(text, origin)?;
    settings::Settings::try_from(raw).map_err(|e| to_failure(e, origin))
}

/// Parses and validates a release note.
pub fn read_note(text: &str, origin: &Origin) -> Result<note::Note, failure::Failure> {
    let raw: RawNote = parse(text, origin)?;
    note::Note::try_from(raw).map_err(|e| to_failure(e, origin))
}

fn to_failure((line, problem): (u64, failure::Problem), origin: &Origin) -> failure::Failure {
    failure::Failure {
        file: origin.0.clone(),
        line,
        problem,
    }
}

fn parse<'a, T: Deserialize<'a>>(text: &'a str, origin: &Origin) -> Result<T, failure::Failure> {
    serde_saphyr::from_str(text).map_err(|error| {
        let line = error.location().map_or(0, |l| l.line());
        let text = error.without_snippet().to_string();
        to_failure((line, failure::Problem::Syntax(text)), origin)
    })
}

fn with_line<T, U>(span: &Span<T>, result: Result<U, failure::Problem>) -> LocatedResult<U> {
    result.map_err(|problem| (span.referenced.line(), problem))
}

fn parse_name(span: &Span<String>) -> LocatedResult<name::Name> {
    with_line(span, name::Name::try_from(span.value.as_str()))
}

fn parse_duration(span: &Span<String>) -> LocatedResult<time::Duration> {
    let parsed = humantime::parse_duration(&span.value);
    let bad = || failure::Problem::BadDuration(span.value.clone());
    with_line(span, parsed.map_err(|_| bad()))
}

/// A bound that a template fills in; none if the template had no value for it, which
/// leaves the unit alone.
fn optional_bound(span: Option<&Span<String>>) -> Option<&Span<String>> {
    span.filter(|span| !matches!(span.value.trim(), "" | "ms" | "s"))
}

fn duration_or(
    span: Option<&Span<String>>,
    default: time::Duration,
) -> LocatedResult<time::Duration> {
    span.map_or(Ok(default), parse_duration)
}

fn parse_address<T: std::str::FromStr>(span: &Span<String>) -> LocatedResult<T> {
    let parsed = span.value.parse();
    let bad = || failure::Problem::BadAddress(span.value.clone());
    with_line(span, parsed.map_err(|_| bad()))
}

fn check_range(span: &Span<u64>, what: &'static str, low: u64, high: u64) -> LocatedResult<u64> {
    if (low..=high).contains(&span.value) {
        return Ok(span.value);
    }
    let problem = failure::Problem::OutOfRange(what, low, high);
    Err((span.referenced.line(), problem))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    vm: Span<String>,
    address: Span<String>,
    domain: Span<String>,
    region: Span<String>,
    listen: Span<String>,
    peer: Span<String>,
    admin: Span<String>,
    platform: String,
    orders: Option<String>,
    dialect: Option<Span<String>>,
    #[serde(default)]
    domains: collections::BTreeMap<String, Span<String>>,
    #[serde(default)]
    credentials: RawCredentials,
    tls: Option<RawTls>,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    timing: RawTiming,
    #[serde(default)]
    policy: RawPolicy,
    level: Option<Span<String>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCredentials {
    user: String,
    password: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTls {
    certificate: path::PathBuf,
    key: path::PathBuf,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLimits {
    message: Option<Span<u64>>,
    sessions: Option<Span<u64>>,
    memory: Option<Span<u64>>,
    receive: Option<Span<String>>,
    send: Option<Span<String>>,
    startup: Option<Span<String>>,
    idle: Option<Span<String>>,
    wait: Option<Span<String>>,
    queue: Option<Span<u64>>,
    tolerance: Option<Span<f64>>,
    overage: Option<Span<f64>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawTiming {
    lease: Option<Span<String>>,
    poll: Option<Span<String>>,
    suspect: Option<Span<String>>,
    gossip: Option<Span<String>>,
    refusal: Option<Span<String>>,
    platform: Option<Span<String>>,
    stop: Option<Span<String>>,
    leave: Option<Span<String>>,
    revocation: Option<Span<String>>,
    draining: Option<Span<String>>,
    drain: Option<Span<String>>,
    evacuation: Option<Span<String>>,
    tick: Option<Span<String>>,
    rest: Option<Span<String>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawPolicy {
    reads: Option<Span<String>>,
    admission: Option<Span<String>>,
    budget: Option<Span<String>>,
    arbiter: Option<Span<String>>,
}

/// Largest tolerance, in requests.
const MAX_TOLERANCE: f64 = 1_048_576.0;
/// Share of the `revocation` bound after which keyed requests are refused. The rest
/// covers requests in progress; the age of the known configuration is exact.
const REVOCATION_PERCENT: u32 = 90;
/// Share of the `draining` bound in which a leaving instance gets transactions. The
/// rest covers a daemon that learns a second late that the instance is leaving,
/// because its watch on the store has just broken.
const DRAINING_PERCENT: u32 = 80;
/// Share of the `evacuation` bound in which open transactions may run statements. The
/// rest covers the time until a daemon learns of the evacuation.
const EVACUATION_PERCENT: u32 = 60;
/// Bound on the time in which a failure domain is evacuated, where the settings state
/// none.
const DEFAULT_EVACUATION: time::Duration = ms(5_000);

/// Time in which open transactions may run statements during an evacuation.
pub(crate) fn evacuation_timeout(bound: time::Duration) -> time::Duration {
    bound * EVACUATION_PERCENT / 100
}

const fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

fn limit_or(
    span: Option<&Span<u64>>,
    default: u64,
    what: &'static str,
    high: u64,
) -> LocatedResult<usize> {
    let value = span.map_or(Ok(default), |s| check_range(s, what, 1, high))?;
    Ok(usize::try_from(value).unwrap_or(usize::MAX))
}

/// Reads the memory of the process, in MiB.
fn parse_memory(span: Option<&Span<u64>>) -> LocatedResult<usize> {
    let Some(span) = span else {
        return Ok(settings::Intake::default().memory_bytes);
    };
    let value = check_range(span, "limits.memory", 1, 1 << 20)?;
    Ok(usize::try_from(value << 20).unwrap_or(usize::MAX))
}

/// Whole requests of a tolerance.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn parse_tolerance(span: &Span<f64>) -> LocatedResult<u32> {
    if (0.0..=MAX_TOLERANCE).contains(&span.value) {
        return Ok(span.value as u32);
    }
    let problem = failure::Problem::OutOfRange("limits.tolerance", 0, MAX_TOLERANCE as u64);
    Err((span.referenced.line(), problem))
}

/// Converts a fraction from 0 to 1 to millionths.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn parse_millionths(span: &Span<f64>) -> LocatedResult<u32> {
    if (0.0..=1.0).contains(&span.value) {
        return Ok((span.value * 1e6).round() as u32);
    }
    let problem = failure::Problem::OutOfRange("limits.overage", 0, 1);
    Err((span.referenced.line(), problem))
}

impl TryFrom<&RawLimits> for settings::Limits {
    type Error = (u64, failure::Problem);

    fn try_from(raw: &RawLimits) -> Result<Self, Self::Error> {
        Ok(Self {
            message_bytes: limit_or(raw.message.as_ref(), 1 << 20, "limits.message", 1 << 30)?,
            max_sessions: limit_or(raw.sessions.as_ref(), 4096, "limits.sessions", 1 << 20)?,
            startup_timeout: duration_or(raw.startup.as_ref(), ms(10_000))?,
            idle_timeout: duration_or(raw.idle.as_ref(), ms(30_000))?,
            wait_timeout: duration_or(raw.wait.as_ref(), ms(5_000))?,
            queue_length: limit_or(raw.queue.as_ref(), 256, "limits.queue", 1 << 20)?,
            burst_tolerance: raw.tolerance.as_ref().map_or(Ok(0), parse_tolerance)?,
            overage_ppm: raw.overage.as_ref().map_or(Ok(0), parse_millionths)?,
        })
    }
}

impl TryFrom<&RawLimits> for settings::Intake {
    type Error = (u64, failure::Problem);

    fn try_from(raw: &RawLimits) -> Result<Self, Self::Error> {
        let defaults = Self::default();
        Ok(Self {
            memory_bytes: parse_memory(raw.memory.as_ref())?,
            receive_timeout: duration_or(raw.receive.as_ref(), defaults.receive_timeout)?,
            send_timeout: duration_or(raw.send.as_ref(), defaults.send_timeout)?,
        })
    }
}

impl TryFrom<&RawTiming> for settings::Timing {
    type Error = (u64, failure::Problem);

    fn try_from(raw: &RawTiming) -> Result<Self, Self::Error> {
        // The limits stay below the promised bounds, so that requests in progress
        // also end within them.
        let share_of = |bound: time::Duration, percent| bound * percent / 100;
        let revocation = optional_bound(raw.revocation.as_ref());
        let refusal_timeout = match revocation {
            Some(bound) => share_of(parse_duration(bound)?, REVOCATION_PERCENT),
            None => ms(2_000),
        };
        let drain = match optional_bound(raw.draining.as_ref()) {
            Some(bound) => share_of(parse_duration(bound)?, DRAINING_PERCENT),
            None => ms(5_000),
        };
        let evacuation = duration_or(raw.evacuation.as_ref(), DEFAULT_EVACUATION)?;
        let refusal_timeout = duration_or(raw.refusal.as_ref(), refusal_timeout)?;
        let lease = duration_or(raw.lease.as_ref(), ms(300))?;
        Ok(Self {
            // With a bound on revocation, a term confirmation is not valid for longer
            // than the known keys.
            lease: if revocation.is_some() {
                lease.min(refusal_timeout)
            } else {
                lease
            },
            poll_period: duration_or(raw.poll.as_ref(), ms(50))?,
            suspicion_timeout: duration_or(raw.suspect.as_ref(), ms(250))?,
            gossip_period: duration_or(raw.gossip.as_ref(), ms(100))?,
            refusal_timeout,
            platform_period: duration_or(raw.platform.as_ref(), ms(1_000))?,
            stop_timeout: duration_or(optional_bound(raw.stop.as_ref()), ms(30_000))?,
            leave_period: duration_or(raw.leave.as_ref(), ms(0))?,
            drain_timeout: duration_or(raw.drain.as_ref(), drain)?,
            evacuation_timeout: evacuation_timeout(evacuation),
            tick_period: duration_or(raw.tick.as_ref(), ms(2))?,
            idle_period: duration_or(raw.rest.as_ref(), ms(2))?,
        })
    }
}

impl TryFrom<&RawPolicy> for settings::Policy {
    type Error = (u64, failure::Problem);

    fn try_from(raw: &RawPolicy) -> Result<Self, Self::Error> {
        let defaults = Self::default();
        let pick =
            |span: &Option<Span<String>>, default| span.as_ref().map_or(Ok(default), parse_name);
        Ok(Self {
            reads: pick(&raw.reads, defaults.reads)?,
            admission: pick(&raw.admission, defaults.admission)?,
            budget: pick(&raw.budget, defaults.budget)?,
            arbiter: pick(&raw.arbiter, defaults.arbiter)?,
        })
    }
}

fn parse_domains(
    raw: &collections::BTreeMap<String, Span<String>>,
) -> LocatedResult<collections::BTreeMap<name::Name, name::Name>> {
    let checked = raw.iter().map(|(domain, region)| {
        let domain = with_line(region, name::Name::try_from(domain.as_str()))?;
        Ok((domain, parse_name(region)?))
    });
    checked.collect()
}

impl TryFrom<RawSettings> for settings::Settings {
    type Error = (u64, failure::Problem);

    fn try_from(raw: RawSettings) -> Result<Self, Self::Error> {
        let literal = |text| name::Name::try_from(text).map_err(|problem| (0, problem));
        let (info, postgres) = (literal("info")?, literal("postgres")?);
        Ok(Self {
            vm: parse_name(&raw.vm)?,
            source_address: parse_address(&raw.address)?,
            domain: parse_name(&raw.domain)?,
            region: parse_name(&raw.region)?,
            listen_address: parse_address(&raw.listen)?,
            peer_address: parse_address(&raw.peer)?,
            admin_address: parse_address(&raw.admin)?,
            domain_regions: parse_domains(&raw.domains)?,
            platform_url: raw.platform,
            promotion_url: raw.orders,
            dialect: raw.dialect.as_ref().map_or(Ok(postgres), parse_name)?,
            credentials: settings::Credentials {
                user: raw.credentials.user,
                password: raw.credentials.password,
            },
            tls: raw.tls.map(|tls| settings::Tls {
                certificate: tls.certificate,
                key: tls.key,
            }),
            limits: (&raw.limits).try_into()?,
            intake: (&raw.limits).try_into()?,
            timing: (&raw.timing).try_into()?,
            policy: (&raw.policy).try_into()?,
            log_level: raw.level.as_ref().map_or(Ok(info), parse_name)?,
        })
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawNote {
    note: Span<String>,
    #[serde(default)]
    added: RawEntries,
    #[serde(default)]
    changed: RawEntries,
    #[serde(default)]
    withdrawn: RawWithdrawn,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawEntries {
    customers: Vec<RawCustomer>,
    groups: Vec<RawGroup>,
    routes: Vec<RawRoute>,
    evacuated: Vec<Span<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCustomer {
    name: Span<String>,
    rate: Span<u64>,
    burst: Span<u64>,
    weight: Option<Span<u64>>,
    #[serde(default)]
    homes: Vec<Span<String>>,
    #[serde(default)]
    keys: Vec<RawKey>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKey {
    name: Span<String>,
    digest: Span<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawGroup {
    name: Span<String>,
    #[serde(default)]
    durability: fleet::Durability,
    warmup: Option<RawWarmup>,
    instances: Vec<RawInstance>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawWarmup {
    period: Span<String>,
    rate: Span<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawInstance {
    name: Span<String>,
    address: Span<String>,
    domain: Span<String>,
    connections: Span<u64>,
    #[serde(default)]
    leaving: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRoute {
    name: Span<String>,
    group: Span<String>,
    database: String,
    #[serde(default)]
    customers: Vec<Span<String>>,
    #[serde(default)]
    open: bool,
    age: Option<Span<String>>,
    #[serde(default)]
    homes: Vec<Span<String>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawWithdrawn {
    customers: Vec<Span<String>>,
    keys: Vec<RawKeyName>,
    groups: Vec<Span<String>>,
    routes: Vec<Span<String>>,
    instances: Vec<Span<String>>,
    evacuated: Vec<Span<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKeyName {
    customer: Span<String>,
    key: Span<String>,
}

/// Largest rate, burst, weight or connection count.
const COUNT_LIMIT: u64 = 100_000_000;

fn check_count(span: &Span<u64>, what: &'static str) -> LocatedResult<u32> {
    let value = check_range(span, what, 1, COUNT_LIMIT)?;
    Ok(u32::try_from(value).unwrap_or(u32::MAX))
}

fn parse_homes(raw: &[Span<String>]) -> LocatedResult<collections::BTreeSet<name::Name>> {
    let mut homes = collections::BTreeSet::new();
    for region in raw {
        if !homes.insert(parse_name(region)?) {
            let problem = failure::Problem::Duplicate("home", region.value.clone());
            return Err((region.referenced.line(), problem));
        }
    }
    Ok(homes)
}

fn parse_customer(raw: &RawCustomer) -> LocatedResult<note::Entry> {
    let mut keys = collections::BTreeMap::new();
    for key in &raw.keys {
        let digest = key::KeyDigest::try_from(key.digest.value.clone());
        let digest = with_line(&key.digest, digest)?;
        if keys.insert(parse_name(&key.name)?, digest).is_some() {
            let problem = failure::Problem::Duplicate("key", key.name.value.clone());
            return Err((key.name.referenced.line(), problem));
        }
    }
    let weight = raw
        .weight
        .as_ref()
        .map_or(Ok(1), |w| check_count(w, "weight"))?;
    let value = fleet::Customer {
        rate: Some(check_count(&raw.rate, "rate")?.into()),
        burst: check_count(&raw.burst, "burst")?,
        weight,
        keys,
        homes: parse_homes(&raw.homes)?,
    };
    Ok(note::Entry::Customer(parse_name(&raw.name)?, value))
}

fn parse_instance(raw: &RawInstance) -> LocatedResult<fleet::Instance> {
    Ok(fleet::Instance {
        name: parse_name(&raw.name)?,
        address: parse_address(&raw.address)?,
        domain: parse_name(&raw.domain)?,
        connections: check_count(&raw.connections, "connections")?,
        leaving: raw.leaving,
    })
}

/// Fewest requests per second of which each holder can have one at a time.
const MIN_WARMUP_RATE: u64 = 5;

fn parse_warmup(raw: &RawWarmup) -> LocatedResult<fleet::Warmup> {
    let rate = check_range(&raw.rate, "warmup.rate", MIN_WARMUP_RATE, COUNT_LIMIT)?;
    let period = parse_duration(&raw.period)?;
    Ok(fleet::Warmup {
        period_ms: u64::try_from(period.as_millis()).unwrap_or(u64::MAX),
        rate: u32::try_from(rate).unwrap_or(u32::MAX),
    })
}

fn parse_group(raw: &RawGroup) -> LocatedResult<note::Entry> {
    let name = parse_name(&raw.name)?;
    if raw.instances.is_empty() {
        let problem = failure::Problem::EmptyGroup(name.to_string());
        return Err((raw.name.referenced.line(), problem));
    }
    // Where the instances arbitrate, a majority of them does not prove that such a commit is
    // known.
    if raw.durability == fleet::Durability::Replica {
        let problem = failure::Problem::Durability(name.to_string());
        return Err((raw.name.referenced.line(), problem));
    }
    let instances: Result<Vec<_>, _> = raw.instances.iter().map(parse_instance).collect();
    let value = fleet::Group {
        durability: raw.durability,
        warmup: raw.warmup.as_ref().map(parse_warmup).transpose()?,
        instances: instances?,
    };
    Ok(note::Entry::Group(name, value))
}

fn parse_route(raw: &RawRoute) -> LocatedResult<note::Entry> {
    let name = parse_name(&raw.name)?;
    if raw.open != raw.customers.is_empty() {
        let problem = failure::Problem::RouteAccess(name.to_string());
        return Err((raw.name.referenced.line(), problem));
    }
    let customers: Result<collections::BTreeSet<_>, _> =
        raw.customers.iter().map(parse_name).collect();
    let age = raw.age.as_ref().map(parse_duration).transpose()?;
    let value = fleet::Route {
        database: raw.database.clone(),
        customers: customers?,
        open: raw.open,
        age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        homes: parse_homes(&raw.homes)?,
        ..fleet::Route::new(parse_name(&raw.group)?)
    };
    Ok(note::Entry::Route(name, value))
}

fn push_entries(
    raw: &RawEntries,
    wrap: fn(note::Entry, u64) -> note::Change,
    changes: &mut Vec<note::Change>,
) -> LocatedResult<()> {
    let mut seen = collections::BTreeSet::new();
    let mut push = |kind, name: &Span<String>, entry| {
        let line = name.referenced.line();
        if !seen.insert((kind, name.value.clone())) {
            return Err((line, failure::Problem::Duplicate(kind, name.value.clone())));
        }
        changes.push(wrap(entry, line));
        Ok(())
    };
    for raw in &raw.groups {
        push("group", &raw.name, parse_group(raw)?)?;
    }
    for raw in &raw.customers {
        push("customer", &raw.name, parse_customer(raw)?)?;
    }
    for raw in &raw.routes {
        push("route", &raw.name, parse_route(raw)?)?;
    }
    for domain in &raw.evacuated {
        let entry = note::Entry::Evacuation(parse_name(domain)?);
        push("evacuation", domain, entry)?;
    }
    Ok(())
}

fn push_withdrawals(raw: &RawWithdrawn, changes: &mut Vec<note::Change>) -> LocatedResult<()> {
    let mut push = |what, line| changes.push(note::Change::Withdraw(what, line));
    for key in &raw.keys {
        let what = note::Withdrawal::Key(parse_name(&key.customer)?, parse_name(&key.key)?);
        push(what, key.key.referenced.line());
    }
    type Wrap = fn(name::Name) -> note::Withdrawal;
    let lists: [(&Vec<Span<String>>, Wrap); 5] = [
        (&raw.routes, note::Withdrawal::Route),
        (&raw.customers, note::Withdrawal::Customer),
        (&raw.groups, note::Withdrawal::Group),
        (&raw.instances, note::Withdrawal::Instance),
        (&raw.evacuated, note::Withdrawal::Evacuation),
    ];
    for (list, wrap) in lists {
        for name in list {
            push(wrap(parse_name(name)?), name.referenced.line());
        }
    }
    Ok(())
}

impl TryFrom<RawNote> for note::Note {
    type Error = (u64, failure::Problem);

    fn try_from(raw: RawNote) -> Result<Self, Self::Error> {
        let mut changes = Vec::new();
        push_entries(&raw.added, note::Change::Add, &mut changes)?;
        push_entries(&raw.changed, note::Change::Replace, &mut changes)?;
        push_withdrawals(&raw.withdrawn, &mut changes)?;
        Ok(Self {
            id: parse_name(&raw.note)?,
            changes,
        })
    }
}
