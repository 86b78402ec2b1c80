//! The benchmark program.

use std::{
    io::{self, Write as _},
    process::ExitCode,
};

use gumdrop::Options;
use poplarbarrow::bench::{self, CASES, slopes};

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "compare the selection policies and the goodput under overload")]
    Policy(PolicyArgs),
    #[options(help = "measure the cost of each mechanism over its size, for docs/CAPACITY.md")]
    Slopes(SlopesArgs),
}

#[derive(Debug, Options)]
struct SlopesArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the seed of the measurements", default = "1")]
    seed: u64,
    #[options(help = "print one JSON document instead of tables", no_short)]
    json: bool,
}

#[derive(Debug, Options)]
struct PolicyArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the first seed; each round uses the next", default = "1")]
    seed: u64,
    #[options(help = "the case to run, or all", meta = "NAME")]
    case: Option<String>,
    #[options(help = "the load as a multiple of the capacity", meta = "X")]
    load: Option<f64>,
    #[options(help = "no slowdowns and no returns to cold start", no_short)]
    calm: bool,
    #[options(help = "the measurement budget of each node in bytes/s", no_short, meta = "N")]
    bytes: Option<u32>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match args.command {
        Some(Command::Policy(args)) => exit_code(run_policy(&args)),
        Some(Command::Slopes(args)) => exit_code(run_slopes(&args).map(|()| true)),
        None => fail("a command is required; see --help"),
    }
}

/// Returns the exit code for the result of a benchmark; `Ok(false)` means that no case matched.
fn exit_code(result: io::Result<bool>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => fail(&format!("no such case; cases: {}", CASES.map(|c| c.name).join(", "))),
        Err(e) => fail(&format!("error: {e}")),
    }
}

fn fail(message: &str) -> ExitCode {
    // If standard error is closed, the exit code alone reports the failure.
    let _ = writeln!(io::stderr(), "{message}");
    ExitCode::from(2)
}

/// Runs the selected cases and returns whether there were any.
fn run_policy(args: &PolicyArgs) -> io::Result<bool> {
    let out = &mut io::stdout().lock();
    let mut has_match = false;
    for mut case in CASES {
        if args.case.as_ref().is_some_and(|name| name != case.name) {
            continue;
        }
        has_match = true;
        case.load = args.load.unwrap_or(case.load);
        case.faults = !args.calm;
        case.measure_bytes = args.bytes.unwrap_or(case.measure_bytes);
        bench::compare(out, case, args.seed)?;
        // The goodput curve of a large service takes minutes to measure and matches that of a small one.
        if case.targets <= 10 {
            bench::goodput(out, case, args.seed)?;
        }
    }
    Ok(has_match)
}

/// Measures the slopes and reports each completed step on standard error.
fn run_slopes(args: &SlopesArgs) -> io::Result<()> {
    let slopes = slopes::run(args.seed, |step| {
        let _ = writeln!(io::stderr(), "measured: {step}");
    })?;
    let out = &mut io::stdout().lock();
    if args.json {
        serde_json::to_writer_pretty(&mut *out, &slopes)?;
        return writeln!(out);
    }
    slopes.write(out)
}
