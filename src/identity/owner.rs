//! The table of the identities that a node owns. Only the owner starts attempts of its identities.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use crate::{
    identity::{
        Answer, AttemptResult, AttemptTag, BeginDecision, FIRST_ANONYMOUS, Fingerprint,
        FinishedIdentity, FinishedOutcome, Handover, IdempotencyKey, Identity, ImportError,
        MAX_ANSWER_BYTES, MAX_CLAIMED_KEYS, MAX_ENTRIES, MAX_HANDOVER_BYTES,
        MAX_STORED_ANSWER_BYTES, OUTCOME_RETENTION, Settled, Stamp, handover::Imports,
    },
    keys::MemberId,
    time::Time,
};

/// The maximum number of expired records that one call removes. A call adds at most one record, so the table still
/// shrinks.
const SWEEP_BATCH: usize = 16;

/// The estimated memory of an entry without its answer, in bytes: its share of a B-tree whose nodes are two thirds
/// full, and its place in the queue of ended entries.
pub(super) const ENTRY_BYTES: usize =
    (size_of::<u64>() + size_of::<Entry>()) * 3 / 2 + size_of::<(Time, u64)>();

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Entry {
    fingerprint: Fingerprint,
    attempts: u32,
    state: State,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// A request holds the identity, and no attempt is running.
    Held,
    /// The attempt with this sequence number is running.
    Running { sequence: u64 },
    /// The request ran. The answer is none if it is not stored.
    Done(Option<Arc<Answer>>),
    /// It is unknown whether the attempt with this sequence number ran.
    Lost { sequence: u64 },
}

/// The identities that one member issued, with the outcomes of their requests.
///
/// An issued identity has no entry until it begins, so issuing needs no memory. A counter without an entry has
/// not run if it is not below the floor, because every evicted counter is below the floor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    member: MemberId,
    next_counter: u64,
    next_anonymous: u64,
    /// Counters below this one may have been evicted.
    pub(super) floor: u64,
    entries: BTreeMap<u64, Entry>,
    /// The counters with a final outcome, by the time of their end.
    ended: VecDeque<(Time, u64)>,
    /// The counters with a stored answer, the oldest first.
    answer_order: VecDeque<u64>,
    answer_bytes: usize,
    claimed_keys: BTreeMap<IdempotencyKey, u64>,
    key_order: VecDeque<(Time, IdempotencyKey)>,
    sequence_base: u64,
    last_sequence: u64,
    is_leaving: bool,
    imports: Imports,
}

impl Owner {
    /// Creates the table of a member that has just started.
    ///
    /// Sequence numbers start at `sequence_base`, the wall clock in microseconds at the start of the process.
    /// Safety does not depend on it. If it is far behind those of other members, a target's node that has received
    /// from more than [`MAX_SENDERS`](super::MAX_SENDERS) members answers "unknown" to this member.
    pub fn new(member: MemberId, sequence_base: u64) -> Owner {
        Owner {
            member,
            next_counter: 1,
            next_anonymous: FIRST_ANONYMOUS,
            floor: 0,
            entries: BTreeMap::new(),
            ended: VecDeque::new(),
            answer_order: VecDeque::new(),
            answer_bytes: 0,
            claimed_keys: BTreeMap::new(),
            key_order: VecDeque::new(),
            sequence_base,
            last_sequence: 0,
            is_leaving: false,
            imports: Imports::default(),
        }
    }

    /// Issues an identity, for a caller or as the unique value of a claim.
    pub fn issue(&mut self) -> Identity {
        let counter = self.next_counter;
        self.next_counter += 1;
        Identity { owner: self.member, counter }
    }

    /// Begins a request that came without an identity and assigns one to it.
    ///
    /// The entry is removed as soon as the request ends, because no caller can repeat it.
    pub fn begin_anonymous(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
    ) -> Result<Identity, BeginDecision> {
        self.sweep(now);
        if self.is_leaving {
            return Err(BeginDecision::Leaving);
        }
        if self.entries.len() >= MAX_ENTRIES {
            return Err(BeginDecision::Full);
        }
        let counter = self.next_anonymous;
        self.next_anonymous += 1;
        self.entries.insert(counter, Entry { fingerprint, attempts: 0, state: State::Held });
        Ok(Identity { owner: self.member, counter })
    }

