//! The node program, which runs next to a target.

use std::{
    io::{self, Write},
    path::{Path, PathBuf},
    process::ExitCode,
};

use gumdrop::Options;
use poplarbarrow::{
    logging,
    node::{Node, NodeError},
    settings::{Settings, SettingsError},
};
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{SignalKind, signal};

/// Runs a node until SIGTERM or SIGINT, then stops it gracefully.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(help = "check the settings and exit", no_short)]
    check: bool,
    #[options(free, help = "settings file in JSON")]
    settings: Option<PathBuf>,
}

/// The node cannot be started.
#[derive(Debug, Snafu)]
enum RunError {
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
    #[snafu(display("{source}"))]
    Node { source: NodeError },
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime { source: io::Error },
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        let _ = writeln!(io::stdout(), "poplarbarrow-node {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = &args.settings else {
        let _ = writeln!(io::stderr(), "error: a settings file is required; see --help");
        return ExitCode::FAILURE;
    };
    match run(path, args.check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(io::stderr(), "error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(path: &Path, check: bool) -> Result<(), RunError> {
    let settings = Settings::load(path).context(SettingsSnafu)?;
    if check {
        let _ = writeln!(io::stdout(), "{}: no fault found", path.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.context(RuntimeSnafu)?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), RunError> {
    // Without a handler, a signal that arrives during the start would end the process without a graceful stop.
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    let log = logging::logger(settings.log);
    let node = Node::start(settings, log).await.context(NodeSnafu)?;
    let addresses = node.addresses();
    let _ = writeln!(
        io::stdout(),
        "node={} callers={} peers={} control={} gossip={} operator={}",
        node.id(),
        addresses.callers,
        addresses.peers,
        addresses.control,
        addresses.gossip,
        addresses.operator
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop();
    node.stopped().await;
    Ok(())
}
