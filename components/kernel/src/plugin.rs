//! Plug-ins of the kernel, which register themselves by name.
//!
//! A decision that can be made in more than one way is a trait object built by
//! a registered plug-in; the settings name the one to use.

use config::Name;

use crate::{admission, group, read_policy, sharing};

/// Builds a queue of waiting requests with a bound.
pub struct Admission {
    /// Name in the settings.
    pub name: &'static str,
    /// Constructor; the bound is in requests.
    pub build: fn(usize) -> Box<dyn admission::Queue>,
}

/// Builds a choice of the instance for a read.
pub struct Reads {
    /// Name in the settings.
    pub name: &'static str,
    /// Constructor.
    pub build: fn() -> Box<dyn read_policy::Policy>,
}

/// Builds a movement of shares between VMs.
pub struct Sharing {
    /// Name in the settings.
    pub name: &'static str,
    /// Constructor.
    pub build: fn() -> Box<dyn sharing::SharePolicy>,
}

/// Names who says which instance of a group leads.
pub struct Arbiter {
    /// Name in the settings.
    pub name: &'static str,
    /// Who it is.
    pub arbiter: group::Arbiter,
}

inventory::submit! {
    Arbiter { name: "instances", arbiter: group::Arbiter::Instances }
}

inventory::submit! {
    Arbiter { name: "store", arbiter: group::Arbiter::Store }
}

inventory::collect!(Admission);
inventory::collect!(Arbiter);
inventory::collect!(Reads);
inventory::collect!(Sharing);

fn unknown(name: &Name, names: impl Iterator<Item = &'static str>) -> config::Problem {
    let mut names: Vec<_> = names.collect();
    names.sort_unstable();
    config::Problem::UnknownPolicy(name.to_string(), names.join(", "))
}

/// Admission plug-in of that name.
pub fn admission(name: &Name) -> Result<&'static Admission, config::Problem> {
    let mut all = inventory::iter::<Admission>.into_iter();
    all.find(|plugin| plugin.name == &***name).ok_or_else(|| {
        unknown(
            name,
            inventory::iter::<Admission>.into_iter().map(|p| p.name),
        )
    })
}

/// Read plug-in of that name.
pub fn reads(name: &Name) -> Result<&'static Reads, config::Problem> {
    let mut all = inventory::iter::<Reads>.into_iter();
    all.find(|plugin| plugin.name == &***name)
        .ok_or_else(|| unknown(name, inventory::iter::<Reads>.into_iter().map(|p| p.name)))
}

/// Sharing plug-in of that name.
pub fn sharing(name: &Name) -> Result<&'static Sharing, config::Problem> {
    let mut all = inventory::iter::<Sharing>.into_iter();
    all.find(|plugin| plugin.name == &***name)
        .ok_or_else(|| unknown(name, inventory::iter::<Sharing>.into_iter().map(|p| p.name)))
}

/// Arbiter of that name.
pub fn arbiter(name: &Name) -> Result<group::Arbiter, config::Problem> {
    let mut all = inventory::iter::<Arbiter>.into_iter();
    all.find(|plugin| plugin.name == &***name)
        .map(|plugin| plugin.arbiter)
        .ok_or_else(|| unknown(name, inventory::iter::<Arbiter>.into_iter().map(|p| p.name)))
}

/// Checks that every policy of the settings is registered.
pub fn check(policy: &config::Policy) -> Result<(), config::Problem> {
    admission(&policy.admission)?;
    reads(&policy.reads)?;
    sharing(&policy.budget)?;
    arbiter(&policy.arbiter)?;
    Ok(())
}
