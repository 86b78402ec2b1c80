//! The stand-in target: an HTTP/1.1 server with limited capacity and faults that can be switched at run time.
//!
//! It runs in-process ([`Target::start`]) and as the program `poplarbarrow-target`. Paths under `/-/` observe
//! and control it; every other path is a request that takes a slot:
//!
//! | path | answer |
//! |---|---|
//! | `GET /-/health` | 200 or 503; may lag or be forced |
//! | `GET /-/load` | [`LoadView`]; may lag or be wrong |
//! | `GET /-/control` | the [`Behaviour`] in force |
//! | `POST /-/control` | changes the given fields; `"action"` may be `crash` or `cold` |
//! | `GET /-/ran?id=ID` | [`Runs`] of the requests with that `x-request-id` |
//! | `GET /-/ran` | [`Totals`] |

mod behaviour;
mod cold;
mod handler;
mod history;
mod ledger;
mod server;
mod state;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use compact_str::CompactString;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

pub use behaviour::{Behaviour, BehaviourError, Distribution};
pub use cold::capacity;
pub use history::LoadView;
pub use ledger::{Runs, Totals};

use state::Shared;

/// The header that marks a request on which the target crashes (value `1`).
pub const CRASH_HEADER: &str = "x-standin-crash";
/// The header by which runs are counted.
pub const ID_HEADER: &str = "x-request-id";
/// The answer header with the target's name.
pub const NAME_HEADER: &str = "x-standin-target";
/// The answer header with the BLAKE3 digest of the request body in hexadecimal.
pub const DIGEST_HEADER: &str = "x-standin-digest";
/// The answer header that says why the target did not do the work: `shed`, `drain`, `cold`, `fail`, `route`
/// or `deadline`.
pub const REASON_HEADER: &str = "x-standin-reason";

/// The settings of a stand-in target that stay fixed while it runs, and its first behaviour.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// The name in the answer header `x-standin-target`.
    pub name: CompactString,
    /// The seed of service times and fault rates.
    pub seed: u64,
    /// The time a crashed target stays down; without it, the target stays down for good.
    pub down: Option<Duration>,
    /// The longest time that a graceful stop waits for requests in progress.
    pub grace: Duration,
    /// The first behaviour.
    pub behaviour: Behaviour,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: CompactString::const_new("target"),
            seed: 1,
            down: Some(Duration::from_millis(100)),
            grace: Duration::from_secs(10),
            behaviour: Behaviour::default(),
        }
    }
}

/// An error at the start of a stand-in target.
#[derive(Debug, Snafu)]
pub enum TargetError {
    /// The address cannot be bound.
    #[snafu(display("cannot listen on {listen}"))]
    Listen {
        /// The address.
        listen: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The first behaviour is invalid.
    #[snafu(display("invalid behaviour"))]
    Invalid {
        /// The cause.
        source: BehaviourError,
    },
}

/// A running stand-in target. Dropping the handle ends it at once.
#[derive(Debug)]
pub struct Target {
    addr: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Target {
    /// Binds the address and starts to serve on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the behaviour is invalid or the address cannot be bound.
    pub async fn start(config: Config) -> Result<Target, TargetError> {
        config.behaviour.check().context(InvalidSnafu)?;
        let listen = config.listen;
        let listener = TcpListener::bind(listen).await.context(ListenSnafu { listen })?;
        let addr = listener.local_addr().context(ListenSnafu { listen })?;
        let shared = Arc::new(Shared::new(&config));
        let stop = CancellationToken::new();
        let task = tokio::spawn(server::serve(
            shared.clone(),
            listener,
            addr,
            server::Times { down: config.down, grace: config.grace },
            stop.clone(),
        ));
        Ok(Target { addr, shared, stop, task })
    }

    /// Returns the bound address, which stays the same across crashes.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the behaviour in force.
    pub fn behaviour(&self) -> Behaviour {
        self.shared.behaviour()
    }

    /// Changes the behaviour in force.
    ///
    /// # Errors
    ///
    /// Fails without a change if the result is invalid.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) -> Result<(), BehaviourError> {
        self.shared.change(|b| {
            change(b);
            Ok(())
        })
    }

    /// Crashes the target: all connections break, and it goes down for the configured time.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Puts the target back into cold start without any sign to its callers.
    pub fn chill(&self) {
        self.shared.chill();
    }

    /// Returns how often requests with this `x-request-id` ran.
    pub fn runs(&self, id: &str) -> Runs {
        self.shared.runs(id)
    }

    /// Returns the totals over all requests.
    pub fn totals(&self) -> Totals {
        self.shared.totals()
    }

    /// Returns the true load, without the configured lag or error.
    pub fn load(&self) -> LoadView {
        self.shared.load()
    }

    /// Waits until the target has ended: after a crash with no `down` time, or after a stop.
    pub async fn ended(&mut self) {
        // An error means a panic or an abort of the serving task; the target has ended in both cases.
        let _ = (&mut self.task).await;
    }

    /// Stops gracefully: accepts nothing new and lets requests in progress finish within the configured time.
    pub async fn stop(mut self) {
        self.stop.cancel();
        self.ended().await;
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.task.abort();
        self.shared.crash();
    }
}
