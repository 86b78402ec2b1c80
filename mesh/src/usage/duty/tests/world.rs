//! Machines with a [`Duty`] each, and stand-ins of the store and the platform that lose and delay messages.

use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use crate::usage::{
    SendOutcome, UsageSettings, counter,
    duty::{Action, Commit, Duty, Event, Note, Now, Renewal, Turn},
    records::Report,
};

use super::store::StoreState;

pub(super) const STEP: Duration = Duration::from_millis(50);
const START: Duration = Duration::from_secs(1_000_000);
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

pub(super) fn settings() -> UsageSettings {
    UsageSettings {
        node: "n".into(),
        window: Duration::from_secs(5),
        late: Duration::from_secs(10),
        lease: Duration::from_secs(3),
        slack: Duration::from_millis(300),
        call_interval: Duration::from_millis(500),
    }
}

/// What happens to a call at the moment at which it is made.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The machine is suspended for so long, while the call goes on.
    Suspend(Duration),
    /// The process ends and another one starts.
    Restart,
    /// The call is carried out, but the answer is lost.
    LoseAnswer,
    /// The call is carried out so much later, and the answer is lost.
    Delay(Duration),
    /// The call is lost.
    LoseCall,
}

struct Machine {
    duty: Duty,
    suspended_until: Duration,
    /// The time that the monotonic clock has not counted.
    slept: Duration,
    next_tick: Duration,
    /// By how much its time of day is ahead.
    ahead: Duration,
}

/// A message on its way.
enum Message {
    ToStore {
        call: Action,
        answer_at: Option<Duration>,
    },
    /// The connection to the platform is open.
    Connected {
        fence: u64,
        report: Report,
        answer_at: Option<Duration>,
        takes: Duration,
    },
    ToPlatform {
        fence: u64,
        report: Report,
        answer_at: Option<Duration>,
    },
    ToMachine(Event),
}

/// What the platform has seen.
#[derive(Default)]
pub(super) struct PlatformState {
    pub(super) accepted: BTreeMap<u64, CompactString>,
    pub(super) holders: BTreeMap<u64, usize>,
    /// The times of all calls with their machines.
    calls: Vec<(Duration, usize)>,
}

pub(super) struct World {
    pub(super) now: Duration,
    pub(super) rng: SmallRng,
    store: StoreState,
    copies: Vec<StoreState>,
    pub(super) platform: PlatformState,
    machines: Vec<Machine>,
    messages: Vec<(Duration, usize, u64, Message)>,
    pub(super) notes: Vec<Note>,
    /// The probability that a call meets a random fault.
    pub(super) fault_rate: f64,
    /// A fault for the n-th call of a kind by any machine.
    pub(super) planned: Option<(&'static str, u32, Fault)>,
    pub(super) status: SendOutcome,
}

impl World {
    pub(super) fn new(machines: usize, seed: u64) -> World {
        let mut world = World {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            store: StoreState { era: 1, revision: 10, ..StoreState::default() },
            copies: Vec::new(),
            platform: PlatformState::default(),
            machines: Vec::new(),
            messages: Vec::new(),
            notes: Vec::new(),
            fault_rate: 0.0,
            planned: None,
            status: SendOutcome::Accepted,
        };
        for _ in 0..machines {
            let duty = world.new_duty();
            let (suspended_until, slept, next_tick, ahead) = Default::default();
            world.machines.push(Machine { duty, suspended_until, slept, next_tick, ahead });
        }
        world
    }

    fn new_duty(&mut self) -> Duty {
        let now = Now { clock: self.now, steady: self.now, unix: START, jitter: 0.5 };
        Duty::new(settings(), self.rng.random(), now)
    }

    pub(super) fn window(&self) -> u64 {
        counter::window_at(START + self.now, settings().window)
    }

    pub(super) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        self.store.expire(self.now);
        if self.now.as_millis().is_multiple_of(1_000) {
            self.copies.push(self.store.clone());
        }
        for index in 0..self.machines.len() {
            self.deliver(index);
            let machine = &mut self.machines[index];
            if machine.suspended_until <= self.now && machine.next_tick <= self.now {
                machine.next_tick = self.now + STEP * 2;
                let turn = Turn { rank: index, members: 3 };
                let term = machine.duty.term();
                self.apply(index, term, Event::Tick(turn));
            }
        }
    }

