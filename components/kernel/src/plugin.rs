//! Policies of the kernel, which register themselves by name.
//!
//! Where several policies can make a decision, each one is a trait object that a
//! registered constructor builds. The settings name the policy to use.

use config::Name;

use crate::{admission, group, read_policy, sharing};

/// Builds a queue of waiting requests.
pub struct Admission {
    /// Name in the settings.
    pub name: &'static str,
    /// Constructor; its argument is the largest number of requests.
    pub build: fn(usize) -> Box<dyn admission::Queue>,
}

/// Builds the policy that selects the instance for a read.
pub struct Reads {
    /// Name in the settings.
    pub name: &'static str,
    /// Constructor.
    pub build: fn() -> Box<dyn read_policy::Policy>,
}

/// Builds the policy that moves budget shares between VMs.
pub struct Sharing {
    /// Name in the settings.
    pub name: &'static str,
    /// Constructor.
    pub build: fn() -> Box<dyn sharing::SharePolicy>,
}

/// Registers an arbiter, which decides which instance of a group is the primary.
pub struct Arbiter {
    /// Name in the settings.
    pub name: &'static str,
    /// Arbiter.
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

fn unknown_policy(name: &Name, names: impl Iterator<Item = &'static str>) -> config::Problem {
    let mut names: Vec<_> = names.collect();
    names.sort_unstable();
    config::Problem::UnknownPolicy(name.to_string(), names.join(", "))
}

/// Looks up an admission policy.
pub fn admission(name: &Name) -> Result<&'static Admission, config::Problem> {
    let mut all = inventory::iter::<Admission>.into_iter();
    all.find(|plugin| plugin.name == &***name).ok_or_else(|| {
        unknown_policy(
            name,
            inventory::iter::<Admission>.into_iter().map(|p| p.name),
        )
    })
}

/// Looks up a read policy.
pub fn reads(name: &Name) -> Result<&'static Reads, config::Problem> {
    let mut all = inventory::iter::<Reads>.into_iter();
    all.find(|plugin| plugin.name == &***name)
        .ok_or_else(|| unknown_policy(name, inventory::iter::<Reads>.into_iter().map(|p| p.name)))
}

/// Looks up a sharing policy.
pub fn sharing(name: &Name) -> Result<&'static Sharing, config::Problem> {
    let mut all = inventory::iter::<Sharing>.into_iter();
    all.find(|plugin| plugin.name == &***name)
        .ok_or_else(|| unknown_policy(name, inventory::iter::<Sharing>.into_iter().map(|p| p.name)))
}

/// Looks up an arbiter.
pub fn arbiter(name: &Name) -> Result<group::Arbiter, config::Problem> {
    let mut all = inventory::iter::<Arbiter>.into_iter();
    all.find(|plugin| plugin.name == &***name)
        .map(|plugin| plugin.arbiter)
        .ok_or_else(|| unknown_policy(name, inventory::iter::<Arbiter>.into_iter().map(|p| p.name)))
}

/// Checks that all policies in the settings are registered.
pub fn check(policy: &config::Policy) -> Result<(), config::Problem> {
    admission(&policy.admission)?;
    reads(&policy.reads)?;
    sharing(&policy.budget)?;
    arbiter(&policy.arbiter)?;
    Ok(())
}
