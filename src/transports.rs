//! Measures the cost per call of two transports between nodes on loopback: HTTP/2 streams and `tarpc`.
//!
//! Both use one TCP connection without Nagle's algorithm and echo the request body. Client and server are separate
//! runtimes in one process, so the processor time of a call includes both sides and the kernel's work for them. The
//! results are in `docs/measurements.md`.

mod http2;
mod rpc;

use std::{
    fmt, io,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};
use tokio::runtime::{Builder, Runtime};

use crate::{
    openloop::{MAX_REQUESTS, MAX_ROUNDS, MIN_ROUNDS, Spread},
    usage::cpu_time,
};

/// The body sizes in bytes that are compared.
pub const SIZES: [usize; 2] = [100, 64 << 10];
/// The maximum number of concurrent calls.
pub const MAX_WIDTH: u32 = 64;
/// The number of worker threads of each runtime.
const WORKER_THREADS: usize = 2;
/// The number of measured calls per warm-up call. The warm-up calls precede the measurement.
const WARM_UP_DIVISOR: u32 = 10;
/// The highest latency that the histogram records; higher ones are recorded as this value.
const MAX_LATENCY: Duration = Duration::from_secs(10);

/// The parameters of a measurement.
#[derive(Copy, Clone, Debug)]
pub struct Trial {
    /// Calls per transport, size and round.
    pub count: u32,
    /// The number of concurrent closed loops of calls.
    pub width: u32,
    /// The number of rounds.
    pub rounds: u32,
    /// The seed for the bodies and for the order of the cases within a round.
    pub seed: u64,
}

/// An error of a measurement.
#[derive(Debug, Snafu)]
pub enum TransportError {
    /// A value lies outside its bounds.
    #[snafu(display("{name} must be from {min} to {max}"))]
    Bounds {
        /// The value.
        name: &'static str,
        /// Its lower bound.
        min: u32,
        /// Its upper bound.
        max: u32,
    },
    /// A socket or runtime could not be opened, or the processor time could not be read.
    #[snafu(display("I/O error: {source}"))]
    Io {
        /// The cause.
        source: io::Error,
    },
    /// An HTTP/2 call failed.
    #[snafu(display("HTTP/2 call failed: {source}"))]
    Http2 {
        /// The cause.
        source: hyper::Error,
    },
    /// A `tarpc` call failed.
    #[snafu(display("tarpc call failed: {source}"))]
    Rpc {
        /// The cause.
        source: tarpc::client::RpcError,
    },
    /// The answer differs from the request body.
    #[snafu(display("the answer differs from the request"))]
    Mismatch,
}

/// A transport between nodes.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Transport {
    /// One HTTP/2 stream per call.
    Http2,
    /// One `tarpc` request per call, with the bincode codec.
    Tarpc,
}

impl fmt::Display for Transport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Transport::Http2 => "HTTP/2",
            Transport::Tarpc => "tarpc",
        })
    }
}

/// The result of one transport and size in one round, in microseconds.
#[derive(Copy, Clone, Debug, PartialEq, Serialize)]
pub struct Sample {
    /// The transport.
    pub transport: Transport,
    /// The size of request and answer bodies in bytes.
    pub bytes: usize,
    /// Median latency.
    pub p50: f64,
    /// 99th percentile of the latency.
    pub p99: f64,
    /// Processor time of client and server per call.
    pub cpu: f64,
}

/// The spread of one transport and size over the rounds, in microseconds.
#[derive(Copy, Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The transport.
    pub transport: Transport,
    /// The size of request and answer bodies in bytes.
    pub bytes: usize,
    /// Median latency.
    pub p50: Spread,
    /// 99th percentile of the latency.
    pub p99: Spread,
    /// Processor time of client and server per call.
    pub cpu: Spread,
}

/// The results over all rounds; displayed as a Markdown table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Table(pub Vec<Row>);

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "| body | transport | p50, us | p99, us | processor time per call, us |")?;
        writeln!(f, "|---|---|---|---|---|")?;
        for Row { transport, bytes, p50, p99, cpu } in &self.0 {
            writeln!(f, "| {bytes} B | {transport} | {p50} | {p99} | {cpu} |")?;
        }
        Ok(())
    }
}

