//! The figures of each role.

use super::{
    Basis, CALLS, CENTRES, CHANGES, Figure, MAX_BYTES, MAX_CPU, MAX_LATENCY, MAX_MEMORY, MAX_READS,
    MAX_SPREAD, MAX_VALUE, MAX_WRITES, NODE_CALLS, NODES, REGION, SERVICES, STARTS, TARGETS,
};
use crate::{
    bench::slopes::Slope,
    identity::{FLEET_CLAIMS_PER_S, MAX_ENTRIES, MAX_STORED_ANSWER_BYTES},
    membership::{GOSSIP_BYTES_PER_S, MAX_TABLE_RECORDS},
    platform_watcher::{CONTACT_INTERVAL, WATCH_TIMEOUT},
    remote::WATCHERS_PER_CENTRE,
    store::{COMMITS_PER_COLLECTION, PART_COUNT},
};

const BYTES: Option<f64> = Some(MAX_BYTES);
const CPU: Option<f64> = Some(MAX_CPU);
const LATENCY: Option<f64> = Some(MAX_LATENCY);
const MEMORY: Option<f64> = Some(MAX_MEMORY);
const READS: Option<f64> = Some(MAX_READS);
const SPREAD: Option<f64> = Some(MAX_SPREAD);
const VALUE: Option<f64> = Some(MAX_VALUE);
const WRITES: Option<f64> = Some(MAX_WRITES);

/// The members of a region that fills the table.
const FULL: f64 = MAX_TABLE_RECORDS as f64;

/// Looks costs up by name; an absent one gives no number.
struct Costs<'a>(&'a [Slope]);

impl Costs<'_> {
    fn at(&self, id: &str, size: f64) -> f64 {
        self.find(id).map_or(f64::NAN, |slope| slope.at(size))
    }

    /// The change of a cost with one unit of its size.
    fn each(&self, id: &str) -> f64 {
        self.find(id).map_or(f64::NAN, |slope| slope.line.slope)
    }

    /// The value that was measured at one of the sizes.
    fn measured(&self, id: &str, size: f64) -> f64 {
        let points = self.find(id).map_or(&[][..], |slope| &slope.points);
        points.iter().find(|point| point.0 == size).map_or(f64::NAN, |point| point.1)
    }

    fn find(&self, id: &str) -> Option<&Slope> {
        self.0.iter().find(|slope| slope.id == id)
    }
}

/// The figures of one role.
struct Role {
    name: &'static str,
    figures: Vec<Figure>,
}

impl Role {
    fn new(name: &'static str) -> Role {
        Role { name, figures: Vec::new() }
    }

    /// Adds a figure at a size within the measured range.
    fn measured(
        &mut self,
        quantity: &'static str,
        value: f64,
        unit: &'static str,
        limit: Option<f64>,
        formula: &'static str,
    ) {
        let (role, basis) = (self.name, Basis::Measured);
        self.figures.push(Figure { role, quantity, value, unit, limit, basis, formula });
    }

    /// Adds a figure that combines costs or lies outside the measured range.
    fn derived(
        &mut self,
        quantity: &'static str,
        value: f64,
        unit: &'static str,
        limit: Option<f64>,
        formula: &'static str,
    ) {
        let (role, basis) = (self.name, Basis::Derived);
        self.figures.push(Figure { role, quantity, value, unit, limit, basis, formula });
    }
}

/// Returns the figures at the size to be reached.
pub fn figures(slopes: &[Slope]) -> Vec<Figure> {
    let costs = Costs(slopes);
    let roles = [
        member(&costs),
        joining(&costs),
        faults(&costs),
        configuration(&costs),
        seat(&costs),
        judge(&costs),
        caller(&costs),
        target(&costs),
        logs(&costs),
        owner(&costs),
        node(&costs),
        platform(&costs),
    ];
    roles.into_iter().flat_map(|role| role.figures).collect()
}

fn member(costs: &Costs<'_>) -> Role {
    let mut role = Role::new("member");
    let bytes = |n| costs.at("member.sent", n) + costs.at("member.received", n);
    let (state, cpu) = (|n| costs.at("member.state", n), |n| costs.at("member.cpu", n));
    let datagrams = |n| costs.at("member.datagrams", n);
    role.measured("state, 2,667 members", state(REGION), "B", None, "member.state(2,667)");
    role.measured("state, 8,192 members", state(FULL), "B", None, "member.state(8,192)");
    role.measured("datagrams, 2,667", datagrams(REGION), "1/s", None, "member.datagrams(2,667)");
    role.measured("datagrams, 8,192", datagrams(FULL), "1/s", None, "member.datagrams(8,192)");
    let formula = "member.sent + member.received";
    role.measured("bytes, 2,667 members", bytes(REGION), "B/s", BYTES, formula);
    role.measured("bytes, 8,192 members", bytes(FULL), "B/s", BYTES, formula);
    role.measured("processor, 2,667 members", cpu(REGION), "us/s", CPU, "member.cpu(2,667)");
    role.measured("processor, 8,192 members", cpu(FULL), "us/s", CPU, "member.cpu(8,192)");
    role
}

