//! Runs one replica of a group: its table, its disk and its timer.
//!
//! The replica stands in a table of rank [`Rank::Log`]. Workers lock it for
//! one step, take what it hands out, unlock, and only then send messages and
//! wake waiters. Batches are stored off the lock on a blocking thread.

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use quorum::{Batch, Disk, Done, Envelope, Machine, Outcome, Replica, ReplicaStatus};
use quorum::{ElectionState, Settings, Ticket};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval};
use world::{Error, Kind, MachineName, Rank, Ranked, Result};

/// Carries messages of a group to other machines.
pub trait Courier: Send + Sync + 'static {
    /// Sends without waiting; may lose, delay, double and reorder.
    fn send(&self, to: &MachineName, payload: Bytes);
}

type Ended<M> = Result<Done<<M as Machine>::Output>>;

type Answer<M> = oneshot::Sender<Ended<M>>;

struct Table<M: Machine> {
    replica: Replica<M>,
    waiting: HashMap<Ticket, Answer<M>>,
    failed: Option<Error>,
    /// Leader that was logged last.
    leader: Option<MachineName>,
    /// Standing that was logged last.
    standing: ElectionState,
}

/// What a step of the replica leads to once the table is unlocked.
struct After<M: Machine> {
    messages: Vec<Envelope>,
    ended: Vec<(Answer<M>, Ended<M>)>,
    applied: u64,
}

/// One running replica of a group.
pub struct Group<M: Machine, C> {
    table: Ranked<Table<M>>,
    courier: C,
    records: Notify,
    applied: watch::Sender<u64>,
    tasks: OnceLock<[JoinHandle<()>; 2]>,
}

