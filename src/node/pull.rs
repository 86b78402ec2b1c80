//! Control calls to other members: pulls of newer documents, and handovers of outcomes.

use std::sync::Arc;

use tokio::{sync::mpsc, time};

use crate::{
    auth::RequestKey,
    config::{PULL_TIMEOUT, Replica},
    control::{self, ControlError},
    driver::Driver,
    event::Event,
};

use super::sinks::{OutgoingHandover, Pull};

/// Pulls newer documents from other members.
pub(super) struct Puller {
    pub(super) driver: Arc<Driver>,
    pub(super) replica: Replica,
    pub(super) key: RequestKey,
}

impl Puller {
    pub(super) async fn run(self, mut requested: mpsc::UnboundedReceiver<Pull>) {
        while let Some(pull) = requested.recv().await {
            let pulled = time::timeout(PULL_TIMEOUT, self.pull(pull)).await;
            if let Ok(Err(error)) = pulled {
                slog::warn!(self.driver.log(), "pull-failed"; "from" => %pull.from,
                    "error" => %error);
            }
            self.driver.dispatch(Event::PullEnded);
        }
    }

    async fn pull(&self, pull: Pull) -> Result<(), ControlError> {
        let Pull { from, control } = pull;
        let pulled = control::pull(control, from, self.key.clone(), &self.replica).await?;
        if let Some((revision, document)) = pulled {
            self.driver.dispatch(Event::Document { revision, document });
        }
        Ok(())
    }
}

/// Transfers outcomes to other members and reports the end of each transfer.
pub(super) async fn hand_over(
    mut requested: mpsc::UnboundedReceiver<OutgoingHandover>,
    driver: Arc<Driver>,
    key: RequestKey,
) {
    while let Some(OutgoingHandover { to, control, handover }) = requested.recv().await {
        let call = async {
            let client = control::Client::connect(control, to, key.clone()).await?;
            client.hand_over(handover).await
        };
        match call.await {
            Ok(true) => {}
            Ok(false) => slog::warn!(driver.log(), "hand-over-refused"; "to" => %to),
            Err(error) => {
                slog::warn!(driver.log(), "hand-over-failed"; "to" => %to, "error" => %error);
            }
        }
        driver.dispatch(Event::HandoverEnded);
    }
}