    /// Decides on a received request with `identity`.
    pub fn begin(
        &mut self,
        now: Time,
        identity: Identity,
        fingerprint: Fingerprint,
    ) -> BeginDecision {
        self.sweep(now);
        if identity.owner != self.member {
            let imported = self.imports.find(identity, fingerprint);
            return imported.unwrap_or(BeginDecision::Foreign(identity.owner));
        }
        if identity.is_anonymous() {
            return BeginDecision::Unknown;
        }
        if let Some(entry) = self.entries.get(&identity.counter) {
            return entry.decide(fingerprint);
        }
        if identity.counter == 0 || identity.counter >= self.next_counter {
            return BeginDecision::NotIssued;
        }
        if identity.counter < self.floor {
            return BeginDecision::Unknown;
        }
        if self.is_leaving {
            return BeginDecision::Leaving;
        }
        if self.entries.len() >= MAX_ENTRIES {
            return BeginDecision::Full;
        }
        let entry = Entry { fingerprint, attempts: 0, state: State::Held };
        self.entries.insert(identity.counter, entry);
        BeginDecision::Start
    }

    /// Starts an attempt at `destination`.
    ///
    /// Returns none unless a request holds the identity and no attempt is running.
    pub fn start_attempt(
        &mut self,
        now: Time,
        identity: Identity,
        destination: MemberId,
    ) -> Option<AttemptTag> {
        let sequence = self.next_sequence(now);
        let entry = self.entry_mut(identity)?;
        if entry.state != State::Held {
            return None;
        }
        entry.attempts += 1;
        entry.state = State::Running { sequence };
        Some(AttemptTag { identity, attempt: entry.attempts, sequence, destination })
    }

    /// Creates the stamp of a message other than an attempt, such as a request forwarded to the owner of its
    /// identity.
    pub fn stamp(&mut self, now: Time, destination: MemberId) -> Stamp {
        Stamp { sender: self.member, sequence: self.next_sequence(now), destination }
    }

    /// Records the result of an attempt.
    ///
    /// A late answer replaces the result "lost" of the same attempt. Any other result is ignored if the attempt
    /// already has one or is not the latest.
    pub fn settle(&mut self, now: Time, tag: AttemptTag, result: AttemptResult) -> Settled {
        let Some(entry) = self.entry_mut(tag.identity) else {
            return Settled::Ignored;
        };
        let was_lost = entry.state == State::Lost { sequence: tag.sequence };
        if !was_lost && entry.state != (State::Running { sequence: tag.sequence }) {
            return Settled::Ignored;
        }
        match result {
            AttemptResult::NotRun if !was_lost => {
                entry.state = State::Held;
                return Settled::Held;
            }
            AttemptResult::Lost if !was_lost => {
                entry.state = State::Lost { sequence: tag.sequence };
            }
            AttemptResult::Answered(answer) => {
                entry.state = State::Done(None);
                if !tag.identity.is_anonymous() {
                    self.store_answer(tag.identity.counter, answer);
                }
            }
            AttemptResult::NotRun | AttemptResult::Lost => return Settled::Ignored,
        }
        if tag.identity.is_anonymous() {
            self.entries.remove(&tag.identity.counter);
        } else if !was_lost {
            self.ended.push_back((now, tag.identity.counter));
        }
        Settled::Ended
    }

    /// Releases an identity that a request holds, and returns whether it did.
    ///
    /// The request may be reported as not run only if this succeeds; it fails while an attempt is running. A later
    /// request with the identity may start it again.
    pub fn release(&mut self, identity: Identity) -> bool {
        let is_held = self.entry_mut(identity).is_some_and(|e| e.state == State::Held);
        if is_held {
            self.entries.remove(&identity.counter);
        }
        is_held
    }

    /// Caches that the platform holds a claim that binds `key` to `identity`.
    ///
    /// Repeats through this node then need no platform call. Safety does not depend on this cache, so beyond
    /// [`MAX_CLAIMED_KEYS`] the oldest key is evicted.
    pub fn record_claim(&mut self, now: Time, key: IdempotencyKey, identity: Identity) {
        if identity.owner != self.member || self.claimed_keys.contains_key(&key) {
            return;
        }
        if self.claimed_keys.len() >= MAX_CLAIMED_KEYS
            && let Some((_, oldest)) = self.key_order.pop_front()
        {
            self.claimed_keys.remove(&oldest);
        }
        self.claimed_keys.insert(key, identity.counter);
        self.key_order.push_back((now, key));
    }

    /// Returns the identity of this member that the cached claim binds `key` to.
    pub fn claimed_identity(&mut self, now: Time, key: IdempotencyKey) -> Option<Identity> {
        self.sweep(now);
        let counter = *self.claimed_keys.get(&key)?;
        Some(Identity { owner: self.member, counter })
    }

