//! Polls the health endpoint of the local target.
//!
//! The answers report the target's slowdown, its lifetime id and its cold start. Further checks are made when requests
//! wait for the slowdown. The polls also keep idle connections in use.

use std::{sync::Arc, time::Duration};

use compact_str::CompactString;
use http::{HeaderMap, Request, StatusCode};
use tokio::{
    sync::{Notify, watch},
    time,
};

use crate::{
    driver::Driver,
    event::Event,
    forwarder::read_load,
    headers::{self, HeaderNames},
    payload::{Body, Payload},
    pool::{Pool, SendError},
    target::Health,
};

/// Interval between health checks. The slowdown of a target changes several times per second.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// Delay after a failed health check.
const RETRY_INTERVAL: Duration = Duration::from_millis(80);

/// Timeout of a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of consecutive unanswered health checks after which the target is considered unreachable.
const MAX_UNANSWERED: u32 = 3;

/// The longest cold start that is taken for one. A longer one is an error of the target.
const MAX_COLD: Duration = Duration::from_secs(3_600);

/// Why a health check failed. A refused connection marks the target as unreachable at once.
enum CheckError {
    Refused,
    NoAnswer,
}

/// Polls the health endpoint until the sender of `path` is dropped. `check_now` requests a check before the next interval
/// is over.
pub(crate) async fn monitor(
    pool: Pool,
    host: String,
    names: Arc<HeaderNames>,
    mut path: watch::Receiver<Option<CompactString>>,
    check_now: Arc<Notify>,
    driver: Arc<Driver>,
) {
    let mut unanswered = 0;
    loop {
        let Ok(current) = path.wait_for(Option::is_some).await.map(|path| path.clone()) else {
            return;
        };
        let current = current.unwrap_or_default();
        match check(&pool, &host, &names, &current).await {
            Ok(health) => {
                unanswered = 0;
                driver.dispatch(Event::Health(Some(health)));
                let _ = time::timeout(CHECK_INTERVAL, check_now.notified()).await;
            }
            Err(error) => {
                unanswered = if matches!(error, CheckError::Refused) {
                    MAX_UNANSWERED
                } else {
                    unanswered + 1
                };
                if unanswered >= MAX_UNANSWERED {
                    driver.dispatch(Event::Health(None));
                }
                time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn check(
    pool: &Pool,
    host: &str,
    names: &HeaderNames,
    path: &str,
) -> Result<Health, CheckError> {
    let req = Request::get(path).header(http::header::HOST, host).body(Body::default());
    let req = req.map_err(|_| CheckError::NoAnswer)?;
    let exchange = async {
        let (answer, conn) = pool.send(req).await.map_err(|error| match error {
            SendError::Unreachable => CheckError::Refused,
            SendError::NotSent | SendError::Lost => CheckError::NoAnswer,
        })?;
        let (parts, body) = answer.into_parts();
        if parts.headers.get(&names.request_id).is_some_and(|id| !id.is_empty()) {
            // This answers a request that was sent on the connection earlier.
            return Err(CheckError::NoAnswer);
        }
        let payload = Payload::read(body).await.map_err(|_| CheckError::NoAnswer)?;
        if payload.is_complete() {
            conn.release();
        }
        Ok(parts)
    };
    let parts =
        time::timeout(CHECK_TIMEOUT, exchange).await.map_err(|_| CheckError::NoAnswer)??;
    Ok(parse(parts.status, &parts.headers, names))
}

fn parse(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> Health {
    let load = read_load(headers, names);
    let cold = headers::text(headers, &names.cold).and_then(|ms| ms.parse::<f64>().ok());
    let cold = cold.and_then(|ms| Duration::try_from_secs_f64(ms / 1_000.0).ok());
    Health {
        is_healthy: status.is_success(),
        id: headers::text(headers, &names.instance).map(CompactString::from),
        slowdown: load.and_then(|load| load.slowdown),
        slots: load.and_then(|load| load.slots),
        cold_left: cold.filter(|cold| *cold <= MAX_COLD).unwrap_or_default(),
    }
}
