//! Handover of backend servers: two entry VMs never own a server at once.

use std::collections::BTreeMap;
use std::time::Duration;

use peers::owner::{MembershipView, Owners, Ownership, owner};
use proptest::prelude::*;
use tokio::time::Instant;
use world::{MachineName, ServerName};

const LEASE: Duration = Duration::from_secs(3);
/// Least time from a VM's last reply until other VMs declare it dead.
const DETECTION: Duration = Duration::from_millis(4_200);

fn vm(index: usize) -> MachineName {
    MachineName::new(&format!("entry-{index}")).expect("name")
}

fn server(index: usize) -> ServerName {
    ServerName::new(&format!("terminy-{index}")).expect("name")
}

fn view(live: &[usize], last_contact_at: Option<Instant>) -> MembershipView {
    MembershipView {
        live: live.iter().map(|i| vm(*i)).collect(),
        knows_others: true,
        last_contact_at,
    }
}

#[test]
fn servers_spread_and_only_the_lost_ones_move() {
    let all: Vec<MachineName> = (0..4).map(vm).collect();
    let without: Vec<MachineName> = (1..4).map(vm).collect();
    let mut before = BTreeMap::new();
    let mut after = BTreeMap::new();
    for index in 0..1_000 {
        let old = owner(&server(index), &all).expect("owner").clone();
        let new = owner(&server(index), &without).expect("owner").clone();
        assert!(old == new || old == vm(0));
        *before.entry(old).or_insert(0) += 1;
        *after.entry(new).or_insert(0) += 1;
    }
    insta::assert_debug_snapshot!((before, after));
}

#[test]
fn ownership_of_two_vms_during_a_partition() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let lost = (0..100)
        .map(server)
        .find(|s| owner(s, &[vm(0), vm(1)]) == Some(&vm(0)));
    let lost = lost.expect("a server of entry-0");
    let mut isolated = Owners::new(vm(0), LEASE, start);
    let mut connected = Owners::new(vm(1), LEASE, start);
    let mut rows = Vec::new();
    for second in 0..50 {
        let now = at(second);
        // entry-0 receives nothing from second 10 to 45. From second 15 to 46 each VM
        // considers the other one dead.
        let is_cut = (10..45).contains(&second);
        let is_split = (15..46).contains(&second);
        let last_contact = if is_cut { at(9) } else { now };
        let (mine, theirs): (&[usize], &[usize]) = if is_split {
            (&[0], &[1])
        } else {
            (&[0, 1], &[0, 1])
        };
        isolated.update_view(now, view(mine, Some(last_contact)));
        connected.update_view(now, view(theirs, Some(now)));
        let ownerships = [
            isolated.ownership(now, &lost),
            connected.ownership(now, &lost),
        ]
        .map(|ownership| match ownership {
            Ownership::Owner => "owner".to_owned(),
            Ownership::OwnerFrom(from) => format!("waits to {} s", (from - start).as_secs()),
            Ownership::OwnedBy(name) => format!("is with {name}"),
            Ownership::Lapsed => "lapsed".to_owned(),
        });
        let row = format!("cut {}, other {}", ownerships[0], ownerships[1]);
        if rows.last().is_none_or(|(_, last)| *last != row) {
            rows.push((second, row));
        }
    }
    let rows: Vec<String> = rows
        .iter()
        .map(|(s, row)| format!("{s:2} s: {row}"))
        .collect();
    insta::assert_snapshot!(rows.join("\n"));
}

/// An equal digest of every other live VM must end the wait early. A digest must not be
/// sent while a VM that is no longer live may still own servers.
#[test]
fn agreement_ends_the_wait_and_a_loss_does_not() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mine = (0..100)
        .map(server)
        .find(|s| owner(s, &[vm(0), vm(1)]) == Some(&vm(0)))
        .expect("a server of entry-0");
    let mut first = Owners::new(vm(0), LEASE, start);
    let mut second = Owners::new(vm(1), LEASE, start);
    first.update_view(at(0), view(&[0, 1], Some(at(0))));
    second.update_view(at(0), view(&[0, 1], Some(at(0))));
    let mut rows = vec![format!(
        "alone: {:?}",
        first.ownership(at(100), &mine) == Ownership::Owner
    )];
    let digest = second.digest(at(500)).expect("nothing was lost");
    first.record_digest(at(500), &vm(1), digest);
    rows.push(format!(
        "agreed: {:?}",
        first.ownership(at(501), &mine) == Ownership::Owner
    ));
    second.update_view(at(600), view(&[1], Some(at(600))));
    rows.push(format!(
        "sends a digest while the lost VM's lease runs: {:?}",
        second.digest(at(700)).is_some()
    ));
    rows.push(format!(
        "sends a digest after the lease: {:?}",
        second.digest(at(3_600)).is_some()
    ));
    let digest = second.digest(at(3_600)).expect("the lease is over");
    first.update_view(at(3_600), view(&[0, 1, 2], Some(at(3_600))));
    first.record_digest(at(3_700), &vm(1), digest);
    rows.push(format!(
        "digest of other VMs: {:?}",
        first.ownership(at(3_701), &server(0)) == Ownership::Owner
    ));
    insta::assert_snapshot!(rows.join("\n"));
}

