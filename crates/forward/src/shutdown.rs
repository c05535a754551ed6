//! Which requests an entry VM still takes during a planned stop, and until when it waits
//! for their responses.
//!
//! Clients learn of the stop with some delay, so requests are taken for a while. A request
//! whose work may outlast the process is refused before it is sent to a server: another
//! entry VM can serve it, and nobody has to guess whether it has run.

use std::time::Duration;

use tokio::time::Instant;
use world::{Error, ErrorKind, Result};

/// Time before the end at which the last responses are sent, so that they leave the
/// machine before the process ends.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Share of the time that an idempotent request may take which has to be left until the
/// end: most responses come well before the deadline, and its client may send it again
/// where one does not. Any other request needs all of its time.
const TIME_LEFT_SHARE: f64 = 0.5;

/// The times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Until when requests are taken.
    pub taken_until: Instant,
    /// When the process ends, at the latest.
    pub ends_at: Instant,
}

impl Shutdown {
    /// Returns the last moment at which a response is sent.
    #[must_use]
    pub fn last_response_at(&self) -> Instant {
        let at = self.ends_at.checked_sub(LAST_RESPONSE_MARGIN);
        at.unwrap_or(self.ends_at)
    }

    /// Decides at `now` whether a request with this deadline is taken. Returns the
    /// deadline, which is no later than the last moment at which a response is sent.
    ///
    /// # Errors
    /// [`ErrorKind::Leaving`] when the request should go to another entry VM.
    pub fn admit(&self, deadline: Instant, idempotent: bool, now: Instant) -> Result<Instant> {
        let capped = deadline.min(self.last_response_at());
        let share = if idempotent { TIME_LEFT_SHARE } else { 1.0 };
        let needed = deadline.saturating_duration_since(now).mul_f64(share);
        if now < self.taken_until && capped.saturating_duration_since(now) >= needed {
            return Ok(capped);
        }
        let text = "this entry VM is shutting down";
        Err(Error::new(ErrorKind::Leaving, text))
    }
}
