//! Suggests the closest known name for a misspelled one.

/// Returns the name with the smallest edit distance to `given`.
///
/// Returns `None` if that distance exceeds `max_edits` or half the number of characters of `given`.
pub fn nearest<'a>(
    given: &str,
    names: impl IntoIterator<Item = &'a str>,
    max_edits: usize,
) -> Option<&'a str> {
    let max_distance = max_edits.min(given.chars().count() / 2);
    names
        .into_iter()
        .map(|name| (edit_distance(given, name), name))
        .filter(|(distance, _)| *distance <= max_distance)
        .min()
        .map(|(_, name)| name)
}

/// Returns the Levenshtein distance between two names, in characters.
fn edit_distance(one: &str, two: &str) -> usize {
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
