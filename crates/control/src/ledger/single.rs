//! A ledger on the disk of one control VM, for a site that has only one.

use std::path::Path;
use std::sync::Arc;

use once::{Ledger, Limits, Reply};
use quorum::{Disk, Entry, FileDisk, Machine, Payload, Record, Snapshot};
use tokio::sync::{mpsc, oneshot};
use world::{Error, Kind, Rank, Ranked, Result};

use super::{LedgerMachine, Replicated};

/// Commands that may wait to be written; more are refused.
const QUEUE: usize = 4_096;

/// Commands that are written and synced together at most.
const BATCH_MAX: usize = 256;

/// Commands after which the file is begun anew with a snapshot.
const COMPACT_ENTRIES: usize = 4_096;

struct Waiting {
    command: Arc<[u8]>,
    reply: oneshot::Sender<Reply>,
}

/// The ledger and the queue to the task that writes it.
pub struct Single {
    machine: Arc<Ranked<LedgerMachine>>,
    queue: mpsc::Sender<Waiting>,
}

struct Writer {
    machine: Arc<Ranked<LedgerMachine>>,
    disk: FileDisk,
    index: u64,
    since_snapshot: usize,
}

impl Single {
    /// Opens the ledger in `folder` and starts to write it.
    ///
    /// # Errors
    /// [`Kind::Damaged`] when the folder can't be used or its content is damaged.
    pub fn open(folder: &Path, limits: Limits) -> Result<Self> {
        let mut disk = FileDisk::new(folder)?;
        let stored = disk.load()?;
        let mut machine = LedgerMachine::new(limits);
        if let Some(snapshot) = &stored.snapshot {
            machine.restore(&snapshot.state)?;
        }
        for entry in &stored.entries {
            if let Payload::Command(command) = &entry.payload {
                machine.apply(entry.index, command);
            }
        }
        let machine = Arc::new(Ranked::new(Rank::Log, machine));
        let writer = Writer {
            machine: Arc::clone(&machine),
            disk,
            index: stored.last_index(),
            since_snapshot: stored.entries.len(),
        };
        let (queue, waiting) = mpsc::channel(QUEUE);
        tokio::task::spawn_blocking(move || writer.run(waiting));
        Ok(Self { machine, queue })
    }
}

impl Replicated for Single {
    async fn apply(&self, command: Vec<u8>) -> Result<Reply> {
        let (reply, answer) = oneshot::channel();
        let waiting = Waiting {
            command: command.into(),
            reply,
        };
        let full = |_| Error::new(Kind::Overloaded, "too many commands wait");
        self.queue.try_send(waiting).map_err(full)?;
        let gone = |_| Error::new(Kind::NoQuorum, "the ledger's disk failed");
        answer.await.map_err(gone)
    }

    async fn read<T, F>(&self, look: F) -> Result<T>
    where
        T: Send + 'static,
        F: FnOnce(&Ledger) -> T + Send + 'static,
    {
        Ok(look(&self.machine.lock().0))
    }

    fn applied_ms(&self) -> u64 {
        self.machine.lock().0.now_ms()
    }
}

impl Writer {
    fn run(mut self, mut queue: mpsc::Receiver<Waiting>) {
        let mut batch = Vec::new();
        while queue.blocking_recv_many(&mut batch, BATCH_MAX) > 0 {
            if let Err(error) = self.write(&mut batch) {
                log::error!(target: "control", error:% = error; "ledger stopped");
                return;
            }
        }
    }

    fn write(&mut self, batch: &mut Vec<Waiting>) -> Result<()> {
        let entry = |(at, waiting): (u64, &Waiting)| {
            Record::Append(Entry {
                index: self.index + at,
                term: 1,
                payload: Payload::Command(Arc::clone(&waiting.command)),
            })
        };
        let records: Vec<Record> = (1..).zip(batch.iter()).map(entry).collect();
        self.disk.store(&records)?;
        self.since_snapshot += records.len();
        for waiting in batch.drain(..) {
            self.index += 1;
            let reply = self.machine.lock().apply(self.index, &waiting.command);
            let _ = waiting.reply.send(reply);
        }
        self.compact()
    }

    fn compact(&mut self) -> Result<()> {
        if self.since_snapshot < COMPACT_ENTRIES {
            return Ok(());
        }
        let state = self.machine.lock().snapshot();
        let snapshot = Snapshot {
            index: self.index,
            term: 1,
            members: quorum::Members::default(),
            state: state.into(),
        };
        self.disk.store(&[Record::Snapshot(Arc::new(snapshot))])?;
        self.since_snapshot = 0;
        Ok(())
    }
}
