//! A small JSON reader, so that the stand-ins need no library.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        let value = read_value(&chars, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(values) => values,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

fn skip_space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn read_value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip_space(chars, at);
    match chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_space(chars, at);
                match chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let Json::Text(name) = read_value(chars, at)? else { return None };
                        skip_space(chars, at);
                        if *chars.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        let value = read_value(chars, at)?;
                        fields.insert(name, value);
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut values = Vec::new();
            loop {
                skip_space(chars, at);
                match chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(values));
                    }
                    ',' => *at += 1,
                    _ => values.push(read_value(chars, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut text = String::new();
            loop {
                let c = *chars.get(*at)?;
                *at += 1;
                match c {
                    '"' => return Some(Json::Text(text)),
                    '\\' => {
                        let escaped = *chars.get(*at)?;
                        *at += 1;
                        match escaped {
                            'n' => text.push('\n'),
                            't' => text.push('\t'),
                            'r' => text.push('\r'),
                            'b' => text.push('\u{8}'),
                            'f' => text.push('\u{c}'),
                            'u' => {
                                let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                                *at += 4;
                                text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                            }
                            other => text.push(other),
                        }
                    }
                    c => text.push(c),
                }
            }
        }
        _ => {
            let start = *at;
            while chars.get(*at).is_some_and(|c| !",]} \n\t\r".contains(*c)) {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}
