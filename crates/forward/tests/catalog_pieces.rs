//! What comes into effect of a catalog that arrives in pieces, and which follower receives
//! them.

mod common;

use catalog::{Fact, Item, Piece, Position, Row, RowKey};
use forward::catalog_copy::CatalogCopy;
use forward::transfer::Transfer;
use world::{DomainName, RequestKind};

fn rows(items: &[Item]) -> Vec<Row> {
    let row = |item: &Item| Row {
        index: 1,
        fact: Fact::Item {
            key: item.key(),
            version: item.version,
            item: Some(item.clone()),
        },
    };
    items.iter().map(row).collect()
}

/// The routes that come into effect with a piece; `None` when the table stays as it was.
fn merge(copy: &mut CatalogCopy, piece: Option<Piece>, is_complete: bool) -> Option<bool> {
    let domains = std::iter::empty::<DomainName>();
    let table = copy.merge(piece, is_complete, domains).table?;
    Some(table.route("site.example", "/a/x").is_some())
}

/// Guards against an entry VM that serves with a part of the routes after a start, so that
/// requests take a shorter route than theirs, or none.
#[test]
fn a_new_entry_vm_has_no_routes_before_it_has_all() {
    let [first, second] = [
        common::terms(),
        common::route("a", RequestKind::Safe, 1_000),
    ];
    let mut copy = CatalogCopy::default();
    let half = Piece {
        next: Position {
            index: 1,
            last: Some(RowKey::Limits),
        },
        rows: rows(&[first]),
        more: true,
    };
    assert_eq!(merge(&mut copy, Some(half), false), None);
    let rest = Piece {
        next: Position::at_end_of(1),
        rows: rows(&[second]),
        more: false,
    };
    // The servers are still on their way.
    assert_eq!(merge(&mut copy, Some(rest), false), None);
    assert_eq!(merge(&mut copy, None, true), Some(true));
    assert_eq!(merge(&mut copy, None, true), None);
}

/// Guards against an entry VM that takes the first pieces of the first configuration for
/// all of it, because it had followed a control VM before there was any.
#[test]
fn an_entry_vm_that_was_there_before_the_first_routes_waits_for_all_of_them() {
    let mut copy = CatalogCopy::default();
    assert_eq!(merge(&mut copy, None, true), None);
    let half = Piece {
        next: Position::default(),
        rows: rows(&[common::route("a", RequestKind::Safe, 1_000)]),
        more: true,
    };
    assert_eq!(merge(&mut copy, Some(half), false), None);
}

/// Guards against a transfer that two control VMs send at the same time, over a link that
/// is too narrow for one.
#[test]
fn one_follower_at_a_time_receives_a_long_transfer() {
    let mut transfer = Transfer::default();
    let takes = |transfer: &Transfer| [0, 1].map(|follower| transfer.takes_rows(follower));
    assert_eq!(takes(&transfer), [true, true]);
    // Both had asked before they knew.
    transfer.record(1, true);
    transfer.record(0, true);
    assert_eq!(takes(&transfer), [false, true]);
    transfer.record(0, false);
    assert_eq!(takes(&transfer), [false, true], "the other one has ended");
    transfer.end(1);
    assert_eq!(takes(&transfer), [true, true], "its control VM fell silent");
}
