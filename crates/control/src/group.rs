//! Drives one replica of a group: passes it messages, ticks and proposals, stores
//! its records and sends its messages.
//!
//! The replica is guarded by a lock of rank [`LockRank::Log`]. The lock is held for one
//! step; messages are sent and waiting calls completed only after it is released.
//! Records are stored on a blocking thread without the lock.

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use quorum::{Batch, Disk, Done, Envelope, Outcome, Replica, ReplicaStatus, StateMachine};
use quorum::{ElectionState, Settings, Ticket};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use world::unit::as_ms;
use world::{Error, ErrorKind, LockRank, MachineName, RankedMutex, Result};

/// Replication transport: sends the messages of a group to other machines.
pub trait ReplicationTransport: Send + Sync + 'static {
    /// Sends a message without waiting. Messages may be lost, delayed, duplicated
    /// and reordered.
    fn send(&self, to: &MachineName, payload: Bytes);
}

/// Outcome of a proposal or a read.
type CallResult<M> = Result<Done<<M as StateMachine>::Output>>;

type ResultSender<M> = oneshot::Sender<CallResult<M>>;

/// Delay before the first attempt to read back a disk after a failed write; it doubles
/// with each attempt up to [`RECOVERY_DELAY_MAX`].
const RECOVERY_DELAY_MIN: Duration = Duration::from_millis(50);

/// Longest delay between two attempts to read back a failed disk.
const RECOVERY_DELAY_MAX: Duration = Duration::from_millis(800);

/// State of a running replica, guarded by the lock of its [`Group`].
struct GroupState<M: StateMachine> {
    replica: Replica<M>,
    /// Proposals and reads that wait for their outcome.
    waiting: HashMap<Ticket, ResultSender<M>>,
    /// Error of the disk; the replica takes no steps until the disk is read back.
    failed: Option<Error>,
    /// Leader in the last log message about it.
    logged_leader: Option<MachineName>,
    /// Election state in the last log message about it.
    logged_state: ElectionState,
}

/// Output of one step of the replica, processed after the lock is released.
struct StepOutput<M: StateMachine> {
    messages: Vec<Envelope>,
    completed: Vec<(ResultSender<M>, CallResult<M>)>,
    /// Index of the last applied log entry.
    applied: u64,
}

/// A running replica of a group.
pub struct Group<M: StateMachine, T> {
    state: RankedMutex<GroupState<M>>,
    transport: T,
    /// Wakes the writer after a step, which may have produced records to store.
    writer_wake: Notify,
    applied: watch::Sender<u64>,
    /// The ticker and the writer.
    tasks: OnceLock<[JoinHandle<()>; 2]>,
}

