//! A small JSON value with a parser and a writer, enough for the bodies of the platform's calls.

use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn text(text: impl Into<String>) -> Json {
        Json::Text(text.into())
    }

    pub fn number(number: u64) -> Json {
        Json::Number(number as f64)
    }

    pub fn object(fields: Vec<(&str, Json)>) -> Json {
        Json::Object(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Json::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }

    pub fn as_str(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => write!(out, "{value}").unwrap(),
            Json::Number(number) if number.fract() == 0.0 => write!(out, "{}", *number as i64).unwrap(),
            Json::Number(number) => write!(out, "{number}").unwrap(),
            Json::Text(text) => write_text(text, out),
            Json::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write_to(out);
                }
                out.push(']');
            }
            Json::Object(fields) => {
                out.push('{');
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write_to(out);
                }
                out.push('}');
            }
        }
    }

    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut parser = Parser { text, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == text.len()).then_some(value)
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            letter if (letter as u32) < 32 => write!(out, "\\u{:04x}", letter as u32).unwrap(),
            letter => out.push(letter),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.text.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.text.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.insert(name, self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Object(fields));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::List(items));
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|byte| matches!(byte, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            let letter = char::from_u32(u32::from_str_radix(digits, 16).ok()?).unwrap_or('?');
                            self.at += 4;
                            bytes.extend_from_slice(letter.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }
}