impl<M, C> Group<M, C>
where
    M: Machine + Send + 'static,
    M::Output: Send,
    C: Courier,
{
    /// Starts a replica on what its disk holds.
    ///
    /// # Errors
    /// The disk's error, or the machine's when it can't restore its snapshot.
    pub fn start<D: Disk + Send + 'static>(
        settings: Settings,
        mut disk: D,
        machine: M,
        courier: C,
    ) -> Result<Arc<Self>> {
        let tick = Duration::from_millis((settings.timing.heartbeat_ms / 2).max(1));
        let stored = disk.load()?;
        let replica = Replica::new(settings, stored, machine, Instant::now())?;
        let table = Table {
            replica,
            waiting: HashMap::new(),
            failed: None,
            leader: None,
            standing: ElectionState::Follower,
        };
        let group = Arc::new(Self {
            table: Ranked::new(Rank::Log, table),
            courier,
            records: Notify::new(),
            applied: watch::Sender::new(0),
            tasks: OnceLock::new(),
        });
        let ticks = tokio::spawn(Arc::clone(&group).tick_on(tick));
        let writer = tokio::spawn(Arc::clone(&group).store_on(disk));
        let _ = group.tasks.set([ticks, writer]);
        Ok(group)
    }

    /// Proposes a command and waits for what the machine answers to it.
    ///
    /// # Errors
    /// [`Kind::NotLeader`], [`Kind::TooLarge`] or [`Kind::Overloaded`] when it
    /// was not accepted; [`Kind::NoQuorum`] when that is unknown.
    pub async fn propose(&self, command: &[u8]) -> Result<M::Output> {
        let done = self.wait(|replica, now| replica.propose(command, now));
        match done.await? {
            Done::Applied { output, .. } => Ok(output),
            Done::Changed(_) | Done::Read(_) => Err(Error::new(Kind::Internal, "wrong outcome")),
        }
    }

    /// Reads the machine at a moment, after this call began, at which the
    /// replica led and had applied all that was committed.
    ///
    /// # Errors
    /// [`Kind::NotLeader`] or [`Kind::NoQuorum`].
    pub async fn read<T>(&self, look: impl FnOnce(&M) -> T) -> Result<T> {
        self.wait(Replica::read).await?;
        Ok(self.look(look))
    }

    /// Reads the machine as it is here, perhaps behind the leader.
    pub fn look<T>(&self, look: impl FnOnce(&M) -> T) -> T {
        look(self.table.lock().replica.state_machine())
    }

    /// Removes the disk that stands under a machine's name, so that the
    /// machine may join with a new one.
    ///
    /// # Errors
    /// As [`Replica::remove`], or [`Kind::NoQuorum`].
    pub async fn remove(&self, name: &MachineName) -> Result<()> {
        self.wait(|replica, now| replica.remove(name, now)).await?;
        Ok(())
    }

    /// Takes in a message that a courier of another replica has sent.
    pub fn receive(&self, payload: &[u8]) {
        match postcard::from_bytes(payload) {
            Ok(envelope) => self.step(|replica, now| replica.receive(envelope, now)),
            Err(error) => log::warn!(target: "group", error:% = error; "unreadable message"),
        }
    }

    /// The group as this replica sees it.
    pub fn status(&self) -> ReplicaStatus {
        self.table.lock().replica.status(Instant::now())
    }

    /// Machine that leads, as far as this replica knows.
    pub fn leader(&self) -> Option<MachineName> {
        self.table.lock().replica.leader().cloned()
    }

    /// Index up to which the machine has applied the log, as it grows.
    pub fn applied(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }

    /// Whether this replica leads, or has heard of a leader within the least
    /// election timeout.
    pub fn is_current(&self) -> bool {
        self.table.lock().replica.has_recent_leader(Instant::now())
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        self.table.lock().replica.is_leader()
    }

    /// Why this replica has stopped, when its disk failed.
    pub fn failed(&self) -> Option<Error> {
        self.table.lock().failed.clone()
    }

    /// Ends the tasks; what was acknowledged is on the disk.
    pub fn stop(&self) {
        for task in self.tasks.get().into_iter().flatten() {
            task.abort();
        }
    }

    fn step(&self, act: impl FnOnce(&mut Replica<M>, Instant)) {
        let after = {
            let mut table = self.table.lock();
            if table.failed.is_some() {
                return;
            }
            act(&mut table.replica, Instant::now());
            table.after()
        };
        self.carry(after);
    }

    async fn wait(
        &self,
        act: impl FnOnce(&mut Replica<M>, Instant) -> Result<Ticket>,
    ) -> Result<Done<M::Output>> {
        let (answer, outcome) = oneshot::channel();
        let after = {
            let mut table = self.table.lock();
            if let Some(error) = &table.failed {
                return Err(error.clone());
            }
            let ticket = act(&mut table.replica, Instant::now())?;
            table.waiting.insert(ticket, answer);
            table.after()
        };
        self.carry(after);
        let gone = || Error::new(Kind::NoQuorum, "the replica stopped before the outcome");
        outcome.await.map_err(|_| gone())?
    }

    fn carry(&self, after: After<M>) {
        self.records.notify_one();
        self.applied.send_if_modified(|applied| {
            let grew = *applied != after.applied;
            *applied = after.applied;
            grew
        });
        for envelope in after.messages {
            match postcard::to_stdvec(&envelope) {
                Ok(payload) => self.courier.send(&envelope.to_name, payload.into()),
                Err(error) => log::error!(target: "group", error:% = error; "message not encoded"),
            }
        }
        for (answer, result) in after.ended {
            // Whoever asked may have gone.
            let _ = answer.send(result);
        }
    }

    async fn tick_on(self: Arc<Self>, every: Duration) {
        let mut ticks = interval(every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.step(Replica::tick);
        }
    }

    async fn store_on<D: Disk + Send + 'static>(self: Arc<Self>, mut disk: D) {
        loop {
            let Some(batch) = self.next_batch() else {
                self.records.notified().await;
                continue;
            };
            let seq = batch.seq;
            let stored = tokio::task::spawn_blocking(move || {
                let result = disk.store(&batch.records);
                (disk, result)
            });
            let Ok((same_disk, result)) = stored.await else {
                return self.fail(Error::new(Kind::Internal, "storing was broken off"));
            };
            disk = same_disk;
            if let Err(error) = result {
                return self.fail(error);
            }
            self.step(|replica, now| replica.stored(seq, now));
        }
    }

    fn next_batch(&self) -> Option<Batch> {
        self.table.lock().replica.take_batch()
    }

    /// What the disk holds is unknown from here on, so the replica goes silent.
    fn fail(&self, error: Error) {
        log::error!(target: "group", error:% = error; "the disk failed; this replica stops");
        let mut table = self.table.lock();
        table.failed = Some(error);
        table.waiting.clear();
    }
}

impl<M: Machine> Table<M> {
    fn after(&mut self) -> After<M> {
        let standing = self.replica.election_state();
        if standing != self.standing {
            self.standing = standing;
            let (standing, term) = (standing.as_str(), self.replica.term());
            log::info!(target: "group", standing, term; "standing in the election");
        }
        if self.replica.leader() != self.leader.as_ref() {
            self.leader = self.replica.leader().cloned();
            let leader = self.leader.as_ref().map_or("none", MachineName::as_str);
            let (term, applied) = (self.replica.term(), self.replica.applied());
            log::info!(target: "group", leader, term, applied; "leader of the log");
        }
        let messages = self.replica.take_messages();
        let mut ended = Vec::new();
        for Outcome { ticket, result } in self.replica.take_outcomes() {
            if let Some(answer) = self.waiting.remove(&ticket) {
                ended.push((answer, result));
            }
        }
        let applied = self.replica.applied();
        After {
            messages,
            ended,
            applied,
        }
    }
}