/// A VM that was suspended must not use a server that another VM may have taken over:
/// its ownership lapses until it refreshes its view, and then it waits as after a start.
#[test]
fn a_suspended_owner_owns_nothing_when_it_resumes() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut owners = Owners::new(vm(0), LEASE, start);
    let mut ownerships = Vec::new();
    for second in 0..10 {
        owners.update_view(at(second), view(&[0], Some(at(second))));
    }
    ownerships.push(owners.ownership(at(10), &server(1)));
    ownerships.push(owners.ownership(at(70), &server(1)));
    owners.update_view(at(70), view(&[0], Some(at(70))));
    ownerships.push(owners.ownership(at(70), &server(1)));
    let waits = matches!(ownerships[2], Ownership::OwnerFrom(from) if from == at(76));
    assert!(waits, "{ownerships:?}");
    assert_eq!(ownerships[..2], [Ownership::Owner, Ownership::Lapsed]);
}

proptest! {
    /// Each of three VMs is cut off at any time. The others declare it dead no earlier
    /// than failure detection allows, and up to a second late. No two VMs may own one
    /// server at once, except for a VM that counts as the only one left; the cuts are too
    /// short for that.
    #[test]
    fn at_most_one_vm_owns_a_server(
        cuts in prop::collection::vec((0usize..3, 1u64..40, 1u64..20), 0..6),
        lags in prop::collection::vec(0u64..10, 3),
        delays in prop::collection::vec(0u64..8, 3),
    ) {
        let start = Instant::now();
        let mut in_transit: Vec<(u64, usize, u64)> = Vec::new();
        let mut owners: Vec<Owners> = (0..3).map(|i| Owners::new(vm(i), LEASE, start)).collect();
        for step in 0u64..600 {
            let now = start + Duration::from_millis(step * 100);
            let cut_since = |vm: usize, at: u64| {
                let cut = |c: &&(usize, u64, u64)| {
                    c.0 == vm && (c.1 * 10..(c.1 + c.2) * 10).contains(&at)
                };
                cuts.iter().filter(cut).map(|c| at - c.1 * 10).max()
            };
            for (index, owner) in owners.iter_mut().enumerate() {
                let late = step.saturating_sub(lags[index]);
                let detection = u64::try_from(DETECTION.as_millis()).expect("small") / 100;
                let is_declared_dead =
                    |vm: usize| cut_since(vm, late).is_some_and(|since| since >= detection);
                let cut_for = cut_since(index, step);
                let live: Vec<usize> = (0..3)
                    .filter(|vm| {
                        *vm == index
                            || !(is_declared_dead(*vm) || cut_for.is_some_and(|s| s >= detection))
                    })
                    .collect();
                let last_contact_at = now - Duration::from_millis(cut_for.unwrap_or(0) * 100);
                owner.update_view(now, view(&live, Some(last_contact_at)));
            }
            // Digests arrive at the other VMs after a delay, and are lost during a cut.
            for (index, owner) in owners.iter().enumerate() {
                if let Some(digest) = owner.digest(now).filter(|_| step % 5 == 0) {
                    in_transit.push((step + delays[index], index, digest));
                }
            }
            let (arrived, remaining) = in_transit.into_iter().partition(|t| t.0 <= step);
            in_transit = remaining;
            let arrived: Vec<(u64, usize, u64)> = arrived;
            for (_, from, digest) in arrived {
                let reached = |to: &usize| {
                    *to != from && cut_since(*to, step).is_none() && cut_since(from, step).is_none()
                };
                for to in (0..3).filter(reached) {
                    owners[to].record_digest(now, &vm(from), digest);
                }
            }
            for server in (0..6).map(server) {
                let owner_count = owners
                    .iter_mut()
                    .filter_map(|o| (o.ownership(now, &server) == Ownership::Owner).then_some(()))
                    .count();
                prop_assert!(owner_count <= 1, "{owner_count} VMs own {server} at step {step}");
            }
        }
    }
}
