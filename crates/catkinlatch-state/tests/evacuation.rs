//! Tests of evacuated zones in the replicated state.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_state::{Command, Reply, State, evacuation::Change};

/// Guards against nodes that cannot restore their state after an update of the program, and against
/// decisions that are lost with a snapshot or undone by a repetition.
#[test]
fn decisions_are_idempotent_and_snapshots_of_earlier_releases_have_none() {
    let config = bincode::config::standard();
    let mut state = State::default();
    state.apply(&Command::Nothing);
    let bytes = bincode::serde::encode_to_vec(&state, config).unwrap();
    // An earlier release ends before the set, which is one byte while it is empty.
    let earlier = &bytes[..bytes.len() - 1];
    let decode = |bytes: &[u8]| bincode::serde::decode_from_slice::<State, _>(bytes, config);
    assert_eq!(decode(earlier).unwrap().0, state);

    let change = |change| Command::Evacuation(change);
    let zone = || "zone-a".parse().unwrap();
    for _ in 0..2 {
        assert_eq!(state.apply(&change(Change::Evacuate(zone()))), Reply::Nothing);
        assert_eq!(state.evacuated().len(), 1);
    }
    let bytes = bincode::serde::encode_to_vec(&state, config).unwrap();
    assert_eq!(decode(&bytes).unwrap().0, state);
    assert!(decode(&bytes[..bytes.len() - 1]).is_err(), "an evacuation must not be lost");
    for _ in 0..2 {
        state.apply(&change(Change::Restore(zone())));
        assert!(state.evacuated().is_empty());
    }
}