impl<M, T> Group<M, T>
where
    M: StateMachine + Send + 'static,
    M::Output: Send,
    T: ReplicationTransport,
{
    /// Starts a replica from the content of its disk.
    ///
    /// # Errors
    /// The error of the disk, or that of the state machine if it can't restore
    /// the stored snapshot.
    pub fn start<D: Disk + Send + 'static>(
        settings: Settings,
        mut disk: D,
        state_machine: M,
        transport: T,
    ) -> Result<Arc<Self>> {
        let tick_interval = Duration::from_millis((settings.timing.heartbeat_ms / 2).max(1));
        let stored = disk.load()?;
        let replica = Replica::new(settings, stored, state_machine, Instant::now())?;
        let state = GroupState {
            replica,
            waiting: HashMap::new(),
            failed: None,
            logged_leader: None,
            logged_state: ElectionState::Follower,
        };
        let group = Arc::new(Self {
            state: RankedMutex::new(LockRank::Log, state),
            transport,
            writer_wake: Notify::new(),
            applied: watch::Sender::new(0),
            tasks: OnceLock::new(),
        });
        let ticker = tokio::spawn(Arc::clone(&group).run_ticker(tick_interval));
        let writer = tokio::spawn(Arc::clone(&group).run_writer(disk));
        let _ = group.tasks.set([ticker, writer]);
        Ok(group)
    }

    /// Proposes a command, waits until it is applied and returns the result of the
    /// state machine.
    ///
    /// # Errors
    /// [`ErrorKind::NotLeader`], [`ErrorKind::TooLarge`] or [`ErrorKind::Overloaded`] if the
    /// command was not accepted; [`ErrorKind::NoQuorum`] if it is unknown whether the
    /// command was accepted; the disk's error if it has failed.
    pub async fn propose(&self, command: &[u8]) -> Result<M::Output> {
        let done = self.run_and_wait(|replica, now| replica.propose(command, now));
        match done.await? {
            Done::Applied { output, .. } => Ok(output),
            Done::Changed(_) | Done::Read(_) => {
                Err(Error::new(ErrorKind::Internal, "wrong outcome"))
            }
        }
    }

    /// Reads the state machine with linearizable consistency: after this call
    /// began the replica was confirmed as leader and has applied every entry
    /// committed before.
    ///
    /// # Errors
    /// [`ErrorKind::NotLeader`], [`ErrorKind::Overloaded`] or [`ErrorKind::NoQuorum`]; the
    /// disk's error if it has failed.
    pub async fn read<V>(&self, reader: impl FnOnce(&M) -> V) -> Result<V> {
        self.run_and_wait(Replica::read).await?;
        Ok(self.read_local(reader))
    }

    /// Reads the state machine of this replica, which may lag behind the leader.
    pub fn read_local<V>(&self, reader: impl FnOnce(&M) -> V) -> V {
        reader(self.state.lock().replica.state_machine())
    }

    /// Removes the member on a machine, so that the machine can join again with a
    /// new disk.
    ///
    /// # Errors
    /// As [`Replica::remove`], or [`ErrorKind::NoQuorum`]; the disk's error if it has
    /// failed.
    pub async fn remove(&self, name: &MachineName) -> Result<()> {
        self.run_and_wait(|replica, now| replica.remove(name, now))
            .await?;
        Ok(())
    }

    /// Processes a message that another replica sent over its transport.
    pub fn receive(&self, payload: &[u8]) {
        match postcard::from_bytes(payload) {
            Ok(envelope) => self.step(|replica, now| replica.receive(envelope, now)),
            Err(error) => log::warn!(target: "group", error:% = error; "undecodable message"),
        }
    }

    /// Returns the status of the group, as known to this replica.
    pub fn status(&self) -> ReplicaStatus {
        self.state.lock().replica.status(Instant::now())
    }

    /// Machine of the leader, as far as this replica knows; `None` while its disk has
    /// failed.
    pub fn leader(&self) -> Option<MachineName> {
        let state = self.state.lock();
        let leader = state.replica.leader().filter(|_| state.failed.is_none());
        leader.cloned()
    }

    /// Watches the index of the last log entry that this replica has applied.
    pub fn applied(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }

    /// Whether this replica leads, or has received a message from a leader within
    /// the minimum election timeout; false while its disk has failed.
    pub fn is_current(&self) -> bool {
        let state = self.state.lock();
        state.failed.is_none() && state.replica.has_recent_leader(Instant::now())
    }

    /// Whether this replica leads; false while its disk has failed.
    pub fn is_leader(&self) -> bool {
        let state = self.state.lock();
        state.failed.is_none() && state.replica.is_leader()
    }

    /// Error of the disk, while it has failed and this replica takes no part in the
    /// group.
    pub fn failed(&self) -> Option<Error> {
        self.state.lock().failed.clone()
    }

    /// Aborts the tasks. Nothing acknowledged is lost: it is on the disk.
    pub fn stop(&self) {
        for task in self.tasks.get().into_iter().flatten() {
            task.abort();
        }
    }

    /// Runs one step of the replica and processes its output.
    fn step(&self, action: impl FnOnce(&mut Replica<M>, Instant)) {
        let output = {
            let mut state = self.state.lock();
            if state.failed.is_some() {
                return;
            }
            action(&mut state.replica, Instant::now());
            state.take_output()
        };
        self.process(output);
    }

    /// Starts a proposal or a read and waits for its outcome.
    async fn run_and_wait(
        &self,
        action: impl FnOnce(&mut Replica<M>, Instant) -> Result<Ticket>,
    ) -> Result<Done<M::Output>> {
        let (sender, outcome) = oneshot::channel();
        let output = {
            let mut state = self.state.lock();
            if let Some(error) = &state.failed {
                return Err(error.clone());
            }
            let ticket = action(&mut state.replica, Instant::now())?;
            state.waiting.insert(ticket, sender);
            state.take_output()
        };
        self.process(output);
        let stopped = || {
            Error::new(
                ErrorKind::NoQuorum,
                "the replica stopped before the outcome",
            )
        };
        outcome.await.map_err(|_| stopped())?
    }

    /// Wakes the writer, sends messages and completes waiting calls. Must be called
    /// without the lock.
    fn process(&self, output: StepOutput<M>) {
        self.writer_wake.notify_one();
        self.applied.send_if_modified(|applied| {
            let changed = *applied != output.applied;
            *applied = output.applied;
            changed
        });
        for envelope in output.messages {
            match postcard::to_stdvec(&envelope) {
                Ok(payload) => self.transport.send(&envelope.to_name, payload.into()),
                Err(error) => log::error!(target: "group", error:% = error; "message not encoded"),
            }
        }
        for (sender, result) in output.completed {
            // Fails if the waiting call was cancelled, which is harmless.
            let _ = sender.send(result);
        }
    }

    async fn run_ticker(self: Arc<Self>, tick_interval: Duration) {
        let mut ticks = interval(tick_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.step(Replica::tick);
        }
    }

    /// Stores batches of records one after another. After a failed write, reads back
    /// the disk and goes on from its content.
    async fn run_writer<D: Disk + Send + 'static>(self: Arc<Self>, mut disk: D) {
        loop {
            let Some(batch) = self.next_batch() else {
                self.writer_wake.notified().await;
                continue;
            };
            let seq = batch.seq;
            let (same_disk, result) =
                match on_blocking(disk, move |d| d.store(&batch.records)).await {
                    Ok(stored) => stored,
                    Err(error) => return self.fail(error),
                };
            disk = same_disk;
            if let Err(error) = result {
                self.fail(error);
                disk = match self.recover(disk).await {
                    Ok(recovered) => recovered,
                    Err(error) => return self.fail(error),
                };
                continue;
            }
            self.step(|replica, now| replica.stored(seq, now));
        }
    }

    /// Tries to read back the failed disk until that succeeds, and lets the replica go
    /// on from its content.
    async fn recover<D: Disk + Send + 'static>(&self, mut disk: D) -> Result<D> {
        let failed_at = Instant::now();
        let mut delay = RECOVERY_DELAY_MIN;
        loop {
            sleep(delay).await;
            delay = RECOVERY_DELAY_MAX.min(delay * 2);
            let (same_disk, recovered) = on_blocking(disk, Disk::recover).await?;
            disk = same_disk;
            match recovered {
                Ok(stored) => {
                    let failed_ms = as_ms(failed_at.elapsed());
                    log::info!(target: "group", failed_ms; "disk recovered");
                    let mut state = self.state.lock();
                    state.replica.recover(stored, Instant::now());
                    state.failed = None;
                    return Ok(disk);
                }
                Err(error) => log::debug!(target: "group", error:% = error; "disk not recovered"),
            }
        }
    }

    fn next_batch(&self) -> Option<Batch> {
        self.state.lock().replica.take_batch()
    }

    /// Stops the replica after a disk error: the content of the disk is unknown, so
    /// the replica must not send or acknowledge anything.
    fn fail(&self, error: Error) {
        log::error!(target: "group", error:% = error; "disk failed");
        let mut state = self.state.lock();
        state.failed = Some(error);
        state.waiting.clear();
    }
}

