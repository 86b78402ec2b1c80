//! The stand-in target: an HTTP/1.1 server with limited capacity and faults that are set at run time.
//!
//! It runs in-process ([`Target::start`]) and as the program `poplarbarrow-target`. Paths under `/-/` observe
//! and control it; a request to any other path occupies a slot:
//!
//! | path | response |
//! |---|---|
//! | `GET /-/health` | 200 or 503; may be delayed or forced |
//! | `GET /-/load` | [`LoadView`]; may be delayed or scaled |
//! | `GET /-/control` | the current [`Behaviour`] |
//! | `POST /-/control` | changes the given fields; `"action"` may be `crash` or `cold` |
//! | `GET /-/ran?id=ID` | [`Runs`] of the requests with that `x-request-id` |
//! | `GET /-/ran` | [`Totals`] |

mod behaviour;
mod cold_start;
mod handler;
mod history;
mod run_counter;
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
pub use cold_start::capacity;
pub use history::LoadView;
pub use run_counter::{Runs, Totals};

use state::Shared;

/// The request header that makes the target crash (value `1`).
pub const CRASH_HEADER: &str = "x-standin-crash";
/// The request header with the id by which executions are counted.
pub const ID_HEADER: &str = "x-request-id";
/// The response header with the target's name.
pub const NAME_HEADER: &str = "x-standin-target";
/// The response header with the BLAKE3 digest of the request body in hexadecimal.
pub const DIGEST_HEADER: &str = "x-standin-digest";
/// The response header that says why the target did not complete the request: `shed`, `drain`, `cold`, `fail`, `route`
/// or `deadline`.
pub const REASON_HEADER: &str = "x-standin-reason";

/// The fixed settings of a stand-in target and its initial behaviour.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// The name in the response header `x-standin-target`.
    pub name: CompactString,
    /// The seed for random service times and faults.
    pub seed: u64,
    /// The delay before a crashed target restarts; without it, the target does not restart.
    pub restart_delay: Option<Duration>,
    /// The maximum time that a graceful stop waits for requests in progress.
    pub grace: Duration,
    /// The initial behaviour.
    pub behaviour: Behaviour,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: CompactString::const_new("target"),
            seed: 1,
            restart_delay: Some(Duration::from_millis(100)),
            grace: Duration::from_secs(10),
            behaviour: Behaviour::default(),
        }
    }
}

/// An error when a stand-in target starts.
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
    /// The initial behaviour is invalid.
    #[snafu(display("invalid behaviour"))]
    Invalid {
        /// The cause.
        source: BehaviourError,
    },
}

/// A running stand-in target, which is aborted on drop.
#[derive(Debug)]
pub struct Target {
    addr: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Target {
    /// Binds the address and starts serving on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the behaviour is invalid or the address cannot be bound.
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
            server::Timing { restart_delay: config.restart_delay, grace: config.grace },
            stop.clone(),
        ));
        Ok(Target { addr, shared, stop, task })
    }

    /// Returns the bound address, which stays the same across crashes.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the current behaviour.
    pub fn behaviour(&self) -> Behaviour {
        self.shared.behaviour()
    }

    /// Changes the current behaviour.
    ///
    /// # Errors
    ///
    /// Returns an error and changes nothing if the resulting behaviour is invalid.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) -> Result<(), BehaviourError> {
        self.shared.change(|b| {
            change(b);
            Ok(())
        })
    }

    /// Crashes the target: closes all connections and the listener until the restart delay has passed.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Starts a new cold start without any event that callers could observe, such as a closed connection.
    pub fn enter_cold_start(&self) {
        self.shared.enter_cold_start();
    }

    /// Returns how often requests with this `x-request-id` were executed.
    pub fn runs(&self, id: &str) -> Runs {
        self.shared.runs(id)
    }

    /// Returns the totals over all requests.
    pub fn totals(&self) -> Totals {
        self.shared.totals()
    }

    /// Returns the actual load, without the configured lag or factor.
    pub fn load(&self) -> LoadView {
        self.shared.load()
    }

    /// Waits until the target has terminated: after a stop, or after a crash without a restart delay.
    pub async fn terminated(&mut self) {
        // An error means that the serving task panicked or was aborted; the target has terminated in both cases.
        let _ = (&mut self.task).await;
    }

    /// Stops gracefully: refuses new connections and waits up to `grace` for requests in progress.
    pub async fn stop(mut self) {
        self.stop.cancel();
        self.terminated().await;
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.task.abort();
        self.shared.crash();
    }
}
