//! Test harness that starts the workspace's binaries, waits until they are ready and
//! signals them by process id.

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

/// Timeout of a process's start, until it prints its ready line.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of [`wait_until`] and of requests in [`get`].
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum size of the end of a process's log that is shown after a failure.
const LOG_SHOWN_BYTES: usize = 8 * 1024;

/// A process that the harness started; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Name in messages and of the log file.
    pub name: String,
    /// Value of `ready` in the JSON line that the process printed when it was ready;
    /// `null` for [`Process::launch`].
    pub ready: Value,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a binary of the workspace and waits until it prints its ready line.
    ///
    /// Its standard error is appended to `NAME.log` in `dir`.
    ///
    /// # Errors
    /// When the binary isn't built or doesn't start, or when it ends or 20 s pass before
    /// it is ready.
    pub async fn start(
        binary: &str,
        name: &str,
        args: impl IntoIterator<Item = impl AsRef<std::ffi::OsStr>>,
        dir: &Path,
    ) -> anyhow::Result<Self> {
        let log = dir.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log);
        let file = file.with_context(|| format!("could not open {}", log.display()))?;
        let mut child = Command::new(binary_path(binary)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("could not start {binary}"))?;
        let stdout = child.stdout.take().context("no standard output")?;
        let ready = timeout(READY_TIMEOUT, ready_line(stdout)).await;
        let ready = ready
            .unwrap_or_else(|_| bail!("is not ready in time"))
            .with_context(|| format!("{name} failed to start; its log:\n{}", log_tail(&log)))?;
        Ok(Self {
            name: name.to_owned(),
            ready,
            log,
            child,
        })
    }

    /// Starts a program that prints no ready line.
    ///
    /// Its standard output and error are appended to `NAME.log` in `dir`.
    ///
    /// # Errors
    /// When the program doesn't start.
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

    /// Returns an address from the process's ready line.
    ///
    /// # Errors
    /// When the field is missing or holds no address.
    pub fn addr(&self, field: &str) -> anyhow::Result<SocketAddr> {
        let text = self.ready[field].as_str();
        let text = text.with_context(|| format!("{}: no {field} in {}", self.name, self.ready))?;
        text.parse()
            .with_context(|| format!("{}: bad {field} {text:?}", self.name))
    }

    /// Returns the contents of the process's log file; empty when it can't be read.
    #[must_use]
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the id of the process.
    ///
    /// # Errors
    /// When it has ended.
    pub fn pid(&self) -> anyhow::Result<u32> {
        self.child.id().context("process has ended")
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// When the process has ended.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = i32::try_from(self.pid()?).context("bad pid")?;
        kill(Pid::from_raw(pid), signal).with_context(|| format!("could not signal {}", self.name))
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    ///
    /// # Errors
    /// When the process can't be signalled.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill().await.context("could not kill")
    }

    /// Freezes the process with SIGSTOP; it may run on for a moment, see
    /// [`Process::wait_frozen`].
    ///
    /// # Errors
    /// When the process can't be signalled.
    pub fn freeze(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Waits until the kernel reports the process as stopped.
    ///
    /// # Errors
    /// When the process has ended or isn't stopped within 20 s.
    pub async fn wait_frozen(&self) -> anyhow::Result<()> {
        let path = format!("/proc/{}/stat", self.pid()?);
        let poll = || async {
            let stat = fs::read_to_string(&path).ok()?;
            let (_, state) = stat.rsplit_once(") ")?;
            state.starts_with('T').then_some(())
        };
        wait_until("process is stopped", poll).await
    }

    /// Resumes a frozen process with SIGCONT.
    ///
    /// # Errors
    /// When the process can't be signalled.
    pub fn thaw(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Sends SIGHUP, on which a process reloads its settings.
    ///
    /// # Errors
    /// When the process can't be signalled.
    pub fn hang_up(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGHUP)
    }

    /// Sends SIGTERM, on which a process drains and exits.
    ///
    /// # Errors
    /// When the process can't be signalled.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits for the process to exit and returns its exit status.
    ///
    /// # Errors
    /// When the process doesn't exit within `wait`.
    pub async fn wait_exit(&mut self, wait: Duration) -> anyhow::Result<ExitStatus> {
        let status = timeout(wait, self.child.wait()).await;
        let status = status.with_context(|| format!("{} has not ended in time", self.name))?;
        status.context("could not wait")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("--- log of {}:\n{}", self.name, log_tail(&self.log));
        }
    }
}

/// Returns the path of a binary of the workspace, which is looked for in the folder of
/// the running binary and in that folder's parent.
///
/// # Errors
/// When the binary isn't built.
pub fn binary_path(binary: &str) -> anyhow::Result<PathBuf> {
    let current = env::current_exe().context("could not find the running binary")?;
    let folders = current.ancestors().skip(1).take(2);
    let value = folders.map(|dir| dir.join(binary)).find(|p| p.is_file());
    value.with_context(|| format!("{binary} isn't built; run `cargo build --workspace` first"))
}

/// Calls `poll` every 20 ms until it returns a value, and returns that value.
///
/// # Errors
/// When `poll` returns no value within 20 s; the error names the condition `condition`.
pub async fn wait_until<T, F>(condition: &str, mut poll: impl FnMut() -> F) -> anyhow::Result<T>
where
    F: Future<Output = Option<T>>,
{
    let value = timeout(CONDITION_TIMEOUT, async {
        loop {
            if let Some(value) = poll().await {
                return value;
            }
            sleep(POLL_INTERVAL).await;
        }
    });
    value
        .await
        .with_context(|| format!("condition not met in time: {condition}"))
}

/// Sends a GET request and parses the response body as JSON.
///
/// # Errors
/// When no response comes within 20 s or its body has another form.
pub async fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> anyhow::Result<T> {
    let request = hyper::Request::get(path).body(http_body_util::Full::default())?;
    let response = waxwingctl::http::send(addr, request, CONDITION_TIMEOUT).await?;
    serde_json::from_slice(response.body())
        .with_context(|| format!("unexpected JSON from {addr}{path}"))
}

/// Reads standard output up to the ready line and returns the value of `ready`.
async fn ready_line(stdout: ChildStdout) -> anyhow::Result<Value> {
    let mut lines = BufReader::new(stdout).lines();
    while let Some(line) = lines.next_line().await? {
        let value: Option<Value> = serde_json::from_str(&line).ok();
        if let Some(ready) = value.as_ref().and_then(|v| v.get("ready")) {
            let ready = ready.clone();
            // Further output is read and dropped, so that the process never blocks on a
            // full pipe.
            tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
            return Ok(ready);
        }
    }
    bail!("ended before it was ready")
}

/// Returns the end of a log file, at most `LOG_SHOWN_BYTES` bytes.
fn log_tail(log: &Path) -> String {
    let bytes = fs::read(log).unwrap_or_default();
    let from = bytes.len().saturating_sub(LOG_SHOWN_BYTES);
    String::from_utf8_lossy(&bytes[from..]).into_owned()
}
