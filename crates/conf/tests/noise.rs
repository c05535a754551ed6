//! Parsers must report mistakes, not panic, whatever a file contains: random sequences of
//! JSON tokens reach positions and nestings that hand-written files don't.

use conf::{parse_customers, parse_plans, parse_settings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TOKENS: [&str; 14] = [
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
    fn noise_is_a_mistake_not_a_panic(indices in proptest::collection::vec(0..TOKENS.len(), 0..40)) {
        let text: String = indices.into_iter().map(|index| TOKENS[index]).collect();
        prop_assert!(parse_settings("noise", &text).is_err());
        let _ = parse_customers("noise", &text);
        let _ = parse_plans("noise", &text);
    }
}