    fn deliver(&mut self, index: usize) {
        let due = |world: &World, message: &(Duration, usize, u64, Message)| {
            let is_running = world.machines[index].suspended_until <= world.now;
            let is_local = matches!(message.3, Message::ToMachine(_) | Message::Connected { .. });
            message.1 == index && message.0 <= world.now && (is_running || !is_local)
        };
        while let Some(position) = self.messages.iter().position(|message| due(self, message)) {
            let (_, _, term, message) = self.messages.remove(position);
            match message {
                Message::ToStore { call, answer_at } => {
                    let event = self.store.call(self.now, &call);
                    let (at, event) = match (answer_at, event) {
                        (_, None) => continue,
                        (Some(at), Some(event)) => (at, event),
                        (None, Some(event)) => (self.now + CALL_TIMEOUT, unanswered(event)),
                    };
                    self.messages.push((at, index, term, Message::ToMachine(event)));
                }
                Message::Connected { fence, report, answer_at, takes } => {
                    let now = self.clocks(index);
                    if self.machines[index].duty.may_send(now, term) {
                        let message = Message::ToPlatform { fence, report, answer_at };
                        self.messages.push((self.now + takes, index, term, message));
                    } else {
                        let (window, outcome) = (report.window, SendOutcome::NotSent);
                        self.apply(index, term, Event::Sent { window, outcome });
                    }
                }
                Message::ToPlatform { fence, report, answer_at } => {
                    self.check_call(index, fence, &report);
                    let outcome =
                        if answer_at.is_some() { self.status } else { SendOutcome::Unanswered };
                    let at = answer_at.unwrap_or(self.now + CALL_TIMEOUT);
                    let event = Event::Sent { window: report.window, outcome };
                    self.messages.push((at, index, term, Message::ToMachine(event)));
                }
                Message::ToMachine(event) => self.apply(index, term, event),
            }
        }
    }

    /// Checks what must never happen, and accepts a report.
    fn check_call(&mut self, index: usize, fence: u64, report: &Report) {
        let platform = &mut self.platform;
        let last = platform.holders.last_key_value().map_or(0, |(fence, _)| *fence);
        assert!(fence >= last, "fence {fence} after {last}");
        let holder = *platform.holders.entry(fence).or_insert(index);
        assert_eq!(holder, index, "two holders with the fence number {fence}");
        let other = platform.calls.iter().rposition(|(_, caller)| *caller != index);
        let mine = platform.calls.iter().take(other.unwrap_or(0));
        if let Some((at, _)) = mine.rev().find(|(_, caller)| *caller == index) {
            assert!(self.now - *at >= settings().lease, "holders in the order A, B, A");
        }
        platform.calls.push((self.now, index));
        if self.status == SendOutcome::Accepted {
            let body = platform.accepted.entry(report.window).or_insert(report.body.clone());
            assert_eq!(*body, report.body, "two reports of the window {}", report.window);
        }
    }

    fn clocks(&mut self, index: usize) -> Now {
        let steady = self.now - self.machines[index].slept;
        let (clock, unix) = (self.now, START + self.now + self.machines[index].ahead);
        Now { clock, steady, unix, jitter: self.rng.random() }
    }

    fn apply(&mut self, index: usize, term: u64, event: Event) {
        let (now, mut actions) = (self.clocks(index), Vec::new());
        let duty = &mut self.machines[index].duty;
        duty.apply(now, term, event, &mut actions);
        let term = duty.term();
        for action in actions {
            self.execute(index, term, action);
        }
    }

    fn execute(&mut self, index: usize, term: u64, action: Action) {
        let fault = self.fault(&action);
        let mut send_at = self.now + STEP * self.rng.random_range(0..3);
        let mut takes = STEP * self.rng.random_range(0..6);
        let mut answer_at = Some(send_at + takes + STEP * self.rng.random_range(0..6));
        match fault {
            Some(Fault::LoseAnswer) => answer_at = None,
            // Bytes that are sent arrive within the user timeout of TCP, or the connection fails.
            Some(Fault::Delay(time)) if matches!(action, Action::Send { .. }) => {
                (takes, answer_at) = (time.min(CALL_TIMEOUT), None);
            }
            Some(Fault::Delay(time)) => (send_at, answer_at) = (send_at + time, None),
            Some(Fault::Suspend(time)) => self.suspend(index, time),
            Some(Fault::Restart) => self.restart(index),
            Some(Fault::LoseCall) | None => {}
        }
        let is_lost = fault == Some(Fault::LoseCall);
        let message = match action {
            Action::Note(note) => return self.notes.push(note),
            Action::Gather { window, .. } => {
                // Each count is another one, as it is when other members answer.
                let counts = [("team".into(), self.rng.random_range(1..1_000_000))].into();
                Message::ToMachine(Event::Gathered { window, counts })
            }
            Action::Send { report, .. } if is_lost => {
                let outcome = SendOutcome::NotSent;
                Message::ToMachine(Event::Sent { window: report.window, outcome })
            }
            Action::Send { fence, report } => {
                Message::Connected { fence, report, answer_at, takes }
            }
            Action::Release(_) if is_lost => return,
            call if is_lost => {
                let event = self.call_lost(&call);
                self.messages.push((
                    self.now + CALL_TIMEOUT,
                    index,
                    term,
                    Message::ToMachine(event),
                ));
                return;
            }
            call => Message::ToStore { call, answer_at },
        };
        self.messages.push((send_at, index, term, message));
    }

