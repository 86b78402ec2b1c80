//! The handling of delivered messages by nodes and the platform.

use std::sync::Arc;

use super::{Message, Response, World, address, key, request_number};
use crate::identity::{
    Answer, AttemptResult, AttemptTag, ClaimAction, ClaimEvent, Delivery, Settled,
    explore::{
        Setup, Violation, Without,
        node::{Route, Step},
    },
};
use crate::{refusal::Outcome, time::Time};

impl World {
    pub(super) fn deliver(
        &mut self,
        setup: &Setup,
        message: Message,
        choice: usize,
    ) -> Result<(), Violation> {
        match message {
            Message::Forward { stamp, send, identity } => {
                let n = address(stamp.destination);
                let local = self.nodes[n].member;
                let accept = self.node(n).receipts.accept(stamp, local);
                let again = setup.without == Without::ForwardStamp && accept == Delivery::Duplicate;
                if accept == Delivery::First || again {
                    let route = Route::Remote(stamp.sender);
                    self.node(n).steps.push(Step::Begin { send, identity, route });
                }
            }
            Message::Reply { to, send, response } => {
                if let Some(n) = self.index_of(to) {
                    return self.reply(setup, n, send, Route::Local, response);
                }
            }
            Message::Attempt { tag, send } => self.deliver_attempt(setup, tag, send),
            Message::Result { to, tag, result } => {
                if let Some(n) = self.index_of(to) {
                    let settled = match result {
                        Response::NotRun => AttemptResult::NotRun,
                        Response::Answer(send) => AttemptResult::Answered(Some(Answer {
                            status: 200,
                            content_type: None,
                            body: Arc::from([send as u8]),
                        })),
                    };
                    return self.settle(setup, n, tag, settled, Some(result));
                }
            }
            Message::Write { from, send, identity } => {
                let event = match choice {
                    0 if self.claim.is_none() => ClaimEvent::Written,
                    0 => ClaimEvent::Conflict,
                    1 => ClaimEvent::Unavailable,
                    _ => ClaimEvent::WriteUnknown,
                };
                if choice == 0 || choice == 2 {
                    self.claim.get_or_insert(identity);
                }
                self.outages -= u8::from(choice > 0);
                self.messages.push(Message::Platform { to: from, send, event });
            }
            Message::Read { from, send } => {
                let failed = choice > 0;
                self.outages -= u8::from(failed);
                let event =
                    if failed { ClaimEvent::Unavailable } else { ClaimEvent::Read(self.claim) };
                self.messages.push(Message::Platform { to: from, send, event });
            }
            Message::Platform { to, send, event } => {
                if let Some(n) = self.index_of(to) {
                    return self.claim(setup, n, send, event);
                }
            }
        }
        Ok(())
    }

    fn deliver_attempt(&mut self, setup: &Setup, tag: AttemptTag, send: usize) {
        let n = address(tag.destination);
        let local = self.nodes[n].member;
        let mut stamp = tag.stamp();
        if setup.without == Without::Destination {
            stamp.destination = local;
        }
        let accept = self.node(n).receipts.accept(stamp, local);
        match (accept, setup.without) {
            (Delivery::First, _) | (Delivery::Duplicate, Without::Window) => {
                self.node(n).steps.push(Step::Run { tag, send });
            }
            (Delivery::Duplicate, Without::UnknownDuplicate)
            | (Delivery::WrongMember, Without::UnknownMember) => {
                let to = tag.identity.owner;
                self.messages.push(Message::Result { to, tag, result: Response::NotRun });
            }
            _ => {}
        }
    }

    pub(super) fn settle(
        &mut self,
        setup: &Setup,
        n: usize,
        mut tag: AttemptTag,
        mut result: AttemptResult,
        response: Option<Response>,
    ) -> Result<(), Violation> {
        let now = self.now;
        let node = self.node(n);
        if setup.without == Without::StaleCheck
            && let Some(latest) = node.running.last()
        {
            tag = latest.0;
        }
        if setup.without == Without::ExplicitNotRun && result == AttemptResult::Lost {
            result = AttemptResult::NotRun;
        }
        let settled = node.owner.settle(now, tag, result);
        if settled == Settled::Ignored {
            return Ok(());
        }
        let Some(i) = node.running.iter().position(|r| r.0 == tag) else {
            return Ok(());
        };
        let (tag, send, route, attempts) = node.running.remove(i);
        match (settled, response) {
            (Settled::Held, _) => {
                let step = Step::Choose { send, identity: tag.identity, route, attempts };
                self.node(n).steps.push(step);
                Ok(())
            }
            (_, Some(response)) => self.reply(setup, n, send, route, response),
            (_, None) => Ok(()),
        }
    }

    pub(super) fn claim(
        &mut self,
        setup: &Setup,
        n: usize,
        send: usize,
        mut event: ClaimEvent,
    ) -> Result<(), Violation> {
        let now = self.now;
        let node = self.node(n);
        let from = node.member;
        let Some(claim) = node.claims.get_mut(&send) else { return Ok(()) };
        let id = claim.identity();
        match (setup.without, event) {
            (Without::Nonce, ClaimEvent::Read(Some(found))) if found.owner == from => {
                event = ClaimEvent::Read(Some(id));
            }
            (Without::ReadBack, ClaimEvent::WriteUnknown) => event = ClaimEvent::Written,
            _ => {}
        }
        let observed = if setup.without == Without::LateClaim { Time::ZERO } else { now };
        let action = claim.apply(observed, event);
        match action {
            ClaimAction::Nothing => return Ok(()),
            ClaimAction::Write => self.messages.push(Message::Write { from, send, identity: id }),
            ClaimAction::Read => self.messages.push(Message::Read { from, send }),
            ClaimAction::BeginLocal(identity) | ClaimAction::Forward(identity) => {
                node.claims.remove(&send);
                node.owner.record_claim(now, key(), identity);
                node.steps.push(Step::Begin { send, identity, route: Route::Local });
            }
            ClaimAction::Refuse(refusal) => {
                node.claims.remove(&send);
                if refusal.outcome == Outcome::NotRun {
                    return self.reply(setup, n, send, Route::Local, Response::NotRun);
                }
            }
        }
        Ok(())
    }

    /// Sends a response to the caller if the send came through node `n`, and to the entry node otherwise.
    pub(super) fn reply(
        &mut self,
        setup: &Setup,
        n: usize,
        send: usize,
        route: Route,
        response: Response,
    ) -> Result<(), Violation> {
        if let Route::Remote(to) = route {
            if self.index_of(to).is_some() {
                self.messages.push(Message::Reply { to, send, response });
            }
            return Ok(());
        }
        if !self.node(n).pending.remove(&send) {
            return Ok(());
        }
        self.sends[send].response = Some(response);
        match response {
            Response::NotRun if self.sends[send].has_run => Err(Violation::FalseNotRun),
            Response::Answer(other)
                if request_number(setup, other) != request_number(setup, send) =>
            {
                Err(Violation::ForeignAnswer)
            }
            _ => Ok(()),
        }
    }
}
