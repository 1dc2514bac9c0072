//! A small reader of JSON, and base64.

/// A value; numbers are kept as text.
#[derive(Clone, Debug)]
pub enum Json {
    Text(String),
    Number(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
    Other,
}

impl Json {
    pub fn read(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&chars, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Table(fields) = self else {
            return None;
        };
        fields.iter().find(|(it, _)| it == name).map(|(_, value)| value)
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text) | Json::Number(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|it| it.is_whitespace() || *it == ',' || *it == ':') {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match chars.get(*at)? {
        '"' => text(chars, at).map(Json::Text),
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(chars, at);
                if *chars.get(*at)? == ']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(value(chars, at)?);
            }
        }
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(chars, at);
                if *chars.get(*at)? == '}' {
                    *at += 1;
                    return Some(Json::Table(fields));
                }
                let name = text(chars, at)?;
                fields.push((name, value(chars, at)?));
            }
        }
        _ => {
            let from = *at;
            while chars.get(*at).is_some_and(|it| !",]}".contains(*it) && !it.is_whitespace()) {
                *at += 1;
            }
            let word: String = chars[from..*at].iter().collect();
            Some(match word.as_str() {
                "true" | "false" | "null" => Json::Other,
                _ => Json::Number(word),
            })
        }
    }
}

fn text(chars: &[char], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = String::new();
    loop {
        let next = *chars.get(*at)?;
        *at += 1;
        match next {
            '"' => return Some(out),
            '\\' => {
                out.push(*chars.get(*at)?);
                *at += 1;
            }
            other => out.push(other),
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, it| word << 8 | u32::from(*it));
        let word = word << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * place) & 63) as usize];
            out.push(if place <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}
