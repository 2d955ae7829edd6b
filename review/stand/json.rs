//! Reads the JSON bodies that the daemons send to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Value {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Table(rows) => rows.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> i64 {
        match self {
            Value::Number(number) => *number as i64,
            _ => 0,
        }
    }

    pub fn rows(&self) -> &[Value] {
        match self {
            Value::List(rows) => rows,
            _ => &[],
        }
    }
}

/// Parses a document; anything that cannot be read becomes [`Value::Null`].
pub fn parse(buf: &[u8]) -> Value {
    Parser { buf, at: 0 }.value().unwrap_or(Value::Null)
}

pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

struct Parser<'a> {
    buf: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.buf.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.buf.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Value::Text),
            b't' => self.skip(4, Value::Bool),
            b'f' => self.skip(5, Value::Bool),
            b'n' => self.skip(4, Value::Null),
            _ => self.number(),
        }
    }

    fn skip(&mut self, len: usize, value: Value) -> Option<Value> {
        self.at += len;
        Some(value)
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        while self.buf.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.buf[start..self.at]).ok()?.parse().ok().map(Value::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.buf.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    out.push(*self.buf.get(self.at)?);
                    self.at += 1;
                }
                byte => out.push(byte),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.at += 1;
        let mut rows = Vec::new();
        loop {
            match self.peek()? {
                b']' => return self.skip(1, Value::List(rows)),
                b',' => self.at += 1,
                _ => rows.push(self.value()?),
            }
        }
    }

    fn table(&mut self) -> Option<Value> {
        self.at += 1;
        let mut rows = BTreeMap::new();
        loop {
            match self.peek()? {
                b'}' => return self.skip(1, Value::Table(rows)),
                b',' => self.at += 1,
                _ => {
                    let name = self.string()?;
                    self.peek()?;
                    self.at += 1;
                    let value = self.value()?;
                    rows.insert(name, value);
                }
            }
        }
    }
}
