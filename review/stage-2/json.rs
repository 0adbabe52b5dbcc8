//! A small JSON reader, for the bodies of transactions.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Flag(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn field(&self, name: &str) -> &Json {
        match self {
            Self::Table(fields) => {
                fields.iter().find(|it| it.0 == name).map_or(&Self::Null, |it| &it.1)
            }
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn parse(text: &str) -> Option<Self> {
        let characters: Vec<char> = text.chars().collect();
        Parser { characters: &characters, at: 0 }.value()
    }
}

struct Parser<'a> {
    characters: &'a [char],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<char> {
        while self.characters.get(self.at).is_some_and(|it| it.is_whitespace()) {
            self.at += 1;
        }
        self.characters.get(self.at).copied()
    }

    fn expect(&mut self, wanted: char) -> Option<()> {
        (self.peek()? == wanted).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.at += word.len();
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            '{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek()? != '}' {
                    let name = self.string()?;
                    self.expect(':')?;
                    fields.push((name, self.value()?));
                    if self.peek()? == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Table(fields))
            }
            '[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.peek()? != ']' {
                    items.push(self.value()?);
                    if self.peek()? == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(items))
            }
            '"' => self.string().map(Json::Text),
            't' => self.word("true", Json::Flag(true)),
            'f' => self.word("false", Json::Flag(false)),
            'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self
                    .characters
                    .get(self.at)
                    .is_some_and(|it| it.is_ascii_digit() || "+-.eE".contains(*it))
                {
                    self.at += 1;
                }
                let text: String = self.characters[start..self.at].iter().collect();
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.expect('"')?;
        let mut text = String::new();
        loop {
            let character = *self.characters.get(self.at)?;
            self.at += 1;
            match character {
                '"' => return Some(text),
                '\\' => {
                    let escaped = *self.characters.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'b' => text.push('\u{8}'),
                        'f' => text.push('\u{c}'),
                        'u' => {
                            let hex: String =
                                self.characters.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            let code = u32::from_str_radix(&hex, 16).ok()?;
                            text.push(char::from_u32(code).unwrap_or('\u{fffd}'));
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}
