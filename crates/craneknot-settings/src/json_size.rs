//! The number of values in a JSON text, checked before it is parsed: a parsed value takes up to a hundred bytes, however
//! short its text.

/// Values that a text may have whatever its length.
const ALLOWED_VALUES: usize = 65_536;
/// One further value is allowed for this many bytes of text; messages in use have more for each of theirs.
const BYTES_PER_VALUE: usize = 16;

/// An upper bound of the number of values in a JSON text. Counts what begins or separates them, inside strings as well.
pub fn max_value_count(text: &[u8]) -> usize {
    text.iter().filter(|byte| matches!(byte, b',' | b'[' | b'{')).count() + 1
}

/// Whether parsing a text may take far more memory than the text itself.
pub fn has_too_many_values(text: &[u8]) -> bool {
    max_value_count(text) > ALLOWED_VALUES + text.len() / BYTES_PER_VALUE
}
