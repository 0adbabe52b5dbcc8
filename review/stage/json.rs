//! JSON and Base64, as far as the stand-ins need them.

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; what cannot be read is null.
    pub fn parse(text: &str) -> Self {
        let chars: Vec<char> = text.chars().collect();
        Parser { chars, at: 0 }.value()
    }

    pub fn field(&self, name: &str) -> &Self {
        let Self::Table(fields) = self else { return &Self::Null };
        fields.iter().find(|(it, _)| it == name).map_or(&Self::Null, |(_, value)| value)
    }

    pub fn text(&self, name: &str) -> &str {
        if let Self::Text(text) = self.field(name) { text } else { "" }
    }

    pub fn number(&self, name: &str) -> f64 {
        if let Self::Number(number) = self.field(name) { *number } else { 0.0 }
    }

    pub fn list(&self, name: &str) -> &[Self] {
        if let Self::List(list) = self.field(name) { list } else { &[] }
    }
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn peek(&mut self) -> char {
        while self.chars.get(self.at).is_some_and(|it| it.is_whitespace()) {
            self.at += 1;
        }
        self.chars.get(self.at).copied().unwrap_or('\0')
    }

    /// Skips a character if it comes next.
    fn skip(&mut self, expected: char) -> bool {
        let is_next = self.peek() == expected;
        self.at += usize::from(is_next);
        is_next
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            '{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek() == '"' {
                    let name = self.string();
                    self.skip(':');
                    fields.push((name, self.value()));
                    self.skip(',');
                }
                self.skip('}');
                Json::Table(fields)
            }
            '[' => {
                self.at += 1;
                let mut list = Vec::new();
                while !matches!(self.peek(), ']' | '\0') {
                    list.push(self.value());
                    self.skip(',');
                }
                self.skip(']');
                Json::List(list)
            }
            '"' => Json::Text(self.string()),
            _ => {
                let start = self.at;
                while self.chars.get(self.at).is_some_and(|it| !",]} \n".contains(*it)) {
                    self.at += 1;
                }
                let word: String = self.chars[start..self.at].iter().collect();
                word.parse().map_or(Json::Null, Json::Number)
            }
        }
    }

    fn string(&mut self) -> String {
        self.skip('"');
        let mut text = String::new();
        while let Some(&next) = self.chars.get(self.at) {
            self.at += 1;
            match next {
                '"' => break,
                '\\' => {
                    let escaped = self.chars.get(self.at).copied().unwrap_or('\\');
                    self.at += 1;
                    text.push(if escaped == 'n' { '\n' } else { escaped });
                }
                _ => text.push(next),
            }
        }
        text
    }
}

pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0_u32, |word, it| (word << 8) | u32::from(*it));
        let word = word << (8 * (3 - group.len()));
        for index in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|it| ALPHABET.iter().position(|digit| *digit == it));
    let digits: Vec<usize> = digits.collect();
    let mut bytes = Vec::new();
    for group in digits.chunks(4) {
        let word = group.iter().fold(0, |word, it| (word << 6) | it) << (6 * (4 - group.len()));
        bytes.extend((1..group.len()).map(|it| (word >> (24 - 8 * it)) as u8));
    }
    bytes
}
