//! Storage of the document in the platform: content-addressed parts and one index.
//!
//! A service belongs to one of [`PART_COUNT`] parts by a hash of its name. A compare-and-swap of the index
//! activates all changed parts atomically; `docs/design.md` section 5.2 gives the reasons.

mod collect;
mod commit;
mod load;
mod measure;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use serde::{
    Deserialize, Serialize,
    de::{DeserializeOwned, IgnoredAny},
};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::{
    document::{
        Budgets, Centre, Document, Service,
        validate::{Problem, validate, validate_count, validate_services},
    },
    platform::{MAX_VALUE_BYTES, PlatformError},
};

pub use self::{
    collect::{COMMITS_PER_COLLECTION, MAX_COLLECTED_PARTS, collect},
    commit::{CommitError, Committed, commit},
    load::{load, load_past, read_index},
    measure::{StoreCost, measure},
};

pub(crate) use self::measure::typical;

/// The number of parts. At 4,700 services of about 290 bytes one part has about 5 KB, and the index 4 KB.
pub const PART_COUNT: usize = 256;

/// The key of the index.
pub const INDEX_KEY: &str = "config/index";

/// The prefix of the keys of parts.
pub const PART_PREFIX: &str = "config/part/";

/// The prefix of the keys of former indexes.
pub const HISTORY_PREFIX: &str = "config/history/";

/// The number of former indexes kept. They let a commit that lost a race report what changed. At 53,000 changes
/// a day they cover 52 s on average, longer than an `apply` takes.
pub const KEPT_INDEXES: u64 = 32;

/// The longest submission identity in bytes.
pub const MAX_SUBMISSION_BYTES: usize = 64;

/// The first byte of an encoded index.
const INDEX_FORMAT: u8 = 1;

/// The name of a part: the first 128 bits of the BLAKE3 hash of its content.
///
/// Only operators write parts, so accidental collisions alone matter, and the shorter name halves the index.
#[derive(Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Returns the digest of a part's content.
    pub fn of(content: &[u8]) -> Digest {
        let mut digest = [0; 16];
        digest.copy_from_slice(&blake3::hash(content).as_bytes()[..16]);
        Digest(digest)
    }

    /// Returns the key of the part.
    pub fn key(self) -> CompactString {
        format_compact!("{PART_PREFIX}{self}")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The index of one revision: the digests of all its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// The revision of the document, which rises by one with each commit; the first is 1.
    pub revision: u64,
    /// The identity of the submission that became this revision.
    pub submission: CompactString,
    /// The parts with the services, in the order of their numbers.
    pub parts: Vec<Digest>,
    /// The part with the data centres and the budgets.
    pub globals: Digest,
}

impl Index {
    /// Returns the digests of all parts, each once.
    pub fn digests(&self) -> BTreeSet<Digest> {
        self.parts.iter().copied().chain([self.globals]).collect()
    }

    /// Encodes the index for the platform.
    pub fn encode(&self) -> Bytes {
        let encoded = postcard::to_extend(self, vec![INDEX_FORMAT]);
        encoded.expect("an index has no type that postcard refuses").into()
    }

    /// Decodes an index.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no index of a known format.
    pub fn decode(bytes: &[u8]) -> Result<Index, StoreError> {
        let (format, body) = bytes.split_first().context(IndexSnafu)?;
        ensure!(*format == INDEX_FORMAT, IndexSnafu);
        let index: Index = postcard::from_bytes(body).ok().context(IndexSnafu)?;
        ensure!(index.parts.len() == PART_COUNT, IndexSnafu);
        // `postcard` accepts trailing bytes and overlong integers, so require the canonical encoding.
        ensure!(index.encode() == bytes, IndexSnafu);
        Ok(index)
    }
}

/// The stored document is missing or damaged.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The platform failed.
    #[snafu(display("{source}"))]
    Platform {
        /// The failure.
        source: PlatformError,
    },
    /// The index has an unknown form.
    #[snafu(display("the configuration index has an unknown form"))]
    Index,
    /// A part that the index names is not in the platform.
    #[snafu(display("part {digest} of the configuration is missing"))]
    Missing {
        /// The name of the part.
        digest: Digest,
    },
    /// The content of a part does not match its name.
    #[snafu(display("part {digest} of the configuration is damaged"))]
    Damaged {
        /// The name of the part.
        digest: Digest,
    },
    /// A part holds a service that belongs to another one.
    #[snafu(display("part {digest} of the configuration holds service {service} of another part"))]
    Misplaced {
        /// The name of the part.
        digest: Digest,
        /// The name of the service.
        service: CompactString,
    },
    /// A part has fields that this program does not know, or lacks some.
    #[snafu(display("part {digest} of the configuration has an unknown form: {source}"))]
    Form {
        /// The name of the part.
        digest: Digest,
        /// The failure.
        source: serde_json::Error,
    },
    /// The stored document breaks the rules of this program.
    #[snafu(display("the stored document has {} problems, the first: {}", problems.len(), problems[0]))]
    Invalid {
        /// The problems, at least one.
        problems: Vec<Problem>,
    },
    /// The index changed during each attempt to load its parts.
    #[snafu(display("the configuration changes faster than it can be loaded"))]
    Unsettled,
    /// A part would exceed the limit of the platform.
    #[snafu(display("part {part} has {size} bytes, the limit is {MAX_VALUE_BYTES}"))]
    PartTooLarge {
        /// The number of the part; [`PART_COUNT`] for the data centres and budgets.
        part: usize,
        /// Its size in bytes.
        size: usize,
    },
}

