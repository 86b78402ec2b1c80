//! Embeds the choice of a target in a client of its own.
//!
//! The client keeps a view of each target, chooses one for each request, and tells the view how the request ended.

use std::time::Duration;

use poplarbarrow::{
    keys::MemberKey,
    load::{ObservedOutcome, TargetView},
    routing::{Candidate, Policy, Router, TargetState},
    time::Time,
};
use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

fn main() {
    let mut targets: SlotMap<MemberKey, (&str, TargetView)> = SlotMap::with_key();
    let fast = targets.insert(("fast", TargetView::new()));
    targets.insert(("slow", TargetView::new()));
    let mut router = Router::new(Policy::LeastLoaded);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut now = Time::ZERO;
    let mut chosen = [0, 0];

    for _ in 0..1_000 {
        let candidates: Vec<_> = targets
            .iter()
            .map(|(key, (_, view))| Candidate {
                key,
                view,
                is_local: true,
                state: TargetState::InService,
            })
            .collect();
        let choice = match router.choose(now, &candidates, &[], &mut rng) {
            Ok(choice) => choice,
            Err(none) => return report(&format!("no target: {:?}", none.refusal())),
        };
        let is_fast = choice.key == fast;
        chosen[usize::from(!is_fast)] += 1;
        let view = &mut targets[choice.key].1;
        view.sent(now);
        let sent = now;
        now += Duration::from_millis(if is_fast { 2 } else { 20 });
        view.finished(now, sent, ObservedOutcome::Answer);
    }
    report(&format!("fast: {} requests, slow: {} requests", chosen[0], chosen[1]));
}

#[allow(clippy::print_stdout)] // An example shows its result.
fn report(text: &str) {
    println!("{text}");
}
