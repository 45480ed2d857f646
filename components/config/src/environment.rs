//! Environment variables that replace values of the settings file, for platforms that
//! state some values only on some machines. A variable that is empty or missing changes
//! nothing.

use std::time;

use crate::{document, failure, settings};

/// Memory of the process, in MiB.
pub const MEMORY_VARIABLE: &str = "EBONYGAUGE_MEMORY_MIB";
/// Bound on the time in which a failure domain is evacuated, in ms.
pub const EVACUATION_VARIABLE: &str = "EBONYGAUGE_EVACUATION_MS";

/// Replaces the values that the variables state.
pub fn apply(
    settings: &mut settings::Settings,
    variable: &dyn Fn(&str) -> Option<String>,
) -> Result<(), failure::Failure> {
    if let Some(mib) = parse(variable, MEMORY_VARIABLE, 1 << 20)? {
        settings.intake.memory_bytes = usize::try_from(mib << 20).unwrap_or(usize::MAX);
    }
    if let Some(ms) = parse(variable, EVACUATION_VARIABLE, 1 << 32)? {
        let bound = time::Duration::from_millis(ms);
        settings.timing.evacuation_timeout = document::evacuation_timeout(bound);
    }
    Ok(())
}

fn parse(
    variable: &dyn Fn(&str) -> Option<String>,
    name: &'static str,
    most: u64,
) -> Result<Option<u64>, failure::Failure> {
    let Some(text) = variable(name).filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    // A fraction is cut off, but does not become 0.
    let number = text.parse().ok().or_else(|| parse_fraction(&text));
    let number = number.filter(|number| (1..=most).contains(number));
    let failure = || failure::Failure {
        file: "environment".into(),
        line: 0,
        problem: failure::Problem::OutOfRange(name, 1, most),
    };
    number.map(Some).ok_or_else(failure)
}

/// Whole part of a number that is not negative, 1 at least unless the number is 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn parse_fraction(text: &str) -> Option<u64> {
    let number: f64 = text.parse().ok()?;
    let is_valid = number.is_finite() && number >= 0.0;
    is_valid.then_some(if number > 0.0 {
        number.max(1.0) as u64
    } else {
        0
    })
}
