//! The operator program.

use std::{
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
};

use gumdrop::Options;
use poplarbarrow::{
    cli,
    demo::{self, Demo, DemoError},
    operator::{self, OperatorError},
    platform::{Http, http::Limits},
    settings::LogLevel,
};
use snafu::{ResultExt, Snafu};

/// Checks, compares and applies the configuration document, and shows the state of nodes.
///
/// Example: poplarbarrow check document.json
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help, or the help of a command")]
    help: bool,

    #[options(no_short, help = "print the version")]
    version: bool,

    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run the whole system in one process on loopback")]
    Demo(DemoArgs),

    #[options(help = "check a document offline and print every problem")]
    Check(Check),

    #[options(help = "print what a document would change")]
    Diff(Diff),

    #[options(help = "apply a document")]
    Apply(Apply),

    #[options(help = "print the state of a node")]
    Status(Status),
}

/// Runs a platform, ten targets and their nodes in one process on loopback until Ctrl-C.
///
/// Example: poplarbarrow demo
#[derive(Debug, Options)]
struct DemoArgs {
    #[options(help = "print this help")]
    help: bool,

    #[options(no_short, meta = "ADDR", help = "address for callers; 127.0.0.1:7480 if absent")]
    listen: Option<SocketAddr>,

    #[options(no_short, help = "log each event and decision to standard error")]
    log: bool,
}

/// Checks a document offline and prints every problem; exits with 1 if there are any.
///
/// Example: poplarbarrow check document.json
#[derive(Debug, Options)]
struct Check {
    #[options(help = "print this help")]
    help: bool,

    #[options(free, required, help = "the document as JSON")]
    file: PathBuf,
}

/// Prints the revision in force and what a document would change in it.
///
/// Example: poplarbarrow diff document.json --platform 127.0.0.1:7400
#[derive(Debug, Options)]
struct Diff {
    #[options(help = "print this help")]
    help: bool,

    #[options(free, required, help = "the document as JSON")]
    file: PathBuf,

    #[options(meta = "ADDR", required, help = "address of the platform")]
    platform: Option<SocketAddr>,

    #[options(no_short, help = "print one line of JSON")]
    json: bool,
}

/// Applies a document as the revision after the expected one; prints the changes of another revision that came first.
///
/// Example: poplarbarrow apply document.json --platform 127.0.0.1:7400 --expect 41
#[derive(Debug, Options)]
struct Apply {
    #[options(help = "print this help")]
    help: bool,

    #[options(free, required, help = "the document as JSON")]
    file: PathBuf,

    #[options(meta = "ADDR", required, help = "address of the platform")]
    platform: Option<SocketAddr>,

    #[options(meta = "REVISION", required, help = "revision in force; 0 if there is none")]
    expect: u64,

    #[options(no_short, meta = "ID", help = "repeat a submission whose outcome was unknown")]
    submission: Option<String>,
}

/// A command failed.
#[derive(Debug, Snafu)]
enum RunError {
    #[snafu(display("{source}"))]
    Operator { source: OperatorError },
    #[snafu(display("{source}"))]
    Demo { source: DemoError },
}

/// Prints the state of a node and the members that it knows.
///
/// Example: poplarbarrow status --node 127.0.0.1:7300
#[derive(Debug, Options)]
struct Status {
    #[options(help = "print this help")]
    help: bool,

    #[options(meta = "ADDR", required, help = "operator address of the node")]
    node: Option<SocketAddr>,

    #[options(meta = "TOKEN", help = "token from the settings of the node")]
    token: Option<String>,

    #[options(no_short, help = "print one line of JSON")]
    json: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = match cli::parse("poplarbarrow") {
        Ok(args) => args,
        Err(code) => return code,
    };
    let mut out = io::stdout().lock();
    if args.version {
        let _ = writeln!(out, "poplarbarrow {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = args.command else {
        let _ = writeln!(io::stderr(), "poplarbarrow: a command is required; see --help");
        return ExitCode::from(2);
    };
    match run(command, &mut out).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let _ = writeln!(io::stderr(), "poplarbarrow: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command, out: &mut impl Write) -> Result<(), RunError> {
    if let Command::Demo(args) = command {
        return demo(args, out).await.context(DemoSnafu);
    }
    run_operator_command(command, out).await.context(OperatorSnafu)
}

async fn demo(args: DemoArgs, out: &mut impl Write) -> Result<(), DemoError> {
    let level = if args.log { LogLevel::Info } else { LogLevel::Error };
    let demo = Demo::start(args.listen.unwrap_or(demo::DEFAULT_CALLERS_ADDR), level).await?;
    demo.describe(out)?;
    let _ = out.flush();
    // If the handler for Ctrl-C cannot be installed, the demo stops immediately.
    let _ = tokio::signal::ctrl_c().await;
    demo.stop().await;
    Ok(())
}

async fn run_operator_command(command: Command, out: &mut impl Write) -> Result<(), OperatorError> {
    match command {
        Command::Demo(_) => Ok(()),
        Command::Check(args) => operator::check(&args.file, out),
        Command::Diff(args) => {
            operator::diff(&args.file, &http_platform(args.platform), args.json, out).await
        }
        Command::Status(args) => {
            let node = args.node.expect("the option is required");
            operator::status(node, args.token.as_deref(), args.json, out).await
        }
        Command::Apply(args) => {
            let platform = http_platform(args.platform);
            let expect = args.expect;
            let submission = args.submission.as_deref();
            operator::apply(&args.file, &platform, expect, submission, out).await
        }
    }
}

fn http_platform(address: Option<SocketAddr>) -> Http {
    // The field is an `Option` because `gumdrop` needs a default for each field and an address has none.
    let address = address.expect("the option is required");
    Http::new(address, Limits::default())
}
