//! The open-loop load generator program.

use std::{
    error::Error,
    io::{self, Write},
    process::ExitCode,
};

use compact_str::{CompactString, format_compact};
use gumdrop::Options;
use http::Method;
use poplarbarrow::{
    openloop::{self, LoopbackAddr, LoopbackError, Plan, Process, Route},
    transports::{self, Sample, Trial},
};

/// Sends requests on a precomputed schedule and compares routes. An address may be a comma-separated list,
/// whose members get requests in turn.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(help = "address of the target, the baseline", meta = "ADDR", no_short)]
    direct: Option<String>,
    #[options(help = "address of a node; may be repeated", meta = "ADDR", no_short)]
    through: Vec<String>,
    #[options(help = "service in the Host header", no_short, default = "catalogue")]
    service: String,
    #[options(help = "method", no_short, default = "GET")]
    method: Method,
    #[options(help = "path", no_short, default = "/")]
    path: String,
    #[options(help = "give each request a unique x-request-id", no_short)]
    ids: bool,
    #[options(help = "poplarbarrow-deadline-ms of each request", meta = "MS", no_short)]
    deadline_ms: Option<u64>,
    #[options(help = "mean requests per second", no_short, default = "1000")]
    rate: f64,
    #[options(help = "requests per route and round", no_short, default = "5000")]
    count: u32,
    #[options(help = "size of request and answer bodies", no_short, default = "0")]
    bytes: usize,
    #[options(help = "rounds, at least 5", no_short, default = "5")]
    rounds: u32,
    #[options(help = "maximum connections to each address", no_short, default = "64")]
    connections: usize,
    #[options(help = "seed of the send times", no_short, default = "1")]
    seed: u64,
    #[options(
        help = "report the CPU time of a process; may be repeated",
        meta = "NAME=PID",
        no_short
    )]
    pid: Vec<String>,
    #[options(help = "print one JSON document instead of lines", no_short)]
    json: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "compare HTTP/2 streams with tarpc as transports between nodes")]
    Transports(TransportArgs),
}

#[derive(Debug, Options)]
struct TransportArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "calls per transport, size and round", no_short, default = "20000")]
    count: u32,
    #[options(help = "concurrent calls", no_short, default = "8")]
    width: u32,
    #[options(help = "rounds, at least 5", no_short, default = "5")]
    rounds: u32,
    #[options(help = "seed of the bodies and of the order", no_short, default = "1")]
    seed: u64,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let mut out = io::stdout();
    match run(&args, &mut out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let _ = writeln!(io::stderr(), "error: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args, out: &mut impl Write) -> Result<(), Box<dyn Error>> {
    if args.version {
        writeln!(out, "poplarbarrow-load {}", env!("CARGO_PKG_VERSION"))?;
        return Ok(());
    }
    if let Some(Command::Transports(args)) = &args.command {
        return compare_transports(args, out);
    }
    let mut written = Ok(());
    let report = openloop::run(&plan(args)?, |round| {
        if !args.json && written.is_ok() {
            written = write!(out, "{round}").and_then(|()| out.flush());
        }
    })?;
    written?;
    if args.json {
        writeln!(out, "{}", serde_json::to_string_pretty(&report)?)?;
    } else {
        write!(out, "{report}")?;
    }
    Ok(())
}

fn compare_transports(args: &TransportArgs, out: &mut impl Write) -> Result<(), Box<dyn Error>> {
    let TransportArgs { count, width, rounds, seed, .. } = *args;
    let mut written = Ok(());
    let table = transports::run(&Trial { count, width, rounds, seed }, |round, sample| {
        let Sample { transport, bytes, p50, p99, cpu } = sample;
        if written.is_ok() {
            written = writeln!(
                out,
                "round={round} transport={transport} bytes={bytes} p50_us={p50:.1} p99_us={p99:.1} \
                 cpu_us={cpu:.1}"
            );
        }
    })?;
    written?;
    write!(out, "\n{table}")?;
    Ok(())
}

fn plan(args: &Args) -> Result<Plan, Box<dyn Error>> {
    let mut routes = Vec::new();
    if let Some(list) = &args.direct {
        routes.push(route("direct".into(), list)?);
    }
    for (n, list) in args.through.iter().enumerate() {
        let name = if n == 0 { "through".into() } else { format_compact!("through{}", n + 1) };
        routes.push(route(name, list)?);
    }
    Ok(Plan {
        routes,
        service: args.service.as_str().into(),
        method: args.method.clone(),
        path: args.path.as_str().into(),
        has_ids: args.ids,
        deadline_ms: args.deadline_ms,
        rate: args.rate,
        count: args.count,
        bytes: args.bytes,
        rounds: args.rounds,
        connections: args.connections,
        processes: args.pid.iter().map(|text| process(text)).collect::<Result<_, _>>()?,
        seed: args.seed,
    })
}

fn process(text: &str) -> Result<Process, Box<dyn Error>> {
    let (name, pid) = text.split_once('=').ok_or("--pid takes NAME=PID")?;
    Ok(Process { name: name.into(), pid: pid.parse()? })
}

fn route(name: CompactString, list: &str) -> Result<Route, LoopbackError> {
    let addrs = list.split(',').map(str::parse::<LoopbackAddr>).collect::<Result<_, _>>()?;
    Ok(Route { name, addrs })
}