/// Runs the measurement, in a new random order of the cases in each round.
///
/// # Errors
///
/// Returns an error if a parameter is out of bounds or a call fails.
pub fn run(trial: &Trial, mut progress: impl FnMut(u32, &Sample)) -> Result<Table, TransportError> {
    trial.check()?;
    let server = runtime()?;
    let client = runtime()?;
    let http2 = server.block_on(http2::listen()).context(IoSnafu)?;
    let rpc = server.block_on(rpc::listen()).context(IoSnafu)?;
    let clients = [
        (Transport::Http2, client.block_on(http2::Client::connect(http2)).map(Client::Http2)?),
        (Transport::Tarpc, client.block_on(rpc::Client::connect(rpc)).map(Client::Tarpc)?),
    ];
    let mut cases: Vec<_> = SIZES.iter().flat_map(|s| clients.iter().map(|c| (*s, c))).collect();
    let mut rng = SmallRng::seed_from_u64(trial.seed);
    let mut samples = Vec::new();
    for round in 1..=trial.rounds {
        cases.shuffle(&mut rng);
        for (bytes, (transport, caller)) in &cases {
            let body: Bytes = (0..*bytes).map(|_| rng.random::<u8>()).collect();
            let warm_up = trial.count.div_ceil(WARM_UP_DIVISOR);
            measure(&client, caller, &body, warm_up, trial.width)?;
            let cpu = cpu_time("self").context(IoSnafu)?;
            let latency = measure(&client, caller, &body, trial.count, trial.width)?;
            let cpu = cpu_time("self").context(IoSnafu)?.saturating_sub(cpu);
            let us = |ns: u64| ns as f64 / 1000.0;
            let sample = Sample {
                transport: *transport,
                bytes: *bytes,
                p50: us(latency.value_at_quantile(0.5)),
                p99: us(latency.value_at_quantile(0.99)),
                cpu: us(cpu) / latency.len() as f64,
            };
            progress(round, &sample);
            samples.push(sample);
        }
    }
    Ok(Table::new(&samples))
}

impl Trial {
    fn check(&self) -> Result<(), TransportError> {
        let bound = |name, value: u32, min: u32, max: u32| {
            ensure!((min..=max).contains(&value), BoundsSnafu { name, min, max });
            Ok(())
        };
        bound("count", self.count, 1, MAX_REQUESTS)?;
        bound("rounds", self.rounds, MIN_ROUNDS, MAX_ROUNDS)?;
        bound("width", self.width, 1, MAX_WIDTH)
    }
}

impl Table {
    /// Groups the samples of all rounds by size and transport.
    pub fn new(samples: &[Sample]) -> Table {
        let mut keys: Vec<_> = samples.iter().map(|s| (s.bytes, s.transport)).collect();
        keys.sort_unstable();
        keys.dedup();
        let row = |(bytes, transport): (usize, Transport)| {
            let of = |value: fn(&Sample) -> f64| {
                let case = samples.iter().filter(|s| (s.bytes, s.transport) == (bytes, transport));
                Spread::of(case.map(value))
            };
            let (p50, p99, cpu) = (of(|s| s.p50)?, of(|s| s.p99)?, of(|s| s.cpu)?);
            Some(Row { transport, bytes, p50, p99, cpu })
        };
        Table(keys.into_iter().filter_map(row).collect())
    }
}

#[derive(Clone)]
enum Client {
    Http2(http2::Client),
    Tarpc(rpc::Client),
}

impl Client {
    async fn call(&self, body: &Bytes) -> Result<(), TransportError> {
        let answer = match self {
            Client::Http2(c) => c.call(body.clone()).await?,
            Client::Tarpc(c) => c.call(body.clone()).await?,
        };
        ensure!(answer == *body, MismatchSnafu);
        Ok(())
    }
}

fn measure(
    runtime: &Runtime,
    client: &Client,
    body: &Bytes,
    count: u32,
    width: u32,
) -> Result<Histogram<u64>, TransportError> {
    let loops: Vec<_> = (0..width)
        .map(|n| {
            let (client, body) = (client.clone(), body.clone());
            let share = count / width + u32::from(n < count % width);
            runtime.spawn(async move {
                let mut latency = histogram();
                for _ in 0..share {
                    let start = Instant::now();
                    client.call(&body).await?;
                    let ns = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
                    latency.saturating_record(ns);
                }
                Ok(latency)
            })
        })
        .collect();
    let mut all = histogram();
    for result in runtime.block_on(futures::future::join_all(loops)) {
        let latency = result.map_err(io::Error::other).context(IoSnafu)??;
        all.add(latency).expect("both histograms have the same bounds");
    }
    Ok(all)
}

fn histogram() -> Histogram<u64> {
    let max = u64::try_from(MAX_LATENCY.as_nanos()).unwrap_or(u64::MAX);
    Histogram::new_with_bounds(1, max, 3).expect("the bounds are valid")
}

fn runtime() -> Result<Runtime, TransportError> {
    let runtime = Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build();
    runtime.context(IoSnafu)
}

#[cfg(test)]
mod tests;
