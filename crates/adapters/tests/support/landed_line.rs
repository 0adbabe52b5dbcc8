//! Lines of the files of landed bytes that hold texts: `NAME: TEXT`.

use std::fmt::Write;

/// Reads a text, and returns whether that gives the value of a line.
pub(crate) type Reader = Box<dyn Fn(&str) -> bool>;

/// A text that this build writes, and what this build makes of the text of another one.
pub(crate) struct Line {
    /// Name of the value.
    pub(crate) name: &'static str,
    /// Text that this build writes for the value.
    pub(crate) text: String,
    /// Reads a text, and returns whether that gives the value.
    pub(crate) is_read_from: Reader,
}

/// Returns the content of a file with these lines.
pub(crate) fn to_file(lines: &[Line]) -> String {
    let mut file = String::new();
    for line in lines {
        writeln!(file, "{}: {}", line.name, line.text).expect("writing to a string cannot fail");
    }
    file
}

/// Returns the text with a name in a file.
pub(crate) fn text<'a>(file: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = file.lines().filter_map(|it| it.split_once(": "));
    lines.find(|it| it.0 == name).map(|it| it.1)
}

/// Returns the names of those of its own values that this build does not read from the file of another
/// one.
pub(crate) fn misread(file: &str, lines: &[Line]) -> Vec<String> {
    let is_read = |it: &Line| text(file, it.name).is_some_and(&it.is_read_from);
    lines.iter().filter(|it| !is_read(it)).map(|it| it.name.to_owned()).collect()
}

/// Returns the lines in the file of an earlier build that this build does not read.
pub(crate) fn unread(file: &str, lines: &[Line]) -> Vec<String> {
    let is_read = |text: &str| {
        let (name, text) = text.split_once(": ")?;
        Some((lines.iter().find(|it| it.name == name)?.is_read_from)(text))
    };
    file.lines().filter(|it| is_read(it) != Some(true)).map(str::to_owned).collect()
}
