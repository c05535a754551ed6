//! Samples the running requests of backend servers while a load runs, to report how
//! many slots stay free.

use std::time::Duration;

use tokio::time::sleep;

use crate::site::Site;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Samples of the number of running requests on one service's backend servers.
#[derive(Debug)]
pub struct LoadSamples<'a> {
    site: &'a Site,
    service: &'a str,
    samples: Vec<u32>,
}

impl<'a> LoadSamples<'a> {
    /// Creates an empty series of samples.
    #[must_use]
    pub fn new(site: &'a Site, service: &'a str) -> Self {
        Self {
            site,
            service,
            samples: Vec::new(),
        }
    }

    /// Runs `load` and takes samples until it ends.
    pub async fn sample_during<T>(mut self, load: impl Future<Output = T>) -> (T, Self) {
        tokio::pin!(load);
        loop {
            tokio::select! {
                done = &mut load => return (done, self),
                () = self.sample() => {}
            }
        }
    }

    /// Returns the median and the lowest share of free slots as text, and by how many running
    /// and waiting requests any server has exceeded its slots since its start.
    ///
    /// # Errors
    /// When a backend server doesn't respond.
    pub async fn note(mut self, site: &Site, service: &str) -> anyhow::Result<String> {
        let slots: u32 = site.fleet(service).map(|b| b.slots).sum();
        let mut over = 0;
        for backend in site.fleet(service) {
            let offered = backend.stats().await?.occupancy.highest_offered;
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
        sleep(SAMPLE_INTERVAL).await;
        let mut running = 0;
        for backend in self.site.fleet(self.service) {
            if let Ok(stats) = backend.stats().await {
                running += stats.occupancy.running;
            }
        }
        self.samples.push(running);
    }
}
