//! Responses to the feed requests of entry VMs and other control VMs.

use std::time::Duration;

use bytes::Bytes;
use catalog::Catalog;
use discovery::{Origin, Row, Update};
use tokio::time::{Instant, sleep_until, timeout_at};
use world::{MachineName, Result};

use crate::control_vm::{ControlVm, SETTLE_TIME};
use crate::feed::{self, FeedRequest, FeedResponse, Reader};

/// Longest time that a feed request waits for a change, and so the interval at which
/// readers announce themselves. Four of these fit into
/// [`discovery::RegistrySettings::machine_timeout_ms`].
const FEED_WAIT: Duration = Duration::from_millis(500);

/// Least delay of a response to a reader with a cursor, in which changes are batched.
const BATCH_DELAY: Duration = Duration::from_millis(100);

impl ControlVm {
    /// Handles a feed request. Waits up to 500 ms for a change. Returns the encoded
    /// response.
    ///
    /// # Errors
    /// [`world::ErrorKind::Internal`] when the response can't be encoded.
    pub async fn feed(&self, request: FeedRequest) -> Result<Bytes> {
        let FeedRequest {
            reader,
            me,
            boot,
            cursor,
            catalog_index,
            findings,
            relayed,
        } = request;
        let news = Update {
            row: me,
            age_ms: 0,
            lost: false,
        };
        let findings = findings.into_iter().filter(|f| f.row.is_finding());
        match &news.row {
            // The reader itself answers all others, so its row is not passed on.
            Row::Control(row) => {
                let origin = Origin::ControlVm(row.name.clone());
                self.merge_from(&origin, std::iter::once(news));
            }
            _ => self.merge(std::iter::once(news).chain(findings)),
        }
        let cursor = if boot == self.boot { cursor } else { 0 };
        let wait_until = Instant::now() + FEED_WAIT;
        match reader {
            Reader::Entry => self.await_change(cursor, catalog_index, wait_until).await,
            Reader::Control => self.await_row(cursor, wait_until).await,
        }
        let whole = cursor == 0 && reader == Reader::Entry;
        let now = Instant::now();
        if whole && let Some(payload) = self.whole.get(catalog_index, now) {
            return Ok(payload);
        }
        let payload = feed::encode(&self.response(reader, cursor, catalog_index, &relayed))?;
        if whole {
            self.whole.keep(&payload, catalog_index, now);
        }
        Ok(payload)
    }

    /// Waits for a change of the registry or of the catalog that matters to entry VMs.
    async fn await_change(&self, cursor: u64, catalog_index: u64, until: Instant) {
        if cursor > 0 {
            // Readers come back at different times, so that a change does not wake all.
            let batch = BATCH_DELAY.mul_f64(1.0 + rand::random::<f64>());
            sleep_until(Instant::now() + batch).await;
        }
        let mut changed = self.newest_change.subscribe();
        let mut applied = self.catalog.applied();
        loop {
            let behind = *changed.borrow_and_update() > cursor;
            applied.borrow_and_update();
            if behind || self.catalog.read_local(Catalog::index) > catalog_index {
                return;
            }
            tokio::select! {
                _ = changed.changed() => {}
                _ = applied.changed() => {}
                () = sleep_until(until) => return,
            }
        }
    }

    /// Waits for any new row of the registry.
    async fn await_row(&self, cursor: u64, until: Instant) {
        sleep_until(Instant::now() + BATCH_DELAY).await;
        let mut newest_row = self.newest_row.subscribe();
        let newer = newest_row.wait_for(|clock| *clock > cursor);
        // After the wait a response without changes is sent.
        let _ = timeout_at(until, newer).await;
    }

    fn response(
        &self,
        reader: Reader,
        cursor: u64,
        catalog_index: u64,
        relayed: &[MachineName],
    ) -> FeedResponse {
        let now = Instant::now();
        let (news, next) = {
            let registry = self.registry.lock();
            let news = match reader {
                Reader::Entry => registry.changed_since(cursor, now),
                Reader::Control => registry.announced_since(cursor, relayed, now),
            };
            (news, registry.clock())
        };
        let (findings, news) = news.into_iter().partition(|news| news.row.is_finding());
        let (catalog, index) = match reader {
            Reader::Entry => self.catalog.read_local(|catalog| {
                (catalog.since_without_source(catalog_index), catalog.index())
            }),
            Reader::Control => (Vec::new(), 0),
        };
        FeedResponse {
            boot: self.boot,
            cursor: next,
            whole: cursor == 0,
            current: self.catalog.is_current(),
            settled: self.started_at.elapsed() >= SETTLE_TIME,
            catalog_index: index,
            catalog,
            news,
            findings,
        }
    }
}
