//! Responses to the feed requests of entry VMs and other control VMs.

use std::time::Duration;

use bytes::Bytes;
use catalog::{Catalog, Position};
use discovery::{Changes, Origin, Row, Update};
use tokio::time::{Instant, sleep_until, timeout_at};
use wire::body::Feed;
use world::{Error, ErrorKind, Result};

use crate::control_vm::{ControlVm, SETTLE_TIME};
use crate::feed::{self, FeedRequest, FeedResponse, PIECE_BYTES_MAX, Reader};
use crate::pack::pack;
use crate::shared_responses::SharedResponses;

/// Longest time that a feed request waits for a change, and so the interval at which
/// readers announce themselves. Four of these fit into
/// [`discovery::RegistrySettings::machine_timeout_ms`].
const FEED_WAIT: Duration = Duration::from_millis(500);

/// Least delay of a response to a reader with a cursor, in which changes are batched.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// What readers have that can share a response with rows of the registry: the cursor, and
/// the catalog index of a reader that gets the catalog in the same message.
type RegistryKey = (u64, Option<u64>);

/// Responses that several readers get.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// Messages with rows of the registry.
    registry: SharedResponses<RegistryKey, Bytes>,
    /// Pieces of the catalog, by position and by the catalog index of this control VM.
    catalog: SharedResponses<(Position, u64), CatalogPart>,
}

/// An encoded piece of the catalog.
#[derive(Clone, Debug, Default)]
struct CatalogPart {
    packed: Bytes,
    /// Length before packing, bytes.
    bytes: usize,
}

impl ControlVm {
    /// Handles a feed request. Waits up to 500 ms for a change. Returns the encoded
    /// response.
    ///
    /// # Errors
    /// [`world::ErrorKind::Internal`] when the response can't be encoded.
    pub async fn feed(&self, mut request: FeedRequest) -> Result<Feed> {
        self.merge_reader(&mut request);
        if request.boot != self.boot {
            request.cursor = 0;
        }
        self.await_response_time(&request).await;
        let packed = request.paging.is_some();
        let catalog = if packed && request.takes_rows() && request.reader == Reader::Entry {
            self.catalog_part(&request.position())?
        } else {
            CatalogPart::default()
        };
        Ok(Feed {
            payload: self.payload(&request, catalog.bytes)?,
            catalog: catalog.packed,
            packed,
        })
    }

    /// Merges what a request tells of its reader.
    fn merge_reader(&self, request: &mut FeedRequest) {
        let news = Update {
            row: request.me.clone(),
            age_ms: 0,
            lost: false,
        };
        let findings = std::mem::take(&mut request.findings);
        let findings = findings.into_iter().filter(|f| f.row.is_finding());
        match &news.row {
            // The reader itself answers all others, so its row is not passed on.
            Row::Control(row) => {
                let origin = Origin::ControlVm(row.name.clone());
                self.merge_from(&origin, std::iter::once(news));
            }
            _ => self.merge(std::iter::once(news).chain(findings)),
        }
    }

    async fn await_response_time(&self, request: &FeedRequest) {
        let until = Instant::now() + FEED_WAIT;
        if !request.takes_rows() {
            sleep_until(until).await;
        } else if request.is_continued() {
            // The reader waits for the next piece.
        } else if request.reader == Reader::Entry {
            self.await_change(request.cursor, &request.position(), until)
                .await;
        } else {
            self.await_row(request.cursor, until).await;
        }
    }

    /// Waits for a change of the registry or of the catalog that matters to entry VMs.
    async fn await_change(&self, cursor: u64, position: &Position, until: Instant) {
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
            if behind || !position.covers(self.catalog.read_local(Catalog::index)) {
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

    /// Returns the piece of the catalog after a reader's position; empty when there is
    /// nothing after it.
    fn catalog_part(&self, position: &Position) -> Result<CatalogPart> {
        let index = self.catalog.read_local(Catalog::index);
        if position.covers(index) {
            return Ok(CatalogPart::default());
        }
        let (key, now) = ((position.clone(), index), Instant::now());
        if let Some(part) = self.shared.catalog.get(&key, now) {
            return Ok(part);
        }
        let piece = |catalog: &Catalog| catalog.piece(position, PIECE_BYTES_MAX);
        let piece = postcard::to_stdvec(&self.catalog.read_local(piece));
        let piece = piece.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
        let part = CatalogPart {
            packed: pack(&piece)?,
            bytes: piece.len(),
        };
        self.shared.catalog.keep(key, part.clone(), now);
        Ok(part)
    }

    /// Returns the encoded message with rows of the registry, beside `catalog_bytes` of the
    /// catalog.
    fn payload(&self, request: &FeedRequest, catalog_bytes: usize) -> Result<Bytes> {
        let in_transfer = request.cursor == 0 || request.is_continued();
        let is_shared = request.reader == Reader::Entry && request.takes_rows() && in_transfer;
        let unpaged = request.paging.is_none();
        let key = (request.cursor, unpaged.then_some(request.catalog_index));
        let now = Instant::now();
        if is_shared && let Some(payload) = self.shared.registry.get(&key, now) {
            return Ok(payload);
        }
        let payload = feed::encode(&self.response(request, catalog_bytes))?;
        let payload = if unpaged { payload } else { pack(&payload)? };
        if is_shared {
            self.shared.registry.keep(key, payload.clone(), now);
        }
        Ok(payload)
    }

    fn response(&self, request: &FeedRequest, catalog_bytes: usize) -> FeedResponse {
        let changes = self.registry_changes(request, catalog_bytes);
        let (findings, news) = changes
            .updates
            .into_iter()
            .partition(|news| news.row.is_finding());
        let (catalog, catalog_index) = match (request.reader, &request.paging) {
            (Reader::Entry, None) => self.catalog.read_local(|catalog| {
                let rows = catalog.rows_after(&request.position()).collect();
                (rows, catalog.index())
            }),
            (Reader::Entry, Some(_)) => (Vec::new(), self.catalog.read_local(Catalog::index)),
            (Reader::Control, _) => (Vec::new(), 0),
        };
        FeedResponse {
            boot: self.boot,
            cursor: changes.cursor,
            whole: request.cursor == 0 && request.takes_rows(),
            current: self.catalog.is_current(),
            settled: self.started_at.elapsed() >= SETTLE_TIME,
            catalog_index,
            catalog,
            news,
            findings,
            more: changes.more,
        }
    }

    fn registry_changes(&self, request: &FeedRequest, catalog_bytes: usize) -> Changes {
        if !request.takes_rows() {
            return Changes {
                cursor: request.cursor,
                ..Changes::default()
            };
        }
        let bytes_max = if request.paging.is_some() {
            // Some rows go with each piece of the catalog, so that neither waits for the
            // end of the other.
            (PIECE_BYTES_MAX / 2).max(PIECE_BYTES_MAX.saturating_sub(catalog_bytes))
        } else {
            usize::MAX
        };
        let now = Instant::now();
        let registry = self.registry.lock();
        match request.reader {
            Reader::Entry => registry.changed_since(request.cursor, bytes_max, now),
            Reader::Control => {
                registry.announced_since(request.cursor, &request.relayed, bytes_max, now)
            }
        }
    }
}
