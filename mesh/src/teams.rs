//! Teams and their keys: whose request it is, and what the target learns of that.
//!
//! Keys are held and compared as digests. So no key can get into a log line, and the time of a look-up says nothing about
//! how much of a key is right.

use std::{collections::HashMap, fmt};

use compact_str::CompactString;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use serde::{Deserialize, Serialize};

use crate::config::Config;

/// The scheme of the `Authorization` field that carries a key; letter case has no meaning.
const KEY_SCHEME: &[u8] = b"Token";

/// The digest of a key.
#[derive(Copy, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(*blake3::hash(key).as_bytes())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// A team of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// The name, which the target gets in a header.
    pub name: CompactString,
    /// The keys that identify the team.
    pub keys: Vec<KeyDigest>,
    /// The priority of its requests, which replaces that of the route; 0 is the highest.
    pub priority: Option<u8>,
}

/// Returns whether a header can carry the name of a team unchanged.
pub fn is_team_name(name: &str) -> bool {
    !name.is_empty() && name.trim() == name && HeaderValue::from_bytes(name.as_bytes()).is_ok()
}

/// The team that a key identifies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownTeam {
    /// The name.
    pub name: CompactString,
    /// The priority that replaces that of the route, if there is one.
    pub priority: Option<u8>,
}

/// The teams by their keys.
#[derive(Debug)]
pub(crate) struct TeamIndex {
    teams: Vec<KnownTeam>,
    indexes: HashMap<KeyDigest, usize>,
}

impl TeamIndex {
    pub(crate) fn new(teams: &[Team]) -> TeamIndex {
        let known = |team: &Team| KnownTeam { name: team.name.clone(), priority: team.priority };
        let keys = |(index, team): (usize, &Team)| {
            team.keys.iter().map(move |key| (*key, index)).collect::<Vec<_>>()
        };
        TeamIndex {
            teams: teams.iter().map(known).collect(),
            indexes: teams.iter().enumerate().flat_map(keys).collect(),
        }
    }

    pub(crate) fn find(&self, key: &KeyDigest) -> Option<&KnownTeam> {
        self.indexes.get(key).and_then(|&index| self.teams.get(index))
    }
}

/// Who sends a request, decided by the configuration in force on its arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// The team, if the request carries the key of one.
    pub team: Option<KnownTeam>,
    /// Whether the request may carry a key, which the target must not see.
    pub hides_key: bool,
}

impl Identity {
    /// Returns the priority of the team, if it has one of its own.
    pub(crate) fn priority(&self) -> Option<u8> {
        self.team.as_ref().and_then(|team| team.priority)
    }

    /// Replaces the key and whatever the caller stated of its team by the name of the team.
    pub(crate) fn apply(&self, headers: &mut HeaderMap, name: &HeaderName) {
        headers.remove(name);
        if self.hides_key {
            remove_keys(headers);
        }
        let value = self.team.as_ref().map(|team| HeaderValue::from_bytes(team.name.as_bytes()));
        if let Some(Ok(value)) = value {
            headers.insert(name.clone(), value);
        }
    }
}

/// Returns the digest of the key that a request carries. Several different keys count as none, since they do not say
/// whose request it is.
pub(crate) fn read_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let values = headers.get_all(header::AUTHORIZATION).iter();
    let mut keys = values.filter_map(|value| key_of(value.as_bytes())).map(KeyDigest::of);
    let first = keys.next()?;
    keys.all(|key| key == first).then_some(first)
}

/// Removes the `Authorization` fields that carry a key, and leaves those of other schemes.
pub(crate) fn remove_keys(headers: &mut HeaderMap) {
    let header::Entry::Occupied(fields) = headers.entry(header::AUTHORIZATION) else { return };
    let is_other = |value: &HeaderValue| key_of(value.as_bytes()).is_none();
    let others: Vec<HeaderValue> = fields.iter().filter(|value| is_other(value)).cloned().collect();
    fields.remove_entry_mult();
    for value in others {
        headers.append(header::AUTHORIZATION, value);
    }
}

/// Returns the key in the value of an `Authorization` field, or `None` if it has another scheme.
fn key_of(value: &[u8]) -> Option<&[u8]> {
    let value = value.trim_ascii();
    let end = value.iter().position(u8::is_ascii_whitespace).unwrap_or(value.len());
    let (scheme, key) = value.split_at(end);
    scheme.eq_ignore_ascii_case(KEY_SCHEME).then(|| key.trim_ascii())
}

/// Returns the team of a request at the target's node, as its entry node stated it.
pub(crate) fn read_team(headers: &HeaderMap, name: &HeaderName) -> Option<CompactString> {
    CompactString::from_utf8(headers.get(name)?.as_bytes()).ok()
}

/// What a configuration says of teams, as nodes exchange it.
///
/// It follows what earlier builds read of a pull. A configuration without it comes from a node of an earlier build, which
/// does not know whether there are teams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Access {
    pub(crate) teams: Option<Vec<Team>>,
    /// The indexes of the public routes.
    public: Vec<u32>,
}

impl Access {
    pub(crate) fn of(config: &Config) -> Access {
        let routes = (0u32..).zip(&config.routes);
        let public = routes.filter(|(_, route)| route.is_public).map(|(index, _)| index).collect();
        Access { teams: config.teams.clone(), public }
    }

    /// Returns the approximate size in bytes.
    pub(crate) fn size(&self) -> usize {
        let teams = self.teams.iter().flatten();
        let team = |team: &Team| team.name.len() + team.keys.len() * size_of::<KeyDigest>();
        teams.map(team).sum::<usize>() + self.public.len() * size_of::<u32>()
    }

    /// Adds what was exchanged apart from the configuration to it.
    pub(crate) fn restore(self, config: &mut Config) {
        for index in self.public {
            if let Some(route) = config.routes.get_mut(index as usize) {
                route.is_public = true;
            }
        }
        config.teams = self.teams;
    }
}

#[cfg(test)]
mod tests;
