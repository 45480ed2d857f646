//! What an instance must have applied before it runs a read.
//!
//! If the store arbitrates, the instance itself checks that it has applied a floor. The
//! floor is determined when the request is sent, because a request may wait long for its
//! connection after it was granted. Reads at the leader carry a floor as well: an instance
//! that does not lead any more lacks the newest known position.

use std::time as std_time;

use config::Name;

use crate::{daemon, event, group, homes, position, read_policy, sessions, time};

/// Time that a request may take to the instance. A position of the leader must still be
/// recent enough then.
const TRANSIT_MARGIN: std_time::Duration = std_time::Duration::from_millis(50);

/// What an instance must have applied before it runs a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// The reported status of the instance decides.
    Status,
    /// The read may see any state.
    Any,
    /// The instance itself checks that it has applied this floor.
    Applied(position::Position),
    /// Only the primary may serve the read.
    Primary,
}

impl Requirement {
    /// Requirement of a read that is sent at `now`.
    pub fn of(group: &group::Group, session: &sessions::Session, now: time::Time) -> Self {
        let own = own_floor(group, session);
        match (session.reads, session.max_age) {
            (config::ReadConsistency::OwnOrAge, _) => Requirement::Status,
            (config::ReadConsistency::Latest, _) => Requirement::Primary,
            (config::ReadConsistency::OwnAndAge, None) => {
                own.map_or(Requirement::Any, Requirement::Applied)
            }
            (config::ReadConsistency::OwnAndAge, Some(age)) => {
                match group.sample_of_age(age, now + TRANSIT_MARGIN) {
                    Some(sample) => {
                        let floor = group.cap_floor(sample.position);
                        Requirement::Applied(own.map_or(floor, |own| own.max(floor)))
                    }
                    None => Requirement::Primary,
                }
            }
        }
    }

    /// Whether the candidate meets the requirement, as far as this VM knows.
    pub fn is_met(
        self,
        group: &group::Group,
        session: &sessions::Session,
        candidate: &read_policy::Candidate,
        now: time::Time,
    ) -> bool {
        if candidate.primary {
            let floor = group.newest_floor();
            return floor.is_none_or(|floor| !group.lacks_floor(&candidate.name, floor, now));
        }
        match self {
            Requirement::Status => status_satisfies(group, session, candidate, now),
            Requirement::Any => true,
            Requirement::Applied(floor) => !group.lacks_floor(&candidate.name, floor, now),
            Requirement::Primary => false,
        }
    }
}

/// Floor from the session's own commits in the group.
fn own_floor(group: &group::Group, session: &sessions::Session) -> Option<position::Position> {
    let floor = session.floor(group.name())?;
    Some(group.cap_floor(floor))
}

/// Whether the replica's reported status shows what the session must see.
fn status_satisfies(
    group: &group::Group,
    session: &sessions::Session,
    candidate: &read_policy::Candidate,
    now: time::Time,
) -> bool {
    if let Some(age) = session.max_age {
        return group
            .data_age(&candidate.name, now)
            .is_some_and(|a| a <= age);
    }
    let floor = session
        .floor(group.name())
        .or_else(|| group.arrival_floor(session.opened_at));
    floor.is_some_and(|floor| group.has_reached(&candidate.name, floor))
}

impl daemon::Daemon {
    /// Condition under which a granted request may be sent to the instance at `now`; none
    /// if the instance may no longer run it.
    pub fn precondition(
        &self,
        session: event::SessionId,
        instance: &Name,
        access: event::Access,
        now: time::Time,
    ) -> Option<event::Precondition> {
        let session = self.sessions.open.get(&session)?;
        let name = self.instance_groups.get(instance)?;
        let group = &self.groups.get(name)?.group;
        if !homes::allow(self.homes_of(session), instance) {
            return None;
        }
        let confirmation = group.confirmation(now);
        let is_leader = confirmation.is_some_and(|confirmed| confirmed.primary == *instance);
        if group.instances.get(instance)?.is_evacuated(is_leader, now) {
            return None;
        }
        let sample = session
            .max_age
            .and_then(|age| group.sample_of_age(age, now + TRANSIT_MARGIN));
        let own = own_floor(group, session);
        let floor = match Requirement::of(group, session, now) {
            _ if access == event::Access::Write && !is_leader => return None,
            _ if access == event::Access::Write => None,
            _ if is_leader => group.newest_floor().max(own),
            Requirement::Applied(floor) => Some(floor),
            Requirement::Any | Requirement::Status => None,
            Requirement::Primary => return None,
        };
        Some(event::Precondition {
            floor,
            leader: group.primary().cloned(),
            sample: sample.cloned(),
        })
    }
}
