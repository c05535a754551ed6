//! A harness that starts the workspace's binaries and signals them by pid.

use std::env;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use anyhow::{Context, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::{sleep, timeout};

/// Longest wait for a process to say that it is ready.
const READY_WAIT: Duration = Duration::from_secs(20);

/// Longest wait for a condition.
const CONDITION_WAIT: Duration = Duration::from_secs(20);

/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// Bytes of a process's log that are shown after a failure.
const LOG_SHOWN_BYTES: usize = 8 * 1024;

/// A process that the harness started; killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// What it is called in messages and log files.
    pub name: String,
    /// What it printed when it was ready.
    pub ready: Value,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a binary of the workspace and waits until it is ready.
    ///
    /// Its standard error goes to `NAME.log` in `dir`.
    ///
    /// # Errors
    /// When the binary isn't built, doesn't start, or ends before it is ready.
    pub async fn start(
        binary: &str,
        name: &str,
        args: impl IntoIterator<Item = impl AsRef<std::ffi::OsStr>>,
        dir: &Path,
    ) -> anyhow::Result<Self> {
        let log = dir.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log);
        let file = file.with_context(|| format!("could not open {}", log.display()))?;
        let mut child = Command::new(path_of(binary)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("could not start {binary}"))?;
        let stdout = child.stdout.take().context("no standard output")?;
        let ready = timeout(READY_WAIT, ready_line(stdout)).await;
        let ready = ready
            .unwrap_or_else(|_| bail!("is not ready in time"))
            .with_context(|| format!("{name} failed to start; its log:\n{}", tail(&log)))?;
        Ok(Self {
            name: name.to_owned(),
            ready,
            log,
            child,
        })
    }

    /// Starts a program that does not say when it is ready. Its output goes to
    /// `NAME.log` in `dir`.
    ///
    /// # Errors
    /// When it doesn't start.
    pub fn launch(mut command: Command, name: &str, dir: &Path) -> anyhow::Result<Self> {
        let log = dir.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log);
        let file = file.with_context(|| format!("could not open {}", log.display()))?;
        let child = command
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("could not start {name}"))?;
        Ok(Self {
            name: name.to_owned(),
            ready: Value::Null,
            log,
            child,
        })
    }

    /// An address out of what the process printed when it was ready.
    ///
    /// # Errors
    /// When there is no such field or it is no address.
    pub fn addr(&self, field: &str) -> anyhow::Result<SocketAddr> {
        let text = self.ready[field].as_str();
        let text = text.with_context(|| format!("{}: no {field} in {}", self.name, self.ready))?;
        text.parse()
            .with_context(|| format!("{}: bad {field} {text:?}", self.name))
    }

    /// What the process has logged.
    #[must_use]
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Id of the process.
    ///
    /// # Errors
    /// When it has ended.
    pub fn pid(&self) -> anyhow::Result<u32> {
        self.child.id().context("process has ended")
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// When the process has ended.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = i32::try_from(self.pid()?).context("bad pid")?;
        kill(Pid::from_raw(pid), signal).with_context(|| format!("could not signal {}", self.name))
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    /// When it can't be signalled.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill().await.context("could not kill")
    }

    /// Freezes the process.
    ///
    /// # Errors
    /// When it can't be signalled.
    pub fn freeze(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Waits until a frozen process stands still.
    ///
    /// # Errors
    /// When it has ended or doesn't stop in time.
    pub async fn stopped(&self) -> anyhow::Result<()> {
        let path = format!("/proc/{}/stat", self.pid()?);
        let look = || async {
            let stat = fs::read_to_string(&path).ok()?;
            let (_, state) = stat.rsplit_once(") ")?;
            state.starts_with('T').then_some(())
        };
        wait_until("process stands still", look).await
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    /// When it can't be signalled.
    pub fn thaw(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks the process to read its settings again.
    ///
    /// # Errors
    /// When it can't be signalled.
    pub fn hang_up(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGHUP)
    }

    /// Asks the process to leave.
    ///
    /// # Errors
    /// When it can't be signalled.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    /// When it doesn't end in time.
    pub async fn ended(&mut self, wait: Duration) -> anyhow::Result<ExitStatus> {
        let status = timeout(wait, self.child.wait()).await;
        let status = status.with_context(|| format!("{} has not ended in time", self.name))?;
        status.context("could not wait")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("--- log of {}:\n{}", self.name, tail(&self.log));
        }
    }
}

/// Path of a binary of the workspace, beside or above the running one.
///
/// # Errors
/// When it isn't built.
pub fn path_of(binary: &str) -> anyhow::Result<PathBuf> {
    let current = env::current_exe().context("could not find the running binary")?;
    let beside = current.ancestors().skip(1).take(2);
    let found = beside.map(|dir| dir.join(binary)).find(|p| p.is_file());
    found.with_context(|| format!("{binary} isn't built; run `cargo build --workspace` first"))
}

/// Waits until `look` finds what it looks for.
///
/// # Errors
/// When it finds nothing within 20 s.
pub async fn wait_until<T, F>(what: &str, mut look: impl FnMut() -> F) -> anyhow::Result<T>
where
    F: Future<Output = Option<T>>,
{
    let found = timeout(CONDITION_WAIT, async {
        loop {
            if let Some(found) = look().await {
                return found;
            }
            sleep(LOOK).await;
        }
    });
    found
        .await
        .with_context(|| format!("never came true: {what}"))
}

/// Reads JSON from a path of a control interface.
///
/// # Errors
/// When it can't be reached or answers something else.
pub async fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> anyhow::Result<T> {
    let request = hyper::Request::get(path).body(http_body_util::Full::default())?;
    let response = waxwingctl::http::send(addr, request, CONDITION_WAIT).await?;
    serde_json::from_slice(response.body()).with_context(|| format!("{addr}{path} is no such JSON"))
}

async fn ready_line(stdout: ChildStdout) -> anyhow::Result<Value> {
    let mut lines = BufReader::new(stdout).lines();
    while let Some(line) = lines.next_line().await? {
        let value: Option<Value> = serde_json::from_str(&line).ok();
        if let Some(ready) = value.as_ref().and_then(|v| v.get("ready")) {
            let ready = ready.clone();
            // The pipe stays drained, so that the process never blocks on it.
            tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
            return Ok(ready);
        }
    }
    bail!("ended before it was ready")
}

fn tail(log: &Path) -> String {
    let bytes = fs::read(log).unwrap_or_default();
    let from = bytes.len().saturating_sub(LOG_SHOWN_BYTES);
    String::from_utf8_lossy(&bytes[from..]).into_owned()
}
