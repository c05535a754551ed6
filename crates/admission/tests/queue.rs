//! Order in which queued requests are served, and which ones are shed.

use std::time::Duration;

use admission::{Discipline, Queue, QueueSettings, Waiting};
use proptest::prelude::*;
use tokio::time::Instant;
use world::{Class, CustomerName};

fn waiting(now: Instant, customer: &str, priority: u8, class: Class, payload: u32) -> Waiting<u32> {
    Waiting {
        customer: CustomerName::new(customer).expect("name"),
        priority,
        class,
        since: now,
        deadline: now + Duration::from_secs(1),
        payload,
    }
}

fn drain_in_order(queue: &mut Queue<u32>, now: Instant) -> String {
    let mut rows = Vec::new();
    while let Some(w) = queue.pop(now, |_| true) {
        rows.push(format!("{} {} {}", w.customer, w.class.as_str(), w.payload));
    }
    rows.join("\n")
}

fn settings(discipline: Discipline) -> QueueSettings {
    QueueSettings {
        discipline,
        length_max: 8,
        short_turns: 3,
        stale_ms: 200,
    }
}

fn fill(queue: &mut Queue<u32>, now: Instant) -> Vec<String> {
    let requests = [
        ("bulk", 5, Class::Long),
        ("bulk", 5, Class::Long),
        ("cheap", 1, Class::Short),
        ("cheap", 1, Class::Short),
        ("busy", 5, Class::Short),
        ("busy", 5, Class::Short),
        ("busy", 5, Class::Short),
        ("calm", 5, Class::Short),
        ("gold", 9, Class::Short),
        ("gold", 9, Class::Short),
        ("busy", 5, Class::Short),
        ("calm", 5, Class::Short),
    ];
    let mut shed = Vec::new();
    for (number, (customer, priority, class)) in (0..).zip(requests) {
        let new = waiting(now, customer, priority, class, number);
        if let Some(removed) = queue.push(new) {
            shed.push(format!("{} {}", removed.customer, removed.payload));
        }
    }
    shed
}

#[test]
fn important_first_and_the_least_important_shed() {
    let now = Instant::now();
    let mut fair = Queue::new(settings(Discipline::Fair));
    let mut fifo = Queue::new(settings(Discipline::Fifo));
    let mut rows = Vec::new();
    for (name, queue) in [("fair", &mut fair), ("fifo", &mut fifo)] {
        let shed = fill(queue, now).join(", ");
        rows.push(format!(
            "{name}: shed {shed}\n{}",
            drain_in_order(queue, now)
        ));
    }
    insta::assert_snapshot!(rows.join("\n\n"));
}

#[test]
fn neither_class_starves() {
    let now = Instant::now();
    let mut queue = Queue::new(QueueSettings {
        length_max: 100,
        ..settings(Discipline::Fair)
    });
    for number in 0..8 {
        queue.push(waiting(now, "a", 1, Class::Short, number));
        queue.push(waiting(now, "a", 1, Class::Long, number));
    }
    let only_short = queue
        .pop(now, |class| class == Class::Short)
        .map(|w| w.payload);
    let only_long = queue
        .pop(now, |class| class == Class::Long)
        .map(|w| w.payload);
    assert_eq!((only_short, only_long), (Some(0), Some(0)));
    insta::assert_snapshot!(drain_in_order(&mut queue, now));
}

#[test]
fn stale_work_gives_way_and_expires() {
    let start = Instant::now();
    let later = start + Duration::from_millis(300);
    let mut queue = Queue::new(settings(Discipline::Fair));
    for number in 0..3 {
        queue.push(waiting(start, "a", 1, Class::Short, number));
    }
    queue.push(waiting(later, "a", 1, Class::Short, 3));
    let next = queue.pop(later, |_| true).map(|w| w.payload);
    let expired = queue.expire(start + Duration::from_secs(1));
    let expired: Vec<_> = expired.iter().map(|w| w.payload).collect();
    assert_eq!((next, expired, queue.len()), (Some(3), vec![0, 1, 2], 0));
}

#[test]
fn a_request_returned_to_the_queue_keeps_its_position() {
    let now = Instant::now();
    for discipline in [Discipline::Fair, Discipline::Fifo] {
        let mut queue = Queue::new(settings(discipline));
        for (number, customer) in (0..).zip(["a", "b", "a", "b"]) {
            queue.push(waiting(now, customer, 1, Class::Short, number));
        }
        let first = queue.pop(now, |_| true).expect("first");
        let second = queue.pop(now, |_| true).expect("second");
        queue.requeue(second);
        queue.requeue(first);
        let order: Vec<_> = std::iter::from_fn(|| queue.pop(now, |_| true))
            .map(|w| w.payload)
            .collect();
        assert_eq!(order, [0, 1, 2, 3], "{discipline:?}");
    }
}

proptest! {
    #[test]
    fn every_request_leaves_the_queue_once(
        ops in prop::collection::vec((any::<u8>(), 0..3_u8, any::<bool>(), 0..4_u8), 1..200)
    ) {
        let start = Instant::now();
        let mut queue = Queue::new(settings(Discipline::Fair));
        let mut departed = Vec::new();
        let mut pushed = 0;
        for (step, (customer, priority, long, op)) in (0_u64..).zip(&ops) {
            let now = start + Duration::from_millis(step * 20);
            if *op < 3 {
                let class = if *long { Class::Long } else { Class::Short };
                let name = format!("c{}", customer % 4);
                let shed = queue.push(waiting(now, &name, *priority, class, pushed));
                departed.extend(shed.map(|w| w.payload));
                pushed += 1;
            } else {
                departed.extend(queue.pop(now, |_| true).map(|w| w.payload));
                departed.extend(queue.expire(now).iter().map(|w| w.payload));
            }
            prop_assert!(queue.len() <= 8);
            prop_assert_eq!(queue.len() + departed.len(), pushed as usize);
        }
        while let Some(w) = queue.pop(start, |_| true) {
            departed.push(w.payload);
        }
        departed.sort_unstable();
        prop_assert_eq!(departed, (0..pushed).collect::<Vec<_>>());
    }
}