fn faults(costs: &Costs<'_>) -> Role {
    let mut role = Role::new("bad days");
    let at = |id| costs.at(id, REGION);
    let name = "1,200 of 2,667 lost, 99% known";
    role.derived(name, at("lost.most"), "s", None, "lost.most(2,667)");
    role.derived("the same, all known", at("lost.time"), "s", None, "lost.time(2,667)");
    let name = "1,200 of 2,667 return, 99% known";
    role.derived(name, at("returned.most"), "s", None, "returned.most(2,667)");
    role.derived("the same, all known", at("returned.time"), "s", None, "returned.time(2,667)");
    let name = "1,200 of 2,667 cut off for 600 s, 99% healed";
    role.derived(name, at("healed.most"), "s", None, "healed.most(2,667)");
    role.derived("the same, all healed", at("healed.time"), "s", None, "healed.time(2,667)");
    let bytes = 2.0 * f64::from(GOSSIP_BYTES_PER_S) + config_bytes(costs);
    let formula = "2 x 6,000 + configuration; membership sends at most 6,000 B/s";
    role.derived("control bytes meanwhile, at most", bytes, "B/s", BYTES, formula);
    let room = (MAX_BYTES - 2.0 * f64::from(GOSSIP_BYTES_PER_S)) * CHANGES / config_bytes(costs);
    let formula = "(17,000 - 2 x 6,000) / (2 x (pull.received + pull.sent)) x 86,400";
    role.derived("changes a day that fit beside", room * 86_400.0, "", None, formula);
    let document = costs.at("pull.full", SERVICES);
    let formula = "pull.full(4,700) / 17 KB/s";
    role.derived("document at 17 KB/s", document / MAX_BYTES, "s", None, formula);
    role
}

fn joining(costs: &Costs<'_>) -> Role {
    let mut role = Role::new("joining node");
    let received = costs.at("join.received", REGION);
    role.measured("bytes, 2,667 members", received, "B", None, "join.received(2,667)");
    let received = costs.at("join.received", FULL);
    role.measured("bytes, 8,192 members", received, "B", None, "join.received(8,192)");
    let time = |n| costs.at("join.time", n);
    role.measured("time, 2,667 members", time(REGION), "s", None, "join.time(2,667)");
    role.measured("time, 8,192 members", time(FULL), "s", None, "join.time(8,192)");
    let served = STARTS / NODES * costs.at("join.received", REGION);
    let formula = "1,620 / 86,400 / 24,000 x join.received(2,667)";
    role.derived("served by each member", served, "B/s", None, formula);
    role
}

fn configuration(costs: &Costs<'_>) -> Role {
    let mut role = Role::new("configuration");
    let at = |id| costs.at(id, SERVICES);
    let memory = at("document.memory");
    role.measured("document", memory, "B", None, "document.memory(4,700)");
    role.measured("index", at("store.index"), "B", VALUE, "store.index(4,700)");
    role.measured("largest part", at("store.largest"), "B", VALUE, "store.largest(4,700)");
    role.measured("all parts", at("store.total"), "B", None, "store.total(4,700)");
    let received = at("pull.received");
    role.measured("received per change", received, "B", None, "pull.received(4,700)");
    let bytes = config_bytes(costs);
    let formula = "0.61 x 2 x (pull.received + pull.sent)";
    role.derived("bytes", bytes, "B/s", BYTES, formula);
    let cpu = CHANGES * at("pull.time");
    role.derived("processor", cpu, "us/s", CPU, "0.61 x pull.time(4,700)");
    let pause = at("document.install") + at("judge.document");
    let formula = "document.install + judge.document";
    role.derived("pause per change", pause, "us", None, formula);
    // A pause delays the calls that arrive in it, of which 1 in 100 may exceed the added latency.
    let share = (CHANGES * pause + at("judge.moving")) / 1e6;
    let formula = "0.61 x (document.install + judge.document) + judge.moving";
    role.derived("share of time in pauses", share, "", Some(0.01), formula);
    role.measured("first pull of a node", at("pull.full"), "B", None, "pull.full(4,700)");
    role.measured("its time", at("pull.full_time"), "us", None, "pull.full_time(4,700)");
    let most = |members: f64| costs.at("spread.most", members.log2());
    let all = |members: f64| costs.at("spread.all", members.log2());
    role.derived("to 99% of 2,667", most(REGION), "s", SPREAD, "spread.most(log2 2,667)");
    role.derived("to all of 2,667", all(REGION), "s", SPREAD, "spread.all(log2 2,667)");
    role.derived("to all of 8,192", all(FULL), "s", SPREAD, "spread.all(log2 8,192)");
    role
}

