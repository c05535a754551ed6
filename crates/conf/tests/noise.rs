//! No text makes the readers of files panic.

use conf::{parse_customers, parse_plans, parse_settings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PIECES: [&str; 14] = [
    "{",
    "}",
    "[",
    "]",
    ":",
    ",",
    "\"name\"",
    "\"zones\"",
    "\"regions\"",
    "\"plans\"",
    "1e99",
    "null",
    "// č\n",
    "\"\\u00",
];

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn noise_is_a_mistake_not_a_panic(pieces in proptest::collection::vec(0..PIECES.len(), 0..40)) {
        let text: String = pieces.into_iter().map(|at| PIECES[at]).collect();
        prop_assert!(parse_settings("noise", &text).is_err());
        let _ = parse_customers("noise", &text);
        let _ = parse_plans("noise", &text);
    }
}
