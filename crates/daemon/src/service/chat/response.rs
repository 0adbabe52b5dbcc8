//! The response to a model request, complete or streamed.

use std::io;
use std::sync::Arc;

use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_adapters::caller::StreamWriter;
use serde::Serialize;

use super::body::ChatBody;

/// The response to one model request.
///
/// A streamed response forwards tokens as they arrive; any other response collects them first.
pub(super) struct ChatResponse<'a> {
    id: Arc<str>,
    model: Arc<str>,
    is_streamed: bool,
    resume_token: String,
    position: u64,
    text: String,
    writer: Option<StreamWriter<'a>>,
}

impl<'a> ChatResponse<'a> {
    /// Creates a response for a caller that already has the tokens before `position`.
    pub(super) fn new(body: &ChatBody, id: Arc<str>, resume_token: String, position: u64) -> Self {
        Self {
            id,
            model: body.model.clone(),
            is_streamed: body.stream,
            resume_token,
            position,
            text: String::new(),
            writer: None,
        }
    }

    /// Adds tokens; a streamed response sends them immediately.
    pub(super) fn push(
        &mut self,
        tokens: &[Arc<str>],
        responder: &mut Responder<'a>,
    ) -> io::Result<()> {
        if !self.is_streamed {
            tokens.iter().for_each(|token| self.text.push_str(token));
            self.position += tokens.len() as u64;
            return Ok(());
        }
        self.start(responder)?;
        for token in tokens {
            self.position += 1;
            let data = self.chunk(Delta { content: Some(token) }, None, None);
            let event = format!("id: {}\ndata: {data}\n\n", self.position);
            self.write(&event)?;
        }
        Ok(())
    }

    /// Finishes a response that has all its tokens.
    pub(super) fn finish(&mut self, responder: &mut Responder<'a>) -> io::Result<()> {
        let usage = Usage { completion_tokens: self.position };
        if self.is_streamed {
            self.start(responder)?;
            let data = self.chunk(Delta { content: None }, Some("stop"), Some(usage));
            return self.write(&format!("data: {data}\n\ndata: [DONE]\n\n"));
        }
        let message = Message { role: "assistant", content: &self.text };
        let completion = Completion {
            id: &self.id,
            object: "chat.completion",
            model: &self.model,
            choices: [CompletionChoice { index: 0, message, finish_reason: "stop" }],
            usage,
        };
        let body = serde_json::to_vec(&completion)?;
        let headers = [("content-type", "application/json"), ("x-outcome", "completed")];
        responder.respond(200, &headers, &body)
    }

    /// Ends an incomplete streamed response with an error event and without `[DONE]`.
    pub(super) fn fail(&mut self, error: &str) {
        // An error means that the caller has disconnected, so it is ignored.
        let _ = self.write(&format!("event: error\ndata: {error}\n\n"));
    }

    fn start(&mut self, responder: &mut Responder<'a>) -> io::Result<()> {
        if self.writer.is_some() {
            return Ok(());
        }
        let headers = [
            ("content-type", "text/event-stream"),
            ("cache-control", "no-store"),
            ("x-request-id", &*self.id),
            ("x-resume-token", &*self.resume_token),
        ];
        self.writer = Some(responder.stream(&headers)?);
        Ok(())
    }

    fn write(&mut self, text: &str) -> io::Result<()> {
        match &mut self.writer {
            Some(writer) => writer.send(text),
            None => Ok(()),
        }
    }

    fn chunk(
        &self,
        delta: Delta<'_>,
        finish_reason: Option<&'static str>,
        usage: Option<Usage>,
    ) -> String {
        let chunk = Chunk {
            id: &self.id,
            object: "chat.completion.chunk",
            model: &self.model,
            choices: [ChunkChoice { index: 0, delta, finish_reason }],
            usage,
        };
        serde_json::to_string(&chunk).unwrap_or_default()
    }
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [ChunkChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u64,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: &'static str,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}