/// Each node pulls each change once and on average serves one pull of it.
fn config_bytes(costs: &Costs<'_>) -> f64 {
    let pull = costs.at("pull.received", SERVICES) + costs.at("pull.sent", SERVICES);
    CHANGES * 2.0 * pull
}

fn seat(costs: &Costs<'_>) -> Role {
    let mut role = Role::new("seat");
    let list = costs.at("contact.list", CENTRES * WATCHERS_PER_CENTRE as f64);
    role.measured("list of contacts", list, "B", None, "contact.list(60)");
    let change = costs.at("store.index", SERVICES) + costs.at("pull.received", SERVICES);
    let read = list / CONTACT_INTERVAL.as_secs_f64() + CHANGES * change;
    let formula = "contact.list(60) / 5 s + 0.61 x (store.index + pull.received)";
    role.derived("read from the platform", read, "B/s", None, formula);
    let gossip = costs.at("member.sent", REGION) + costs.at("member.received", REGION);
    // A seat reads changes from the platform in place of a pull, and serves pulls like any node.
    let bytes = gossip + read + config_bytes(costs) / 2.0;
    let formula = "member(2,667) + read from the platform + configuration / 2";
    role.derived("control bytes, 2,667", bytes, "B/s", BYTES, formula);
    let calls =
        CHANGES * 3.0 + 2.0 / WATCH_TIMEOUT.as_secs_f64() + 2.0 / CONTACT_INTERVAL.as_secs_f64();
    let formula = "0.61 x 3 + 2 / 20 s + 2 / 5 s";
    role.derived("calls to the platform", calls, "1/s", None, formula);
    role
}

fn judge(costs: &Costs<'_>) -> Role {
    let mut role = Role::new("version judge");
    let at = |id| costs.at(id, SERVICES);
    let formula = "judge.document(4,700)";
    role.measured("pause per change", at("judge.document"), "us", None, formula);
    role.measured("looks, all moving", at("judge.moving"), "us/s", CPU, "judge.moving(4,700)");
    role.measured("looks, all over", at("judge.over"), "us/s", CPU, "judge.over(4,700)");
    role
}

fn caller(costs: &Costs<'_>) -> Role {
    let mut role = Role::new("caller's side");
    let state = costs.each("directory.state");
    role.measured("state per member", state, "B", None, "slope of directory.state");
    let routing = costs.at("routing.time", TARGETS);
    role.measured("selection of a target", routing, "us", LATENCY, "routing.time(5.1)");
    let decisions = costs.at("entry.time", TARGETS);
    role.measured("decisions of a call", decisions, "us", LATENCY, "entry.time(5.1)");
    let process = costs.each("entry.process");
    role.measured("processor of a call", process, "us", LATENCY, "slope of entry.process");
    let calls = costs.at("entry.process", NODE_CALLS) - costs.measured("entry.process", 0.0);
    let formula = "entry.process(158) - entry.process(0)";
    role.measured("processor of 158 calls/s", calls, "us/s", None, formula);
    role
}

fn target(costs: &Costs<'_>) -> Role {
    let mut role = Role::new("target's side");
    let decisions = costs.at("target.region", REGION);
    role.measured("decisions of a call", decisions, "us", LATENCY, "target.region(2,667)");
    let process = costs.each("target.process");
    role.measured("processor of a call", process, "us", LATENCY, "slope of target.process");
    let calls = costs.at("target.process", NODE_CALLS) - costs.measured("target.process", 0.0);
    let formula = "target.process(158) - target.process(0)";
    role.measured("processor of 158 calls/s", calls, "us/s", None, formula);
    let reports = costs.at("reports.capped", NODE_CALLS);
    role.measured("load reports", reports, "B/s", BYTES, "reports.capped(158)");
    role
}

fn logs(costs: &Costs<'_>) -> Role {
    let mut role = Role::new("log");
    let bytes = costs.at("log.bytes", TARGETS);
    role.measured("bytes per call", bytes, "B", None, "log.bytes(5.1)");
    role.derived("bytes per node", NODE_CALLS * bytes, "B/s", None, "158 x log.bytes(5.1)");
    role.derived("bytes of the fleet", CALLS * bytes, "B/s", None, "3.8 M x log.bytes(5.1)");
    let writer = costs.each("log.process");
    role.measured("writer, per call", writer, "us", None, "slope of log.process");
    role
}