    fn call_lost(&self, call: &Action) -> Event {
        match call {
            Action::Look => Event::Looked { is_free: false },
            Action::Grant => Event::Granted(None),
            Action::Take { .. } => Event::Taken(Commit::Unanswered),
            Action::Record { .. } => Event::Recorded(Commit::Unanswered),
            Action::Renew(_) => Event::Renewed(Renewal::Failed),
            _ => Event::Read(None),
        }
    }

    fn fault(&mut self, action: &Action) -> Option<Fault> {
        if let Some((kind, count, fault)) = self.planned
            && kind == name(action)
        {
            self.planned = (count > 1).then_some((kind, count.saturating_sub(1), fault));
            return (count == 1).then_some(fault);
        }
        if matches!(action, Action::Note(_)) || !self.rng.random_bool(self.fault_rate) {
            return None;
        }
        let time = STEP * self.rng.random_range(1..160);
        Some(match self.rng.random_range(0..10) {
            0 => Fault::Restart,
            1..3 => Fault::Suspend(time),
            3..5 => Fault::Delay(time),
            5..8 => Fault::LoseAnswer,
            _ => Fault::LoseCall,
        })
    }

    fn suspend(&mut self, index: usize, time: Duration) {
        let machine = &mut self.machines[index];
        if machine.suspended_until <= self.now {
            machine.suspended_until = self.now + time;
            machine.slept += time;
        }
    }

    pub(super) fn restart(&mut self, index: usize) {
        self.machines[index].duty = self.new_duty();
        let is_local = |message: &Message| {
            matches!(message, Message::ToMachine(_) | Message::Connected { .. })
        };
        self.messages.retain(|(_, machine, _, message)| *machine != index || !is_local(message));
    }

    pub(super) fn stop(&mut self, index: usize) {
        let term = self.machines[index].duty.term();
        self.apply(index, term, Event::Stop);
    }

    /// Sets all times of day right, or each to one that is wrong by up to eight seconds.
    pub(super) fn set_clocks(&mut self, are_right: bool) {
        for machine in &mut self.machines {
            let steps = if are_right { 0 } else { self.rng.random_range(0..160) };
            machine.ahead = STEP * steps;
        }
    }

    pub(super) fn holder(&self) -> Option<usize> {
        self.machines.iter().position(|machine| machine.duty.is_holder())
    }

    /// Returns the store from a copy of some seconds ago.
    pub(super) fn restore(&mut self, seconds: usize) {
        let copy = self.copies.iter().rev().nth(seconds).cloned().unwrap_or_default();
        let era = self.store.era + 1;
        self.store = StoreState { era, leases: BTreeMap::new(), ..copy };
        self.store.expire(self.now);
    }
}

fn unanswered(event: Event) -> Event {
    match event {
        Event::Looked { .. } => Event::Looked { is_free: false },
        Event::Granted(_) => Event::Granted(None),
        Event::Taken(_) => Event::Taken(Commit::Unanswered),
        Event::Recorded(_) => Event::Recorded(Commit::Unanswered),
        Event::Renewed(_) => Event::Renewed(Renewal::Failed),
        _ => Event::Read(None),
    }
}

pub(super) fn name(action: &Action) -> &'static str {
    match action {
        Action::Look => "look",
        Action::Read => "read",
        Action::Grant => "grant",
        Action::Take { .. } => "take",
        Action::Renew(_) => "renew",
        Action::Release(_) => "release",
        Action::Gather { .. } => "gather",
        Action::Record { .. } => "record",
        Action::Send { .. } => "send",
        Action::Note(_) => "note",
    }
}
