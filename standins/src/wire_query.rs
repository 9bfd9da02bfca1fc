//! Decodes the queries of requests, and rejects malformed ones.

use std::collections::BTreeMap;

use percent_encoding::percent_decode;

/// The characters of a query that stand for themselves, beside letters and digits.
const PLAIN_CHARACTERS: &[u8] = b"-._~!$'()*,;:@/?+=";

/// The decoded values of a query by name; they need not be UTF-8.
pub type QueryValues = BTreeMap<String, Vec<u8>>;

/// Decodes a query, in which `+` is a blank and `%` begins a byte in hexadecimal; `None` if it is malformed or
/// gives a name twice.
#[must_use]
pub fn parse_query(query: &str) -> Option<QueryValues> {
    let mut values = QueryValues::new();
    for pair in query.split('&').filter(|_| !query.is_empty()) {
        let (name, value) = pair.split_once('=')?;
        let name = String::from_utf8(decode(name)?).ok()?;
        if values.insert(name, decode(value)?).is_some() {
            return None;
        }
    }
    Some(values)
}

fn decode(text: &str) -> Option<Vec<u8>> {
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = match first {
            b'%' => {
                let (digits, after) = after.split_first_chunk::<2>()?;
                digits.iter().all(u8::is_ascii_hexdigit).then_some(after)?
            }
            _ if first.is_ascii_alphanumeric() || PLAIN_CHARACTERS.contains(first) => after,
            _ => return None,
        };
    }
    let spaced = text.replace('+', " ");
    Some(percent_decode(spaced.as_bytes()).collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn queries_are_decoded() {
        let values = parse_query("a=%26%3d%C3%A9&b=x+y%2B&c=&d=%ff").expect("a query");
        let expected: [(&str, &[u8]); 4] = [
            ("a", "&=é".as_bytes()),
            ("b", b"x y+"),
            ("c", b""),
            ("d", b"\xff"),
        ];
        let expected = expected.map(|(name, value)| (name.to_owned(), value.to_vec()));
        assert_eq!(values, QueryValues::from(expected));
        assert_eq!(parse_query(""), Some(QueryValues::new()));
    }

    #[test]
    fn malformed_queries_are_rejected() {
        for query in [
            "a=%", "a=%4", "a=%zz", "a=1&a=2", "a", "a=1&&b=2", "a=\"", "a=é", "a=b c",
        ] {
            assert_eq!(parse_query(query), None, "{query}");
        }
    }
}
