//! As much of JSON and base64 as the store needs.

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Table(fields) = self else {
            return None;
        };
        fields
            .iter()
            .find(|(it, _)| it == name)
            .map(|(_, value)| value)
    }

    pub fn as_list(&self) -> Option<&[Json]> {
        if let Json::List(items) = self {
            Some(items)
        } else {
            None
        }
    }

    pub fn text(&self, name: &str) -> String {
        if let Some(Json::Text(text)) = self.get(name) {
            text.clone()
        } else {
            String::new()
        }
    }

    pub fn number(&self, name: &str) -> f64 {
        if let Some(Json::Number(number)) = self.get(name) {
            *number
        } else {
            0.0
        }
    }
}

pub fn parse(bytes: &[u8]) -> Option<Json> {
    let mut at = 0;
    value(bytes, &mut at)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            let mut fields = Vec::new();
            *at += 1;
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = text(bytes, at)?;
                        skip(bytes, at);
                        *at += 1;
                        fields.push((name, value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            let mut items = Vec::new();
            *at += 1;
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(bytes, at)?),
                }
            }
        }
        b'"' => text(bytes, at).map(Json::Text),
        _ => {
            let begun = *at;
            while bytes.get(*at).is_some_and(|it| !b",]} \n".contains(it)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[begun..*at]).ok()?;
            Some(word.parse().map_or(Json::Null, Json::Number))
        }
    }
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    let mut text = Vec::new();
    *at += 1;
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                text.push(*bytes.get(*at)?);
                *at += 1;
            }
            _ => text.push(byte),
        }
    }
}

pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(if digit > chunk.len() {
                '='
            } else {
                DIGITS[index as usize] as char
            });
        }
    }
    text
}
