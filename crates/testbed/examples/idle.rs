//! Measures memory and CPU time of entry VMs without requests, which only exchange
//! membership data:
//! `cargo run --release -p testbed --example idle -- [VMS] [DOMAINS] [BLOCKS] [SECONDS]`.
//!
//! Run `cargo build --release --workspace` first.

use std::fmt::Write as _;
use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;
use serde_json::json;
use testbed::process::Process;
use tokio::time::sleep;

/// Ticks of CPU time per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;
const SETTLE_TIME: Duration = Duration::from_secs(20);
const LOOPBACK: &str = "127.0.0.1:0";

/// CPU time and memory that a process has used.
struct Usage {
    cpu_s: f64,
    rss_kib: u64,
}

fn process_usage(pid: u64) -> anyhow::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok());
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let rss = rss
        .and_then(|l| l.split_whitespace().next())
        .context("no VmRSS")?;
    Ok(Usage {
        cpu_s: (ticks(11).context("no utime")? + ticks(12).context("no stime")?) / TICKS_PER_S,
        rss_kib: rss.parse()?,
    })
}

/// Writes a file of client address blocks of size /26, spread over the failure domains.
fn blocks(dir: &Path, count: u32, domains: usize) -> anyhow::Result<PathBuf> {
    let mut homes = Vec::new();
    for domain in 0..domains {
        let mine = (0..count).filter(|n| *n as usize % domains == domain);
        let block = |n: u32| format!("{}/26", Ipv4Addr::from_bits((10 << 24) | (n << 6)));
        let blocks: Vec<String> = mine.map(block).collect();
        homes.push(json!({"region": "r", "domain": format!("d{domain}"), "blocks": blocks}));
    }
    let path = dir.join("blocks.jsonc");
    fs::write(&path, json!({ "homes": homes }).to_string())?;
    Ok(path)
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut args = std::env::args()
        .skip(1)
        .map_while(|a| a.parse::<u32>().ok());
    let vms = args.next().unwrap_or(12) as usize;
    let domains = args.next().unwrap_or(6) as usize;
    let count = args.next().unwrap_or(300_000);
    let duration = Duration::from_secs(u64::from(args.next().unwrap_or(60)));
    let dir = tempfile::tempdir()?;
    let blocks = blocks(dir.path(), count, domains)?;
    let all: Vec<_> = (0..domains)
        .map(|d| json!({"name": format!("d{d}")}))
        .collect();
    let mut seeds: Vec<String> = Vec::new();
    let mut processes = Vec::new();
    for vm in 0..vms {
        let name = format!("entry-{vm}");
        let settings = json!({
            "name": name, "roles": ["entry"], "secret": "s", "workers": 1,
            "place": {"region": "r", "domain": format!("d{}", vm % domains)},
            "listen": {"front": LOOPBACK, "desk": LOOPBACK, "link": LOOPBACK},
            "zones": {"regions": [{"name": "r", "domains": all}]},
            "seeds": seeds.iter().take(2).collect::<Vec<_>>(),
            "blocks": blocks, "log": {"level": "warn"},
        });
        let path = dir.path().join(format!("{name}.jsonc"));
        fs::write(&path, settings.to_string())?;
        let process = Process::start("waxwingd", &name, [path], dir.path()).await?;
        seeds.push(process.addr("link")?.to_string());
        processes.push(process);
    }
    sleep(SETTLE_TIME).await;
    let before: Vec<Usage> = processes.iter().map(usage_of).collect::<Result<_, _>>()?;
    sleep(duration).await;
    let mut out = String::new();
    let (mut cpu_s, mut most_rss_kib, mut most_cpu_s) = (0.0, 0, 0.0f64);
    for (process, before) in processes.iter().zip(&before) {
        let after = usage_of(process)?;
        cpu_s += after.cpu_s - before.cpu_s;
        most_cpu_s = most_cpu_s.max(after.cpu_s - before.cpu_s);
        most_rss_kib = most_rss_kib.max(after.rss_kib);
    }
    let share = |cpu_s: f64, cores: f64| cpu_s / duration.as_secs_f64() / cores * 100.0;
    let mean = share(cpu_s, f64::from(u32::try_from(vms)?));
    write!(
        out,
        "{vms} entry VMs in {domains} domains, {count} blocks: "
    )?;
    write!(
        out,
        "mean {mean:.2}% of a core, highest {:.2}%; ",
        share(most_cpu_s, 1.0)
    )?;
    println!("{out}highest RSS {} MiB", most_rss_kib / 1024);
    Ok(())
}

fn usage_of(process: &Process) -> anyhow::Result<Usage> {
    process_usage(u64::from(process.pid().context("has ended")?))
}