/// Runs an operation of the disk on a blocking thread.
async fn on_blocking<D, V>(
    mut disk: D,
    operation: impl FnOnce(&mut D) -> V + Send + 'static,
) -> Result<(D, V)>
where
    D: Send + 'static,
    V: Send + 'static,
{
    let run = tokio::task::spawn_blocking(move || {
        let result = operation(&mut disk);
        (disk, result)
    });
    run.await
        .map_err(|e| Error::new(ErrorKind::Internal, format!("disk operation aborted: {e}")))
}

impl<M: StateMachine> GroupState<M> {
    /// Logs changes of the leader and the election state, and takes the output of
    /// the replica's last step.
    fn take_output(&mut self) -> StepOutput<M> {
        let state = self.replica.election_state();
        if state != self.logged_state {
            self.logged_state = state;
            let (standing, term) = (state.as_str(), self.replica.term());
            log::info!(target: "group", standing, term; "election state changed");
        }
        if self.replica.leader() != self.logged_leader.as_ref() {
            self.logged_leader = self.replica.leader().cloned();
            let leader = self
                .logged_leader
                .as_ref()
                .map_or("none", MachineName::as_str);
            let (term, applied) = (self.replica.term(), self.replica.applied());
            log::info!(target: "group", leader, term, applied; "leader changed");
        }
        let messages = self.replica.take_messages();
        let mut completed = Vec::new();
        for Outcome { ticket, result } in self.replica.take_outcomes() {
            if let Some(sender) = self.waiting.remove(&ticket) {
                completed.push((sender, result));
            }
        }
        let applied = self.replica.applied();
        StepOutput {
            messages,
            completed,
            applied,
        }
    }
}
