//! Timeline of one request, assembled from the log lines of all VMs.

use std::collections::BTreeSet;
use std::io::BufRead;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Time before and after a request whose state changes are part of its timeline, in milliseconds.
const CONTEXT_MARGIN_MS: u64 = 3_000;

/// Messages about the state of a VM and its view of the system, rather than about one request.
const STATE_MESSAGES: [&str; 8] = [
    "configuration in force",
    "directory changed",
    "upstream judged",
    "source lost",
    "source is back",
    "feed lost its history",
    "draining",
    STARTED,
];

/// Message of the first line of a process.
const STARTED: &str = "started";

/// Fields that are common to lines, which [`render`] leaves out of their field lists.
const COMMON_FIELDS: [&str; 6] = ["message", "time_unix_ms", "vm", "build", "level", "request"];

/// Stands for the upstream of a call that was not sent.
const NO_UPSTREAM: &str = "-";

/// Stands for the build in lines of builds that did not write it.
const UNKNOWN_BUILD: &str = "unknown";

/// A parsed log line.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub(crate) struct Line {
    pub(crate) time_unix_ms: u64,
    pub(crate) vm: String,
    /// Name of the build that wrote the line; `None` for builds that did not write it.
    pub(crate) build: Option<String>,
    pub(crate) message: String,
    /// Whether the line is about the request itself.
    pub(crate) is_own: bool,
    /// All fields of the log line, including the time, VM and message above.
    pub(crate) fields: Map<String, Value>,
}

/// The log lines about a request and a summary of them.
#[derive(Debug, PartialEq)]
#[derive(Serialize)]
pub(crate) struct Timeline {
    pub(crate) request: String,
    pub(crate) lines: Vec<Line>,
    /// Outcome of the request in one sentence.
    pub(crate) summary: String,
    /// VM and build of each process that handled the request, in the order of their first lines.
    pub(crate) handled_by: Vec<Handler>,
}

/// A process that handled a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct Handler {
    pub(crate) vm: String,
    pub(crate) build: Option<String>,
}

/// Reads log lines.
///
/// Ignores any text before the JSON of a line, and lines that are not valid log lines.
pub(crate) fn read_lines(source: impl BufRead) -> std::io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for line in source.lines() {
        lines.extend(parse(&line?));
    }
    Ok(lines)
}

fn parse(text: &str) -> Option<Line> {
    let json = &text[text.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let text = |name: &str| fields.get(name).and_then(Value::as_str).map(ToOwned::to_owned);
    Some(Line {
        time_unix_ms: fields.get("time_unix_ms")?.as_u64()?,
        vm: text("vm")?,
        build: text("build"),
        message: text("message")?,
        is_own: false,
        fields,
    })
}

/// Combines the lines about a request with the state changes of its VMs at that time.
///
/// Returns `None` if no line is about the request.
pub(crate) fn timeline(request: &str, lines: &[Line]) -> Option<Timeline> {
    let is_own = |it: &Line| it.fields.get("request").and_then(Value::as_str) == Some(request);
    let own: Vec<&Line> = lines.iter().filter(|it| is_own(it)).collect();
    let vms: BTreeSet<String> = own.iter().map(|it| it.vm.clone()).collect();
    let total_ms = own.iter().filter_map(|it| it.fields.get("total_ms")?.as_u64()).max();
    let last_ms = own.iter().map(|it| it.time_unix_ms).max()?;
    let first_ms = own.iter().map(|it| it.time_unix_ms).min()?;
    let from_ms = first_ms.min(last_ms.saturating_sub(total_ms.unwrap_or(0)));
    let period = from_ms.saturating_sub(CONTEXT_MARGIN_MS)..=last_ms + CONTEXT_MARGIN_MS;
    let upstreams: BTreeSet<String> =
        own.iter().filter_map(|it| Some(it.fields.get("upstream")?.as_str()?.to_owned())).collect();
    let summary = summarize(&own);
    let mut selected: Vec<Line> = lines
        .iter()
        .filter(|it| {
            is_own(it)
                || (vms.contains(&it.vm)
                    && period.contains(&it.time_unix_ms)
                    && is_state_change(it, &upstreams))
        })
        .map(|it| Line { is_own: is_own(it), ..it.clone() })
        .collect();
    selected.sort_by_key(|it| it.time_unix_ms);
    let handled_by = handlers(selected.iter().filter(|it| it.is_own));
    Some(Timeline { request: request.to_owned(), lines: selected, summary, handled_by })
}

/// Returns the processes that wrote these lines, each of them once.
fn handlers<'a>(own: impl Iterator<Item = &'a Line>) -> Vec<Handler> {
    let mut handlers = Vec::new();
    for line in own {
        let handler = Handler { vm: line.vm.clone(), build: line.build.clone() };
        if !handlers.contains(&handler) {
            handlers.push(handler);
        }
    }
    handlers
}

