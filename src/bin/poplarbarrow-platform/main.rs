//! The stand-in platform program.

use std::{
    io::{self, Write},
    net::SocketAddr,
    process::ExitCode,
};

use gumdrop::Options;
use poplarbarrow::{cli, platform::Memory, standin};
use tokio::{
    net::TcpListener,
    signal::{
        ctrl_c,
        unix::{SignalKind, signal},
    },
};
use tokio_util::sync::CancellationToken;

/// Serves a key-value platform from memory, with call counters (GET /stats) and fault injection (POST /control).
///
/// Example: poplarbarrow-platform --listen 127.0.0.1:7400
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(no_short, help = "print the version")]
    version: bool,

    #[options(meta = "ADDR", help = "address to listen on; port 0 selects a free port")]
    listen: Option<SocketAddr>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = match cli::parse("poplarbarrow-platform") {
        Ok(args) => args,
        Err(code) => return code,
    };
    if args.version {
        let _ = writeln!(io::stdout(), "poplarbarrow-platform {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let _ = writeln!(io::stderr(), "poplarbarrow-platform: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> io::Result<()> {
    let listen = args.listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let mut terminate = signal(SignalKind::terminate())?;
    let listener = TcpListener::bind(listen).await?;
    writeln!(io::stdout(), "listening={}", listener.local_addr()?)?;
    let stop = CancellationToken::new();
    let guard = stop.clone().drop_guard();
    let server = tokio::spawn(standin::platform::serve(listener, Memory::new(), stop));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = ctrl_c() => {}
    }
    drop(guard);
    server.await?
}
