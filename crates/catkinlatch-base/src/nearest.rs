//! The nearest name to one that was misspelled.

/// Returns the name that differs least from `given`, if it differs by at most `max_edits`
/// characters and by at most half of those that were given.
pub fn nearest<'a>(
    given: &str,
    names: impl IntoIterator<Item = &'a str>,
    max_edits: usize,
) -> Option<&'a str> {
    let allowed = max_edits.min(given.chars().count() / 2);
    names
        .into_iter()
        .map(|name| (edits(given, name), name))
        .filter(|(edits, _)| *edits <= allowed)
        .min()
        .map(|(_, name)| name)
}

/// Counts the inserted, removed and replaced characters between two names.
fn edits(one: &str, two: &str) -> usize {
    let two: Vec<char> = two.chars().collect();
    let mut row: Vec<usize> = (0..=two.len()).collect();
    for (i, a) in one.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in two.iter().enumerate() {
            let replaced = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row.last().copied().unwrap_or_default()
}
