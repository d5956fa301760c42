//! Parsing of query strings.

/// Returns the percent-decoded value of the first parameter `name`, or `None` if there is none.
///
/// # Errors
///
/// The value is not valid percent-encoded UTF-8.
pub fn parameter(query: &str, name: &str) -> Result<Option<String>, String> {
    for pair in query.split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if key == name {
            return decode(value).map(Some);
        }
    }
    Ok(None)
}

fn decode(text: &str) -> Result<String, String> {
    let invalid = || format!("`{text}` is not percent-encoded text");
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let digits = tail.get(..2).and_then(|pair| std::str::from_utf8(pair).ok());
        let byte = digits.and_then(|pair| u8::from_str_radix(pair, 16).ok()).ok_or_else(invalid)?;
        bytes.push(byte);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).map_err(|e| format!("{}: {e}", invalid()))
}
