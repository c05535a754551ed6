//! Samples of what backend servers run, taken beside a load.

use std::time::Duration;

use tokio::time::sleep;

use crate::site::Site;

/// Time between two samples.
const EVERY: Duration = Duration::from_millis(250);

/// Samples of one service's slots.
#[derive(Debug)]
pub struct Headroom<'a> {
    site: &'a Site,
    service: &'a str,
    samples: Vec<u32>,
}

impl<'a> Headroom<'a> {
    /// No samples yet.
    #[must_use]
    pub fn new(site: &'a Site, service: &'a str) -> Self {
        Self {
            site,
            service,
            samples: Vec::new(),
        }
    }

    /// Takes samples until `load` ends.
    pub async fn beside<T>(mut self, load: impl Future<Output = T>) -> (T, Self) {
        tokio::pin!(load);
        loop {
            tokio::select! {
                done = &mut load => return (done, self),
                () = self.sample() => {}
            }
        }
    }

    /// Lowest and median headroom over the samples, and whether any server was
    /// offered more than its slots since it started.
    ///
    /// # Errors
    /// When a backend server has ended.
    pub async fn note(mut self, site: &Site, service: &str) -> anyhow::Result<String> {
        let slots: u32 = site.fleet(service).map(|b| b.slots).sum();
        let mut over = 0;
        for backend in site.fleet(service) {
            let offered = backend.stats().await?.crowd.highest_offered;
            over = over.max(offered.saturating_sub(backend.slots));
        }
        self.samples.sort_unstable();
        let free = |running: u32| 100 * slots.saturating_sub(running) / slots.max(1);
        let median = self.samples.get(self.samples.len() / 2).copied();
        let highest = self.samples.last().copied();
        Ok(format!(
            "headroom {}% median, {}% lowest; most above slots {over}",
            free(median.unwrap_or_default()),
            free(highest.unwrap_or_default())
        ))
    }

    async fn sample(&mut self) {
        sleep(EVERY).await;
        let mut running = 0;
        for backend in self.site.fleet(self.service) {
            if let Ok(stats) = backend.stats().await {
                running += stats.crowd.running;
            }
        }
        self.samples.push(running);
    }
}
