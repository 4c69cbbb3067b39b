//! Random numbers of the operating system.

/// Draws a number from the operating system.
///
/// # Panics
///
/// Panics if the operating system provides no randomness.
pub fn draw() -> u128 {
    let mut bytes = [0; size_of::<u128>()];
    getrandom::fill(&mut bytes).expect("the operating system provides randomness");
    u128::from_ne_bytes(bytes)
}

/// Returns a generator that is seeded by the operating system.
///
/// By default the clock seeds generators, so those of processes that start at the same moment may
/// draw the same numbers.
///
/// # Panics
///
/// Panics if the operating system provides no randomness.
pub fn generator() -> fastrand::Rng {
    fastrand::Rng::with_seed(draw() as u64)
}

/// Seeds the generator of this thread by the operating system.
///
/// # Panics
///
/// Panics if the operating system provides no randomness.
pub fn seed_thread() {
    fastrand::seed(draw() as u64);
}
