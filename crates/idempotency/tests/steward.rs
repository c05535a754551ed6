//! What a caller hears and what runs, for each way in which one send can go.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{Faults, Site, digest, id};
use idempotency::{
    Dispatch, Job, LedgerClient, Reply, Request, Right, Sent, Settled, Steward, StoredAnswer,
};
use rstest::rstest;
use tokio::time::{Instant, sleep};
use world::{Error, Kind};

/// Where the one fault strikes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    LedgerAway,
    BeginLost,
    BeginLate,
    BeginReplyLost,
    BeginRepliesLost,
    FinishReplyLost,
    FinishLost,
    FrozenBeforeSend,
    NoServer,
    Shed,
    ShedAlways,
    NoAnswer,
    TooLarge,
}

#[derive(Clone)]
struct Vm {
    site: Arc<Site>,
    fault: Fault,
    begins: Arc<AtomicUsize>,
    runs: Arc<AtomicUsize>,
    sheds: usize,
}

fn silent() -> Error {
    Error::new(Kind::Unreachable, "no reply")
}

impl LedgerClient for Vm {
    async fn ask(&self, request: Request) -> Result<Reply, Error> {
        sleep(Duration::from_millis(5)).await;
        let begin = matches!(request, Request::Begin { .. });
        let finish = matches!(request, Request::Finish { .. });
        let begins = self.begins.fetch_add(usize::from(begin), Ordering::Relaxed);
        match self.fault {
            Fault::LedgerAway => return Err(silent()),
            Fault::BeginLost if begin => return Err(silent()),
            Fault::FinishLost if finish => return Err(silent()),
            Fault::BeginLate if begin => {
                let site = Arc::clone(&self.site);
                tokio::spawn(async move {
                    sleep(Duration::from_secs(8)).await;
                    site.apply(request);
                });
                return Err(silent());
            }
            _ => {}
        }
        let reply = self.site.apply(request);
        let lost = match self.fault {
            Fault::BeginReplyLost => begin && begins == 0,
            Fault::BeginRepliesLost => begin,
            Fault::FinishReplyLost => finish && self.site.chance(50),
            _ => false,
        };
        if lost { Err(silent()) } else { Ok(reply) }
    }
}

impl Dispatch for Vm {
    type Answer = StoredAnswer;
    type Ready = ();

    async fn ready(&mut self, _deadline: Instant) -> Result<(), Error> {
        match self.fault {
            Fault::NoServer => Err(Error::new(Kind::NoServer, "none")),
            _ => Ok(()),
        }
    }

    async fn send(&mut self, (): (), right: &Right) -> Sent<StoredAnswer> {
        if self.fault == Fault::FrozenBeforeSend {
            sleep(Duration::from_secs(60)).await;
        }
        if Instant::now() >= right.ends {
            return Sent::NotRun(Error::new(Kind::DeadlineWaiting, "late"));
        }
        self.sheds += 1;
        let shed = Sent::NotRun(Error::new(Kind::ServerShed, "shed"));
        match self.fault {
            Fault::ShedAlways => return shed,
            Fault::Shed if self.sheds == 1 => return shed,
            _ => {}
        }
        self.runs.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(50)).await;
        match self.fault {
            Fault::NoAnswer => Sent::Unknown(Error::new(Kind::BadAnswer, "cut off")),
            Fault::TooLarge => Sent::Answer(StoredAnswer::new(200, vec![b'x'; 100_000])),
            _ => Sent::Answer(StoredAnswer::new(201, "booked")),
        }
    }
}

fn told(result: &Result<Settled<StoredAnswer>, Error>) -> String {
    match result {
        Ok(Settled::Fresh(answer)) => format!("fresh {}", answer.status),
        Ok(Settled::Stored(answer)) => format!("stored {}", answer.status),
        Err(error) => format!("{} ({})", error.kind, error.kind.answer().ran.as_str()),
    }
}

async fn run(vm: &Vm, body: &str) -> String {
    let started = Instant::now();
    let job = Job {
        id: id("k"),
        digest: digest(body),
        deadline: started + Duration::from_secs(10),
    };
    let result = Steward::new(vm.clone()).run(&job, &mut vm.clone()).await;
    let runs = vm.runs.load(Ordering::Relaxed);
    format!(
        "{}; {runs} runs; {} ms",
        told(&result),
        started.elapsed().as_millis()
    )
}

#[rstest]
#[case(Fault::None)]
#[case(Fault::LedgerAway)]
#[case(Fault::BeginLost)]
#[case(Fault::BeginLate)]
#[case(Fault::BeginReplyLost)]
#[case(Fault::BeginRepliesLost)]
#[case(Fault::FinishReplyLost)]
#[case(Fault::FinishLost)]
#[case(Fault::FrozenBeforeSend)]
#[case(Fault::NoServer)]
#[case(Fault::Shed)]
#[case(Fault::ShedAlways)]
#[case(Fault::NoAnswer)]
#[case(Fault::TooLarge)]
#[tokio::test(start_paused = true)]
async fn one_fault(#[case] fault: Fault) {
    let vm = Vm {
        site: Site::new(7, Faults::default()),
        fault,
        begins: Arc::default(),
        runs: Arc::default(),
        sheds: 0,
    };
    let sound = Vm {
        fault: Fault::None,
        ..vm.clone()
    };
    let first = run(&vm, "a").await;
    let resent = run(&sound, "a").await;
    let other = run(&sound, "b").await;
    sleep(Duration::from_secs(20)).await;
    let later = run(&sound, "a").await;
    insta::assert_snapshot!(
        format!("{fault:?}"),
        format!("first   {first}\nresent  {resent}\nother   {other}\nlater   {later}")
    );
}