    /// Stops beginning identities, for a planned stop. Requests that hold one may still finish.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Exports the final outcomes, the newest first, up to [`MAX_HANDOVER_BYTES`].
    ///
    /// Returns none until [`Owner::leave`] is called.
    pub fn export(&self) -> Option<Handover> {
        if !self.is_leaving {
            return None;
        }
        let mut outcomes = Vec::new();
        let mut bytes = 0;
        for (_, counter) in self.ended.iter().rev() {
            let Some(entry) = self.entries.get(counter) else { continue };
            let outcome = match &entry.state {
                State::Held | State::Running { .. } => continue,
                State::Done(Some(answer)) => FinishedOutcome::Answered(Arc::clone(answer)),
                State::Done(None) => FinishedOutcome::AlreadyRun,
                State::Lost { .. } => FinishedOutcome::Unknown,
            };
            let finished =
                FinishedIdentity { counter: *counter, fingerprint: entry.fingerprint, outcome };
            bytes += finished.size();
            if bytes > MAX_HANDOVER_BYTES {
                break;
            }
            outcomes.push(finished);
        }
        Some(Handover { owner: self.member, outcomes })
    }

    /// Imports the outcomes of an owner that is leaving, to answer repeats of its identities.
    ///
    /// # Errors
    ///
    /// Fails if the outcomes exceed [`MAX_HANDOVER_BYTES`], an answer exceeds [`MAX_ANSWER_BYTES`], or the handover
    /// states this member as the owner.
    pub fn import(&mut self, now: Time, handover: Handover) -> Result<(), ImportError> {
        if handover.owner == self.member {
            return Err(ImportError::OwnIdentities);
        }
        self.imports.add(now, handover)
    }

    /// Returns whether this member has imported outcomes of `owner` and answers for its identities.
    pub fn is_successor_of(&self, owner: MemberId) -> bool {
        self.imports.contains(owner)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests that hold an identity or are running; a planned stop waits for zero.
    pub fn active_count(&self) -> usize {
        self.entries.len() - self.ended.len()
    }

    /// Removes expired records, a bounded number in each call.
    pub fn sweep(&mut self, now: Time) {
        for _ in 0..SWEEP_BATCH {
            match self.ended.front() {
                Some(&(end, counter)) if now.since(end) > OUTCOME_RETENTION => {
                    self.ended.pop_front();
                    self.drop_answer(counter);
                    self.entries.remove(&counter);
                    self.floor = self.floor.max(counter + 1);
                }
                _ => break,
            }
        }
        for _ in 0..SWEEP_BATCH {
            match self.key_order.front() {
                Some(&(time, key)) if now.since(time) > OUTCOME_RETENTION => {
                    self.key_order.pop_front();
                    self.claimed_keys.remove(&key);
                }
                _ => break,
            }
        }
        self.imports.sweep(now);
    }

    fn entry_mut(&mut self, identity: Identity) -> Option<&mut Entry> {
        if identity.owner != self.member {
            return None;
        }
        self.entries.get_mut(&identity.counter)
    }

    /// Returns the next sequence number.
    ///
    /// It follows the clock, so that the numbers of all members grow at the same rate and a target's node can
    /// evict a silent sender; see [`DuplicateFilter`](super::DuplicateFilter).
    fn next_sequence(&mut self, now: Time) -> u64 {
        self.last_sequence =
            (self.last_sequence + 1).max(self.sequence_base.saturating_add(now.as_micros()));
        self.last_sequence
    }

    fn store_answer(&mut self, counter: u64, answer: Option<Answer>) {
        let Some(answer) = answer.filter(|a| a.size() <= MAX_ANSWER_BYTES) else { return };
        while self.answer_bytes + answer.size() > MAX_STORED_ANSWER_BYTES {
            let Some(&oldest) = self.answer_order.front() else { return };
            self.drop_answer(oldest);
        }
        if let Some(entry) = self.entries.get_mut(&counter) {
            self.answer_bytes += answer.size();
            self.answer_order.push_back(counter);
            entry.state = State::Done(Some(Arc::new(answer)));
        }
    }

    fn drop_answer(&mut self, counter: u64) {
        let Some(entry) = self.entries.get_mut(&counter) else { return };
        if let State::Done(answer) = &mut entry.state
            && let Some(answer) = answer.take()
        {
            self.answer_bytes -= answer.size();
            // Answers are dropped almost in the order in which they were stored, so the search is short.
            if let Some(i) = self.answer_order.iter().position(|c| *c == counter) {
                self.answer_order.remove(i);
            }
        }
    }
}

impl Entry {
    fn decide(&self, fingerprint: Fingerprint) -> BeginDecision {
        if self.fingerprint != fingerprint {
            return BeginDecision::Mismatch;
        }
        match &self.state {
            State::Held | State::Running { .. } => BeginDecision::InProgress,
            State::Done(Some(answer)) => BeginDecision::Answered(Arc::clone(answer)),
            State::Done(None) => BeginDecision::AlreadyRun,
            State::Lost { .. } => BeginDecision::Unknown,
        }
    }
}
