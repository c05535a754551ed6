//! Response to the client and number of runs, with one fault injected.
//!
//! Guards against a second run and against a false "not run" when one step of an
//! operation fails. Each case also repeats the request, at once and after 20 s.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{Faults, SharedFakes, digest, id};
use idempotency::{
    Coordinator, Dispatch, DispatchResult, ExecutionGrant, Job, LedgerClient, OperationOutcome,
    Request, Response, StoredAnswer,
};
use rstest::rstest;
use tokio::time::{Instant, sleep};
use world::{Error, ErrorKind};

/// The injected fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    LedgerAway,
    BeginLost,
    BeginLate,
    BeginResponseLost,
    BeginResponsesLost,
    FinishResponseLost,
    FinishLost,
    FrozenBeforeSend,
    NoServer,
    Shed,
    ShedAlways,
    ServerResponseTruncated,
    TooLarge,
}

/// An entry VM with an injected fault.
#[derive(Clone)]
struct Vm {
    fakes: Arc<SharedFakes>,
    fault: Fault,
    begins: Arc<AtomicUsize>,
    runs: Arc<AtomicUsize>,
    sends: usize,
}

fn no_response() -> Error {
    Error::new(ErrorKind::Unreachable, "no response")
}

impl LedgerClient for Vm {
    async fn call(&self, request: Request) -> Result<Response, Error> {
        sleep(Duration::from_millis(5)).await;
        let is_begin = matches!(request, Request::Begin { .. });
        let is_finish = matches!(request, Request::Finish { .. });
        let begins = self
            .begins
            .fetch_add(usize::from(is_begin), Ordering::Relaxed);
        match self.fault {
            Fault::LedgerAway => return Err(no_response()),
            Fault::BeginLost if is_begin => return Err(no_response()),
            Fault::FinishLost if is_finish => return Err(no_response()),
            Fault::BeginLate if is_begin => {
                let fakes = Arc::clone(&self.fakes);
                tokio::spawn(async move {
                    sleep(Duration::from_secs(8)).await;
                    fakes.apply(request);
                });
                return Err(no_response());
            }
            _ => {}
        }
        let response = self.fakes.apply(request);
        let is_lost = match self.fault {
            Fault::BeginResponseLost => is_begin && begins == 0,
            Fault::BeginResponsesLost => is_begin,
            Fault::FinishResponseLost => is_finish && self.fakes.chance(50),
            _ => false,
        };
        if is_lost {
            Err(no_response())
        } else {
            Ok(response)
        }
    }
}

impl Dispatch for Vm {
    type Answer = StoredAnswer;
    type Ready = ();

    async fn ready(&mut self, _deadline: Instant) -> Result<(), Error> {
        match self.fault {
            Fault::NoServer => Err(Error::new(ErrorKind::NoServer, "none")),
            _ => Ok(()),
        }
    }

    async fn send(&mut self, (): (), grant: &ExecutionGrant) -> DispatchResult<StoredAnswer> {
        if self.fault == Fault::FrozenBeforeSend {
            sleep(Duration::from_secs(60)).await;
        }
        if Instant::now() >= grant.expires_at {
            return DispatchResult::NotRun(Error::new(ErrorKind::DeadlineWaiting, "late"));
        }
        self.sends += 1;
        let shed = DispatchResult::NotRun(Error::new(ErrorKind::ServerShed, "shed"));
        match self.fault {
            Fault::ShedAlways => return shed,
            Fault::Shed if self.sends == 1 => return shed,
            _ => {}
        }
        self.runs.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(50)).await;
        match self.fault {
            Fault::ServerResponseTruncated => {
                DispatchResult::Unknown(Error::new(ErrorKind::BadAnswer, "cut off"))
            }
            Fault::TooLarge => DispatchResult::Answer(StoredAnswer::new(200, vec![b'x'; 100_000])),
            _ => DispatchResult::Answer(StoredAnswer::new(201, "booked")),
        }
    }
}

fn describe(result: &Result<OperationOutcome<StoredAnswer>, Error>) -> String {
    match result {
        Ok(OperationOutcome::Fresh(answer)) => format!("fresh {}", answer.status),
        Ok(OperationOutcome::Stored(answer)) => format!("stored {}", answer.status),
        Err(error) => format!("{} ({})", error.kind, error.kind.response().ran.as_str()),
    }
}

/// Runs the operation and describes the result, the number of runs and the time taken.
async fn run(vm: &Vm, body: &str) -> String {
    let started = Instant::now();
    let job = Job {
        id: id("k"),
        digest: digest(body),
        deadline: started + Duration::from_secs(10),
    };
    let result = Coordinator::new(vm.clone())
        .run(&job, &mut vm.clone())
        .await;
    let runs = vm.runs.load(Ordering::Relaxed);
    format!(
        "{}; {runs} runs; {} ms",
        describe(&result),
        started.elapsed().as_millis()
    )
}

#[rstest]
#[case(Fault::None)]
#[case(Fault::LedgerAway)]
#[case(Fault::BeginLost)]
#[case(Fault::BeginLate)]
#[case(Fault::BeginResponseLost)]
#[case(Fault::BeginResponsesLost)]
#[case(Fault::FinishResponseLost)]
#[case(Fault::FinishLost)]
#[case(Fault::FrozenBeforeSend)]
#[case(Fault::NoServer)]
#[case(Fault::Shed)]
#[case(Fault::ShedAlways)]
#[case(Fault::ServerResponseTruncated)]
#[case(Fault::TooLarge)]
#[tokio::test(start_paused = true)]
async fn one_fault(#[case] fault: Fault) {
    let vm = Vm {
        fakes: SharedFakes::new(7, Faults::default()),
        fault,
        begins: Arc::default(),
        runs: Arc::default(),
        sends: 0,
    };
    let healthy = Vm {
        fault: Fault::None,
        ..vm.clone()
    };
    let first = run(&vm, "a").await;
    let repeated = run(&healthy, "a").await;
    let other_body = run(&healthy, "b").await;
    sleep(Duration::from_secs(20)).await;
    let later = run(&healthy, "a").await;
    insta::assert_snapshot!(
        format!("{fault:?}"),
        format!("first   {first}\nresent  {repeated}\nbody b  {other_body}\nlater   {later}")
    );
}
