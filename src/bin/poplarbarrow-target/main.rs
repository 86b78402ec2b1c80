//! The stand-in target program.

use std::{io::Write, net::SocketAddr, process::ExitCode};

use compact_str::CompactString;
use gumdrop::Options;
use poplarbarrow::standin::target::{Behaviour, Config, Distribution, Target};
use tokio::signal::unix::{SignalKind, signal};

/// The exit code after a crash caused by a marked request.
const CRASH_EXIT_CODE: u8 = 3;

/// A stand-in target: an HTTP/1.1 server with limited capacity and fault injection.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(help = "address to listen on; port 0 selects a free port", default = "127.0.0.1:0")]
    listen: String,
    #[options(help = "name in the answer header x-standin-target", default = "target")]
    name: String,
    #[options(help = "seed of service times and fault rates", no_short, default = "1")]
    seed: u64,
    #[options(help = "maximum concurrent requests", no_short, default = "12")]
    slots: u32,
    #[options(help = "maximum open connections", no_short, default = "200")]
    connections: u32,
    #[options(help = "connection set-up time in microseconds", no_short, default = "1000")]
    connect_us: u64,
    #[options(help = "mean service time in microseconds", no_short, default = "0")]
    service_us: u64,
    #[options(help = "use exponentially distributed service times", no_short)]
    exponential: bool,
    #[options(
        help = "maximum running and waiting requests, 0 for no limit",
        no_short,
        default = "0"
    )]
    shed_limit: u32,
    #[options(help = "minimum cold start time in milliseconds", no_short, default = "0")]
    cold_ms: u64,
    #[options(help = "requests until the target is warm", no_short, default = "0")]
    cold_requests: u32,
    #[options(help = "slots at the start of a cold start", no_short, default = "2")]
    cold_slots: u32,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let mut out = std::io::stdout();
    if args.version {
        let _ = writeln!(out, "poplarbarrow-target {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let result = config(&args).and_then(|config| run(config, &mut out));
    result.unwrap_or_else(|e| {
        let _ = writeln!(std::io::stderr(), "error: {e}");
        ExitCode::FAILURE
    })
}

fn config(args: &Args) -> Result<Config, Box<dyn std::error::Error>> {
    Ok(Config {
        listen: args.listen.parse::<SocketAddr>()?,
        name: CompactString::from(&args.name),
        seed: args.seed,
        restart_delay: None,
        behaviour: Behaviour {
            slots: args.slots,
            connections: args.connections,
            connect_us: args.connect_us,
            service_us: args.service_us,
            distribution: if args.exponential {
                Distribution::Exponential
            } else {
                Distribution::Fixed
            },
            shed_limit: args.shed_limit,
            cold_ms: args.cold_ms,
            cold_requests: args.cold_requests,
            cold_slots: args.cold_slots,
            ..Behaviour::default()
        },
        ..Config::default()
    })
}

#[tokio::main(worker_threads = 2)]
async fn run(config: Config, out: &mut impl Write) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut target = Target::start(config).await?;
    writeln!(out, "listening={}", target.addr())?;
    out.flush()?;
    tokio::select! {
        _ = term.recv() => {
            target.stop().await;
            Ok(ExitCode::SUCCESS)
        }
        () = target.terminated() => Ok(ExitCode::from(CRASH_EXIT_CODE)),
    }
}
