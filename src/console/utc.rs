//! Conversion between Unix time and the UTC text of HTML's `datetime-local` inputs, used for rollout schedules.

const DAY_MS: u64 = 86_400_000;

/// Start of the year 10000, which a year of four digits cannot express.
const YEAR_10000_MS: u64 = 253_402_300_800_000;

/// Formats milliseconds since the Unix epoch, leaving out a fraction of zero.
///
/// Times beyond the year 9999 are shown as plain milliseconds, which [`parse`] reads too.
pub(super) fn format(ms: u64) -> String {
    if ms >= YEAR_10000_MS {
        return ms.to_string();
    }
    let (year, month, day) = date_from_days(ms / DAY_MS);
    let rest = ms % DAY_MS;
    let (hour, minute, second) = (rest / 3_600_000, rest / 60_000 % 60, rest / 1_000 % 60);
    let text = format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}");
    match rest % 1_000 {
        0 => text,
        fraction => format!("{text}.{fraction:03}"),
    }
}

/// Parses the output of [`format`]. Seconds, their fraction and a final `Z` are optional.
pub(super) fn parse(text: &str) -> Option<u64> {
    if text.len() > 4 && text.bytes().all(|b| b.is_ascii_digit()) {
        return text.parse().ok();
    }
    let text = text.strip_suffix('Z').unwrap_or(text);
    let (day, clock) = text.split_once(['T', ' '])?;
    let mut parts = day.split('-');
    let (year, month, day) =
        (number(parts.next()?, 4)?, number(parts.next()?, 2)?, number(parts.next()?, 2)?);
    let (clock, fraction) = clock.split_once('.').unwrap_or((clock, "0"));
    let mut units = clock.split(':');
    let (hour, minute) = (number(units.next()?, 2)?, number(units.next()?, 2)?);
    let second = units.next().map_or(Some(0), |text| number(text, 2))?;
    let has_extra = parts.next().is_some() || units.next().is_some();
    let is_valid_fraction = fraction.len() <= 3 && fraction.bytes().all(|b| b.is_ascii_digit());
    if has_extra || !is_valid_fraction || hour > 23 || minute > 59 || second > 59 {
        return None;
    }
    let fraction: u64 = format!("{fraction:0<3}").parse().ok()?;
    let days = days_from_date(year, month, day)
        .filter(|days| date_from_days(*days) == (year, month, day))?;
    Some(days * DAY_MS + hour * 3_600_000 + minute * 60_000 + second * 1_000 + fraction)
}

fn number(text: &str, digits: usize) -> Option<u64> {
    let is_number = text.len() == digits && text.bytes().all(|b| b.is_ascii_digit());
    if is_number { text.parse().ok() } else { None }
}

/// Returns the number of days from 1970-01-01 to a date. Years start in March, so that a leap day comes last.
fn days_from_date(year: u64, month: u64, day: u64) -> Option<u64> {
    if !(1..=12).contains(&month) || day == 0 {
        return None;
    }
    let year = if month <= 2 { year.checked_sub(1)? } else { year };
    let from_march = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    // 719,468 days lie between 0000-03-01 and 1970-01-01.
    (year * 365 + year / 4 - year / 100 + year / 400 + from_march).checked_sub(719_468)
}

/// Returns the year, month and day of the date that is `days` days after 1970-01-01.
fn date_from_days(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    // 400 years have 146,097 days.
    let (era, rest) = (days / 146_097, days % 146_097);
    let year = (rest - rest / 1_460 + rest / 36_524 - rest / 146_096) / 365;
    let rest = rest - (365 * year + year / 4 - year / 100);
    let month = (5 * rest + 2) / 153;
    let day = rest - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    (era * 400 + year + u64::from(month <= 2), month, day)
}

#[cfg(test)]
mod tests;
