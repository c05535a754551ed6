//! Client blocks: compact sorted tables that map an address to its home place.

use std::net::IpAddr;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use world::{Error, ErrorKind, Place};

use crate::places::{PlaceId, Places};

/// Longest IPv6 prefix of a block.
const V6_PREFIX_MAX_BITS: u8 = 64;
/// Value for addresses without a block in a table of homes.
const NO_HOME: u16 = u16::MAX;

/// The client blocks of one home place, as written in a settings file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BlockList {
    /// Home place of the clients in these blocks.
    pub home: Place,
    /// Address prefixes. If two overlap, the longer one applies.
    pub blocks: Vec<IpNet>,
}

/// Maps client addresses to home places by the longest matching prefix.
///
/// Nested prefixes are flattened into disjoint ranges when the table is built, so
/// a lookup is one binary search over the first addresses of the ranges.
#[derive(Clone, Debug, Default)]
pub struct Blocks {
    v4: Ranges<u32>,
    v6: Ranges<u64>,
    count: usize,
}

/// Disjoint ranges in order. Each ends where the next one starts.
#[derive(Clone, Debug, Default)]
struct Ranges<A> {
    starts: Box<[A]>,
    homes: Box<[u16]>,
}

/// The addresses of one block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Span<A> {
    first: A,
    last: A,
    home: u16,
}

/// An IPv4 address, or the top half of an IPv6 address.
trait Address: Copy + Ord {
    fn next(self) -> Option<Self>;
}

impl Address for u32 {
    fn next(self) -> Option<Self> {
        self.checked_add(1)
    }
}

impl Address for u64 {
    fn next(self) -> Option<Self> {
        self.checked_add(1)
    }
}

impl Blocks {
    /// Builds the table.
    ///
    /// # Errors
    /// [`ErrorKind::BadSettings`] for an unknown home, a duplicate prefix or an IPv6
    /// prefix longer than 64 bits.
    pub fn new(places: &Places, lists: &[BlockList]) -> Result<Self, Error> {
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for list in lists {
            let home = places
                .id(&list.home)
                .ok_or_else(|| unknown_home(&list.home))?;
            for block in &list.blocks {
                match block {
                    IpNet::V4(net) => v4.push(Span {
                        first: net.network().to_bits(),
                        last: net.broadcast().to_bits(),
                        home: home.raw(),
                    }),
                    IpNet::V6(_) => v6.push(v6_span(block, home)?),
                }
            }
        }
        let count = v4.len() + v6.len();
        Ok(Self {
            v4: Ranges::new(v4)?,
            v6: Ranges::new(v6)?,
            count,
        })
    }

    /// Returns the home of a client, or `None` if no block contains its address.
    #[must_use]
    pub fn home(&self, client: IpAddr) -> Option<PlaceId> {
        let raw = match client.to_canonical() {
            IpAddr::V4(v4) => self.v4.find(v4.to_bits()),
            IpAddr::V6(v6) => self.v6.find(top_half(v6.to_bits())),
        };
        raw.map(|home| PlaceId::new(usize::from(home)))
    }

    /// Returns the number of blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether there are no blocks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the memory used by the tables, bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.v4.size_bytes() + self.v6.size_bytes()
    }
}

fn unknown_home(home: &Place) -> Error {
    let text = format!("blocks of unknown place {}/{}", home.region, home.domain);
    Error::new(ErrorKind::BadSettings, text)
}

fn top_half(bits: u128) -> u64 {
    u64::try_from(bits >> u64::BITS).unwrap_or(u64::MAX)
}

fn v6_span(block: &IpNet, home: PlaceId) -> Result<Span<u64>, Error> {
    let bits = |addr: IpAddr| match addr {
        IpAddr::V6(v6) => top_half(v6.to_bits()),
        IpAddr::V4(v4) => u64::from(v4.to_bits()),
    };
    if block.prefix_len() > V6_PREFIX_MAX_BITS {
        let text = format!("block {block} is longer than {V6_PREFIX_MAX_BITS} bits");
        return Err(Error::new(ErrorKind::BadSettings, text));
    }
    Ok(Span {
        first: bits(block.network()),
        last: bits(block.broadcast()),
        home: home.raw(),
    })
}

impl<A: Address> Ranges<A> {
    fn new(mut spans: Vec<Span<A>>) -> Result<Self, Error> {
        spans.sort_by(|a, b| a.first.cmp(&b.first).then(b.last.cmp(&a.last)));
        let is_duplicate =
            |pair: &[Span<A>]| pair[0].first == pair[1].first && pair[0].last == pair[1].last;
        if spans.windows(2).any(is_duplicate) {
            return Err(Error::new(ErrorKind::BadSettings, "a block stands twice"));
        }
        Ok(flatten(&spans))
    }

    fn find(&self, addr: A) -> Option<u16> {
        let started_count = self.starts.partition_point(|start| *start <= addr);
        let home = self.homes[started_count.checked_sub(1)?];
        (home != NO_HOME).then_some(home)
    }

    fn size_bytes(&self) -> usize {
        size_of_val::<[A]>(&self.starts) + size_of_val::<[u16]>(&self.homes)
    }
}

/// Converts nested spans to disjoint ranges. The spans must be sorted so that an
/// outer span comes before those inside it.
fn flatten<A: Address>(spans: &[Span<A>]) -> Ranges<A> {
    let mut ranges: Vec<(A, u16)> = Vec::with_capacity(spans.len());
    let mut open: Vec<Span<A>> = Vec::new();
    for span in spans {
        close(&mut open, &mut ranges, |top| top.last < span.first);
        push_range(&mut ranges, span.first, span.home);
        open.push(*span);
    }
    close(&mut open, &mut ranges, |_| true);
    Ranges {
        starts: ranges.iter().map(|c| c.0).collect(),
        homes: ranges.iter().map(|c| c.1).collect(),
    }
}

/// Removes the spans for which `ended` is true from the stack of open spans. After
/// a removed span, the addresses up to the next start belong to the span that
/// encloses it.
fn close<A: Address>(
    open: &mut Vec<Span<A>>,
    ranges: &mut Vec<(A, u16)>,
    ended: impl Fn(&Span<A>) -> bool,
) {
    while let Some(top) = open.pop_if(|top| ended(top)) {
        let outer = open.last().map_or(NO_HOME, |s| s.home);
        if let Some(next) = top.last.next() {
            push_range(ranges, next, outer);
        }
    }
}

/// Starts a range at `start`. Removes the previous range if it would be empty. If
/// the range before has the same home, extends that one instead.
fn push_range<A: Address>(ranges: &mut Vec<(A, u16)>, start: A, home: u16) {
    ranges.pop_if(|last| last.0 == start);
    if ranges.last().is_none_or(|last| last.1 != home) {
        ranges.push((start, home));
    }
}