fn owner(costs: &Costs<'_>) -> Role {
    let mut role = Role::new("identity owner");
    let state = |entries| costs.at("identity.state", entries);
    role.measured("full table", state(MAX_ENTRIES as f64), "B", None, "identity.state(65,536)");
    let some = state(NODE_CALLS * 0.01 * 600.0);
    let formula = "identity.state(158 x 1% x 600 s)";
    role.measured("table, 1% of calls", some, "B", None, formula);
    let time = costs.at("identity.time", MAX_ENTRIES as f64);
    role.measured("time per identity", time, "us", None, "identity.time(65,536)");
    let claims = costs.at("claims.fleet", NODES);
    role.measured("claims of the fleet", claims, "1/s", WRITES, "claims.fleet(24,000)");
    let share = FLEET_CLAIMS_PER_S as f64 / CALLS * 1e6;
    role.derived("claims per million calls", share, "", None, "200 / 3.8 M");
    let pause = NODES / FLEET_CLAIMS_PER_S as f64;
    role.derived("time between claims of a node", pause, "s", None, "24,000 / 200");
    role
}

fn node(costs: &Costs<'_>) -> Role {
    let mut role = Role::new("node");
    let gossip = |n| costs.at("member.sent", n) + costs.at("member.received", n);
    let bytes = |n| gossip(n) + config_bytes(costs);
    let formula = "member + configuration";
    role.derived("control bytes, 2,667", bytes(REGION), "B/s", BYTES, formula);
    role.derived("control bytes, 8,192", bytes(FULL), "B/s", BYTES, formula);
    let all = bytes(REGION) + 2.0 * costs.at("reports.capped", NODE_CALLS);
    let formula = "member + configuration + 2 x reports.capped(158)";
    role.derived("the same with load reports, 2,667", all, "B/s", BYTES, formula);
    let idle = costs.measured("entry.process", 0.0);
    let changes =
        CHANGES * (costs.at("pull.time", SERVICES) + costs.at("judge.document", SERVICES));
    let rollouts = costs.at("judge.moving", SERVICES);
    let cpu = |n| idle + costs.at("member.cpu", n) + changes + rollouts;
    let formula = "entry.process(0) + member + configuration + rollouts";
    role.derived("control processor, 2,667", cpu(REGION), "us/s", CPU, formula);
    role.derived("control processor, 8,192", cpu(FULL), "us/s", CPU, formula);
    let memory = |n| costs.at("resident.members", n);
    role.measured("memory, 2,667", memory(REGION), "B", MEMORY, "resident.members(2,667)");
    role.measured("memory, 8,192", memory(FULL), "B", MEMORY, "resident.members(8,192)");
    let identities =
        costs.at("identity.state", MAX_ENTRIES as f64) + MAX_STORED_ANSWER_BYTES as f64;
    let formula = "resident.members(8,192) + identity.state(65,536) + 4 MiB of answers";
    role.derived("memory, all tables full", memory(FULL) + identities, "B", MEMORY, formula);
    role
}

fn platform(costs: &Costs<'_>) -> Role {
    let mut role = Role::new("platform");
    let seats = CENTRES * WATCHERS_PER_CENTRE as f64;
    let contacts = seats / CONTACT_INTERVAL.as_secs_f64();
    // A change writes a part, the index and the former index; a collection deletes what has been replaced.
    let writes = contacts + CHANGES * 4.0;
    role.derived("writes without claims", writes, "1/s", WRITES, "60 / 5 s + 0.61 x 4");
    let claims = writes + FLEET_CLAIMS_PER_S as f64;
    role.derived("writes with claims", claims, "1/s", WRITES, "60 / 5 s + 0.61 x 4 + 200");
    // The watch of each seat ends with each change; it reads the index and the part and watches again. A second
    // watch waits for verdicts. A commit reads the index, its base and the history.
    let watches = seats * (CHANGES * 3.0 + 2.0 / WATCH_TIMEOUT.as_secs_f64());
    let operators = CHANGES * 4.0 + CHANGES / COMMITS_PER_COLLECTION as f64 * 2.0;
    let reads = contacts + watches + operators + STARTS;
    let formula = "60 / 5 s + 60 x (0.61 x 3 + 2 / 20 s) + 0.61 x (4 + 2 / 16) + 0.019";
    role.derived("reads", reads, "1/s", READS, formula);
    let stored = costs.at("store.total", SERVICES) + 33.0 * costs.at("store.index", SERVICES);
    role.derived("documents", stored, "B", None, "store.total + 33 x store.index");
    let restart = NODES + seats * (PART_COUNT as f64 + 2.0);
    let formula = "24,000 + 60 x (256 + 2)";
    role.derived("reads of a fleet restart", restart, "", None, formula);
    role.derived("their time", restart / MAX_READS, "s", None, "reads / 2,000");
    role.derived("contacts", seats, "keys", None, "20 x 3");
    role
}