/// A document as the parts that are stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parts {
    /// The names of the parts with the services, in the order of their numbers.
    pub names: Vec<Digest>,
    /// The name of the part with the data centres and the budgets.
    pub globals: Digest,
    /// The content of each part.
    pub content: BTreeMap<Digest, Bytes>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Globals {
    centres: BTreeMap<CompactString, Centre>,
    budgets: Budgets,
}

/// Splits a document into parts. Equal documents have equal parts.
///
/// # Errors
///
/// Fails if a part exceeds the platform's limit.
pub fn split(document: &Document) -> Result<Parts, StoreError> {
    let mut services: Vec<BTreeMap<&CompactString, &Service>> = vec![BTreeMap::new(); PART_COUNT];
    for (name, service) in &document.services {
        services[part_of(name)].insert(name, service);
    }
    let globals = Globals { centres: document.centres.clone(), budgets: document.budgets.clone() };
    let mut content = BTreeMap::new();
    let mut add = |part, json: Vec<u8>| {
        ensure!(json.len() <= MAX_VALUE_BYTES, PartTooLargeSnafu { part, size: json.len() });
        let digest = Digest::of(&json);
        content.insert(digest, Bytes::from(json));
        Ok(digest)
    };
    let names = services
        .iter()
        .enumerate()
        .map(|(part, services)| add(part, to_json(services)))
        .collect::<Result<Vec<Digest>, StoreError>>()?;
    let globals = add(PART_COUNT, to_json(&globals))?;
    Ok(Parts { names, globals, content })
}

/// Builds the document of an index from its parts and validates it. An invalid document is rejected as a whole.
///
/// # Errors
///
/// Fails if a part is missing, damaged or of unknown form, or if the document breaks the rules.
pub fn assemble(index: &Index, content: &BTreeMap<Digest, Bytes>) -> Result<Document, StoreError> {
    let digest = index.globals;
    let globals: Globals =
        serde_json::from_slice(part(content, digest)?).context(FormSnafu { digest })?;
    let mut document =
        Document { centres: globals.centres, services: BTreeMap::new(), budgets: globals.budgets };
    for (number, &digest) in index.parts.iter().enumerate() {
        let services = services(content, digest)?;
        check_placement(&services, number, digest)?;
        document.services.extend(services);
    }
    let problems = validate(&document);
    ensure!(problems.is_empty(), InvalidSnafu { problems });
    Ok(document)
}

/// Updates the document of one index to another index from the parts that differ, and validates those.
///
/// Assembling the whole document takes milliseconds, during which a node makes no other decision. The result always
/// equals that of [`assemble`].
///
/// # Errors
///
/// Fails as [`assemble`] does.
pub(crate) fn update(
    document: &Document,
    from: &Index,
    old_content: &BTreeMap<Digest, Bytes>,
    to: &Index,
    content: &BTreeMap<Digest, Bytes>,
) -> Result<Document, StoreError> {
    if from.globals != to.globals {
        return assemble(to, content);
    }
    let mut updated = document.clone();
    let differing = from.parts.iter().zip(&to.parts).enumerate().filter(|(_, (a, b))| a != b);
    for (number, (&old, &new)) in differing {
        let removed: BTreeMap<CompactString, IgnoredAny> = services(old_content, old)?;
        let added: BTreeMap<CompactString, Service> = services(content, new)?;
        check_placement(&added, number, new)?;
        let problems = validate_services(&added);
        ensure!(problems.is_empty(), InvalidSnafu { problems });
        for name in removed.keys() {
            updated.services.remove(name);
        }
        updated.services.extend(added);
    }
    let problems = validate_count(&updated);
    ensure!(problems.is_empty(), InvalidSnafu { problems });
    Ok(updated)
}

/// Parses a part with services; with [`IgnoredAny`] as `T`, only their names.
fn services<T: DeserializeOwned>(
    content: &BTreeMap<Digest, Bytes>,
    digest: Digest,
) -> Result<BTreeMap<CompactString, T>, StoreError> {
    serde_json::from_slice(part(content, digest)?).context(FormSnafu { digest })
}

/// Checks that each service of a part belongs there. Otherwise another part could hold the same service with
/// different content.
fn check_placement(
    services: &BTreeMap<CompactString, Service>,
    number: usize,
    digest: Digest,
) -> Result<(), StoreError> {
    let misplaced = services.keys().find(|name| part_of(name) != number);
    misplaced.map_or(Ok(()), |service| MisplacedSnafu { digest, service: service.clone() }.fail())
}

fn part(content: &BTreeMap<Digest, Bytes>, digest: Digest) -> Result<&Bytes, StoreError> {
    let bytes = content.get(&digest).context(MissingSnafu { digest })?;
    ensure!(Digest::of(bytes) == digest, DamagedSnafu { digest });
    Ok(bytes)
}

/// Returns the number of the part that holds a service.
pub fn part_of(service: &str) -> usize {
    usize::from(blake3::hash(service.as_bytes()).as_bytes()[0])
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("the document's types have string keys only")
}

#[cfg(test)]
mod tests;