/// Returns whether a line is about the state of a VM, or of one of the request's upstreams.
fn is_state_change(line: &Line, upstreams: &BTreeSet<String>) -> bool {
    let upstream = line.fields.get("upstream").and_then(Value::as_str);
    STATE_MESSAGES.contains(&&*line.message) && upstream.is_none_or(|it| upstreams.contains(it))
}

/// Summarizes the outcome of a request in one sentence.
fn summarize(own: &[&Line]) -> String {
    let ending = own.iter().rev().find(|it| it.message == "call ended");
    let refused = own.iter().find(|it| it.message == "call refused");
    if let Some(reason) = refused.and_then(|it| it.fields.get("reason")?.as_str()) {
        return format!("it was refused before it was placed: {reason}");
    }
    let Some(ending) = ending else {
        return "it has not ended, or the line of its end is missing".to_owned();
    };
    let number = |name: &str| ending.fields.get(name).and_then(Value::as_u64).unwrap_or(0);
    let text = |name: &str| ending.fields.get(name).and_then(Value::as_str).unwrap_or(NO_UPSTREAM);
    let upstream = text("upstream");
    match text("outcome") {
        "not_run" => format!(
            "it was not run: {}; told to come back in {} ms",
            text("reason"),
            number("retry_after_ms")
        ),
        "unknown" => format!(
            "no whole answer came back from {upstream} after {} ms, and it may have been run: {}",
            number("total_ms"),
            text("failures")
        ),
        "partial" if text("failures").ends_with(":unread") => format!(
            "the caller had not read the stream from {upstream} by its deadline; {} events were sent",
            number("events")
        ),
        "partial" => format!(
            "the stream from {upstream} broke off after {} events: {}",
            number("events"),
            text("failures")
        ),
        "upstream_failed" => format!(
            "{upstream} answered with status {} after {} attempts: {}",
            number("status"),
            number("attempts"),
            text("failures")
        ),
        "caller_gone" => format!(
            "the caller left after {} ms; {} events had come from {upstream}",
            number("total_ms"),
            number("events")
        ),
        _ if ending.fields.get("late") == Some(&Value::Bool(true)) => late_cause(&number, upstream),
        _ if upstream == NO_UPSTREAM => {
            format!("it was answered as an earlier call was, in {} ms", number("total_ms"))
        }
        _ => format!("{upstream} answered in {} ms", number("total_ms")),
    }
}

/// Explains where the time of a late response was spent.
fn late_cause(number: &dyn Fn(&str) -> u64, upstream: &str) -> String {
    let (queue_ms, first_ms) = (number("queue_ms"), number("first_part_ms"));
    let at_upstream_ms = first_ms.saturating_sub(queue_ms);
    format!(
        "it was late: {queue_ms} ms in the queue, {at_upstream_ms} ms until {upstream} sent its \
         first event (expected backlog {} ms, {} of {} prompt tokens cached), longest pause {} ms",
        number("backlog_ms"),
        number("cached_tokens"),
        number("input_tokens"),
        number("longest_gap_ms")
    )
}

/// Formats a timeline as text; `*` marks the lines about the request itself.
pub(crate) fn render(timeline: &Timeline) -> String {
    let start_ms = timeline.lines.first().map_or(0, |it| it.time_unix_ms);
    let mut text = format!("request {}: {}\n", timeline.request, timeline.summary);
    for Handler { vm, build } in &timeline.handled_by {
        let build = build.as_deref().unwrap_or(UNKNOWN_BUILD);
        text.push_str(&format!("handled by {vm}, build {build}\n"));
    }
    for line in &timeline.lines {
        let mark = if line.is_own { '*' } else { ' ' };
        let at_ms = line.time_unix_ms - start_ms;
        text.push_str(&format!("{mark} {at_ms:>7} ms  {}  {}", line.vm, line.message));
        if let Some(build) = line.build.as_ref().filter(|_| line.message == STARTED) {
            text.push_str(&format!("  build={build:?}"));
        }
        for (name, value) in &line.fields {
            if !COMMON_FIELDS.contains(&&**name) && !value.is_null() {
                text.push_str(&format!("  {name}={value}"));
            }
        }
        text.push('\n');
    }
    text
}
