//! Durations as the platform writes them: a number with its unit, such as `1500ms` or `2.5s`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, de::Error as _};

/// Longest duration that is accepted; a longer one is treated as a mistake.
const MAX_SECONDS: f64 = 1e6;

/// Parses a duration; returns `None` if the unit is missing or unknown, or the value out of range.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    let (number, unit_s) = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
        (Some(number), _) => (number, 0.001),
        (None, Some(number)) => (number, 1.0),
        (None, None) => return None,
    };
    let seconds = number.trim().parse::<f64>().ok()? * unit_s;
    (0.0..=MAX_SECONDS).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
}

/// Deserializes a field that holds a duration.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_duration(&text)
        .ok_or_else(|| D::Error::custom(format!("{text:?} is no time like 1500ms")))
}

/// Deserializes a field that may hold a duration.
pub fn deserialize_option<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Duration>, D::Error> {
    match Option::<String>::deserialize(deserializer)? {
        None => Ok(None),
        Some(text) => parse_duration(&text)
            .map(Some)
            .ok_or_else(|| D::Error::custom(format!("{text:?} is no time like 1500ms"))),
    }
}
