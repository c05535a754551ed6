//! Credits: reserved and claimed slots never exceed the region's slots, whatever
//! the order of grants, lost responses, late claims and restarts of the issuer.

use std::time::Duration;

use admission::{Claim, CreditId, CreditSettings, Grant, Holder, Issuer, PendingRequest};
use proptest::prelude::*;
use tokio::time::Instant;
use world::MachineName;

const SLOTS: u32 = 12;
const HOLDERS: usize = 3;

fn vm(number: usize) -> MachineName {
    MachineName::new(&format!("vm{number}")).expect("name")
}

#[derive(Clone, Debug)]
enum Op {
    Request {
        holder: usize,
        wanted: u32,
        lost: bool,
    },
    Spend {
        holder: usize,
        /// Time until the claim arrives, milliseconds.
        late_ms: u64,
    },
    Release(usize),
    /// Sets the number of running requests of the region's own clients.
    Local(u32),
    Restart,
    Advance(u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        5 => (0..HOLDERS, 1..9_u32, any::<bool>())
            .prop_map(|(holder, wanted, lost)| Op::Request { holder, wanted, lost }),
        6 => (0..HOLDERS, 0..1_500_u64)
            .prop_map(|(holder, late_ms)| Op::Spend { holder, late_ms }),
        3 => any::<usize>().prop_map(Op::Release),
        3 => (0..SLOTS).prop_map(Op::Local),
        1 => Just(Op::Restart),
        4 => (0..900_u64).prop_map(Op::Advance),
    ];
    prop::collection::vec(op, 1..150)
}

struct Region {
    now: Instant,
    issuer: Issuer,
    epoch: u64,
    restarted_at: Instant,
    holders: Vec<Holder>,
    claims: Vec<Claim>,
    /// Running requests of the region's own clients.
    local: u32,
    /// Running requests that were admitted on credits before a restart.
    earlier: usize,
}

fn settings() -> CreditSettings {
    CreditSettings {
        ramp_ms: 2_000,
        foreign_share: 0.8,
        ..CreditSettings::default()
    }
}

impl Region {
    fn apply(&mut self, op: &Op) {
        match op {
            Op::Request {
                holder,
                wanted,
                lost,
            } => self.request_credits(*holder, *wanted, *lost),
            Op::Spend { holder, late_ms } => self.spend(*holder, *late_ms),
            Op::Release(at) if !self.claims.is_empty() => {
                let claim = self.claims.swap_remove(at % self.claims.len());
                self.issuer.release(claim);
            }
            Op::Local(wanted) => {
                self.local = 0;
                let reserved = self.issuer.reserved(self.now);
                self.local = (*wanted).min(self.spare().saturating_sub(reserved));
            }
            Op::Restart => {
                self.epoch += 1;
                self.restarted_at = self.now;
                self.issuer = Issuer::new(self.now, settings(), self.epoch);
                self.earlier += self.claims.len();
                self.claims.clear();
            }
            Op::Advance(ms) => self.now += Duration::from_millis(*ms),
            Op::Release(_) => {}
        }
    }

    fn request_credits(&mut self, holder: usize, wanted: u32, lost: bool) {
        let pending: PendingRequest = self.holders[holder].request(self.now, wanted);
        let spare = self.spare();
        let grant = self
            .issuer
            .grant(self.now, &vm(holder), wanted, SLOTS, spare);
        if let Some(grant) = grant.filter(|_| !lost) {
            self.holders[holder].granted(pending, &grant);
        }
    }

    /// Returns the number of slots without a running request.
    fn spare(&self) -> u32 {
        let running_on_credits = u32::try_from(self.claims.len() + self.earlier).expect("few");
        SLOTS.saturating_sub(running_on_credits + self.local)
    }

    fn spend(&mut self, holder: usize, late_ms: u64) {
        let Some((id, _)) = self.holders[holder].spend(self.now, Duration::ZERO) else {
            return;
        };
        self.now += Duration::from_millis(late_ms);
        self.claims.extend(self.issuer.claim(self.now, id));
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        let now = self.now;
        let held: usize = self.holders.iter_mut().map(|h| h.live(now)).sum();
        prop_assert!(self.issuer.occupied() <= SLOTS * 8 / 10, "above the cap");
        let reserved = self.issuer.reserved(now) as usize;
        let used = reserved + self.claims.len() + self.earlier + self.local as usize;
        prop_assert!(
            used <= SLOTS as usize,
            "{used} reserved or running of {SLOTS}"
        );
        // A restarted issuer refuses credits of earlier epochs, so holders may
        // still have them until the lifetime has passed.
        if now >= self.restarted_at + Duration::from_millis(settings().ttl_ms) {
            prop_assert!(held <= reserved, "{held} held, {reserved} reserved");
        }
        Ok(())
    }
}

proptest! {
    #[test]
    fn reserved_and_running_stay_under_capacity(ops in ops()) {
        let now = Instant::now();
        let mut region = Region {
            now,
            issuer: Issuer::new(now, settings(), 0),
            epoch: 0,
            restarted_at: now,
            holders: (0..HOLDERS).map(|_| Holder::new()).collect(),
            claims: Vec::new(),
            local: 0,
            earlier: 0,
        };
        for op in &ops {
            region.apply(op);
            region.check()?;
        }
    }
}

#[test]
fn ramp_after_a_start_and_a_partition() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut issuer = Issuer::new(start, CreditSettings::default(), 1);
    let mut rows = Vec::new();
    for ms in [0, 999, 1_000, 2_000, 4_000, 11_000, 20_000, 21_000, 25_000] {
        if ms == 20_000 {
            issuer.restart_ramp(at(ms));
        }
        let grant = issuer.grant(at(ms), &vm(0), 99, 40, 40);
        let count = grant.map_or(0, |g| g.count);
        rows.push(format!(
            "{ms:>5} ms: cap {:>2}, granted {count}",
            issuer.cap(at(ms), 40)
        ));
        issuer = give_all_back(issuer, grant);
    }
    insta::assert_snapshot!(rows.join("\n"));
}

fn give_all_back(mut issuer: Issuer, grant: Option<Grant>) -> Issuer {
    if let Some(grant) = grant {
        for offset in 0..u64::from(grant.count) {
            let number = grant.first.number + offset;
            issuer.cancel(CreditId {
                number,
                ..grant.first
            });
        }
    }
    issuer
}

#[test]
fn holders_share_and_late_claims_are_refused() {
    let start = Instant::now();
    let open = start + Duration::from_secs(60);
    let mut issuer = Issuer::new(start, CreditSettings::default(), 3);
    let first = issuer.grant(open, &vm(0), 8, 20, 20).expect("grant");
    let second = issuer.grant(open, &vm(1), 8, 20, 20).expect("grant");
    let third = issuer.grant(open, &vm(2), 8, 20, 20);
    let claim = issuer.claim(open, first.first).expect("live");
    let again = issuer.claim(open, first.first).map(|_| ());
    let earlier = CreditId {
        epoch: 2,
        ..second.first
    };
    let other_epoch = issuer.claim(open, earlier).map(|_| ());
    let late = open + Duration::from_secs(1);
    let expired = issuer.claim(late, second.first).map(|_| ());
    let occupied = issuer.occupied();
    issuer.release(claim);
    insta::assert_debug_snapshot!((
        first,
        second,
        third,
        again,
        other_epoch,
        expired,
        occupied,
        issuer.occupied()
    ));
}
