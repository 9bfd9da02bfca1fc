//! Runs the script of a program against the entries and verifies every response.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::time::{Duration, Instant};

use clementinepick::call::ChatMessage;
use clementinepick::prompt::Prompt;
use clementinepick::units::{SpanUs, Tokens};
use futures_util::future::join_all;
use serde_json::{Value, json};

use crate::answer::answer_text;
use crate::caller::{CallMetadata, CallOutcome, CallResponse, Caller, ChatCallSpec, PlainCallSpec};
use crate::script::{Script, Step};

/// The service that runs the turns.
pub const CHAT_SERVICE: &str = "agent-llm";
/// The service that runs holds, cancellations and availability checks.
pub const PLAIN_SERVICE: &str = "book-app";
/// The model requested for turns.
pub const MODEL: &str = "stargazer";

/// The measurements of one call.
#[derive(Debug, Clone, Default)]
pub struct CallRecord {
    /// The call's class.
    pub class: String,
    /// The time from the first attempt to the end of the call.
    pub took: Duration,
    /// The time to the first text of a streamed answer.
    pub first_text: Option<Duration>,
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The number of prompt tokens served from a cache.
    pub cached_tokens: u64,
    /// The number of generated tokens.
    pub output_tokens: u64,
    /// The error codes of the attempts that were refused.
    pub refusals: Vec<String>,
    /// The number of retries.
    pub retries: u64,
}

/// The measurements of one program.
#[derive(Debug, Clone, Default)]
pub struct ProgramRecord {
    /// The program's class.
    pub class: String,
    /// The time from the first call to the last response.
    pub took: Duration,
    /// The calls, including those of sub-agents.
    pub calls: Vec<CallRecord>,
    /// The number of sub-agents, at any depth.
    pub sub_agents: u64,
    /// The failed calls and unexpected responses; empty if the program finished.
    pub faults: Vec<String>,
}

/// A running program.
struct ProgramRun<'a> {
    caller: &'a Caller,
    script: &'a Script,
    parent: Option<String>,
    messages: Vec<ChatMessage>,
    next_seq: u64,
    record: ProgramRecord,
}

/// Runs a program to its end; its latency and that of its first call are measured from `due`.
pub async fn run_program(caller: &Caller, script: &Script, due: Instant) -> ProgramRecord {
    let start_delay = due.elapsed();
    let mut record = run(caller, script, None).await;
    record.took += start_delay;
    if let Some(first) = record.calls.first_mut() {
        first.took += start_delay;
    }
    record
}

/// Runs a program; the future is boxed because sub-agents recurse.
fn run<'a>(
    caller: &'a Caller,
    script: &'a Script,
    parent: Option<String>,
) -> Pin<Box<dyn Future<Output = ProgramRecord> + 'a>> {
    Box::pin(async move {
        let begun = Instant::now();
        let instructions = script.kind.instructions();
        let mut run = ProgramRun {
            caller,
            script,
            parent,
            messages: vec![ChatMessage::new("system", &instructions)],
            next_seq: 0,
            record: ProgramRecord {
                class: script.kind.class().to_owned(),
                ..ProgramRecord::default()
            },
        };
        for step in &script.steps {
            // After a fault the message history differs from what the script expects.
            if !run.record.faults.is_empty() {
                break;
            }
            run.run_step(step).await;
        }
        run.record.took = begun.elapsed();
        let ended = caller.end(&script.program).await;
        if let Err(failure) = ended.result {
            run.add_fault(&format!("ending the program: {failure}"));
        }
        run.record
    })
}

impl ProgramRun<'_> {
    async fn run_step(&mut self, step: &Step) {
        match step {
            Step::Turn {
                user_text,
                answer_tokens,
                tool,
            } => {
                let name = tool.as_ref().map(|(name, _)| name.to_string());
                self.run_turn(user_text, *answer_tokens, name).await;
                if let Some((_, duration)) = tool {
                    sleep_for(*duration).await;
                }
            }
            Step::Hold { id } => {
                let body = json!({ "id": id, "slot": "dome-1" });
                let expected = json!({ "hold": id, "slot": "dome-1", "state": "held" });
                self.call_once("/holds", "holds", id, body, &expected).await;
            }
            Step::Cancel { id, hold } => {
                let body = json!({ "id": id, "hold": hold });
                let expected = json!({ "cancellation": id, "hold": hold, "state": "cancelled" });
                self.call_once("/cancellations", "notices", id, body, &expected)
                    .await;
            }
            Step::Check { slot } => self.check_availability(slot).await,
            Step::SubAgents(scripts) => self.run_sub_agents(scripts).await,
        }
    }

    fn next_metadata(&mut self, service: &str, class: &str) -> CallMetadata {
        let seq = self.next_seq;
        self.next_seq += 1;
        CallMetadata {
            service: service.to_owned(),
            program: self.script.program.clone(),
            seq,
            parent: self.parent.clone(),
            class: Some(class.to_owned()),
        }
    }

    async fn run_turn(&mut self, user_text: &str, answer_tokens: Tokens, tool: Option<String>) {
        let metadata = self.next_metadata(CHAT_SERVICE, self.script.kind.class());
        self.messages.push(ChatMessage::new("user", user_text));
        let spec = ChatCallSpec {
            model: MODEL.to_owned(),
            messages: self.messages.clone(),
            answer_tokens,
            stream: metadata.seq.is_multiple_of(2),
            tool,
        };
        let chain = Prompt::of_messages(&self.messages).chain();
        let outcome = self.caller.chat(&metadata, &spec).await;
        let Some(response) = self.record_outcome(&metadata, outcome) else {
            return;
        };
        if response.text != answer_text(chain, answer_tokens) {
            self.add_fault(&format!(
                "call {}: the answer does not match the prompt",
                metadata.seq
            ));
        }
        if response.finish_reason.as_deref() != Some("stop")
            || response.output_tokens != answer_tokens.0
        {
            self.add_fault(&format!("call {}: the answer is incomplete", metadata.seq));
        }
        self.messages
            .push(ChatMessage::new("assistant", &response.text));
    }

    /// Calls the plain service with an idempotency key and compares the response with `expected`.
    async fn call_once(
        &mut self,
        path: &str,
        class: &str,
        id: &str,
        body: Value,
        expected: &Value,
    ) {
        let metadata = self.next_metadata(PLAIN_SERVICE, class);
        let spec = PlainCallSpec {
            method: awc::http::Method::POST,
            path: path.to_owned(),
            idempotency_key: Some(id.to_owned()),
            body,
        };
        let outcome = self.caller.plain(&metadata, &spec).await;
        let Some(response) = self.record_outcome(&metadata, outcome) else {
            return;
        };
        if serde_json::from_str::<Value>(&response.text).ok().as_ref() != Some(expected) {
            self.add_fault(&format!(
                "call {}: unexpected response {}",
                metadata.seq, response.text
            ));
        }
    }

    async fn check_availability(&mut self, slot: &str) {
        let metadata = self.next_metadata(PLAIN_SERVICE, "checks");
        let spec = PlainCallSpec {
            method: awc::http::Method::GET,
            path: format!("/availability/{slot}"),
            idempotency_key: None,
            body: Value::Null,
        };
        let outcome = self.caller.plain(&metadata, &spec).await;
        let Some(response) = self.record_outcome(&metadata, outcome) else {
            return;
        };
        let value: Value = serde_json::from_str(&response.text).unwrap_or_default();
        if value["slot"] != json!(slot) {
            self.add_fault(&format!(
                "call {}: unexpected response {}",
                metadata.seq, response.text
            ));
        }
    }

    async fn run_sub_agents(&mut self, scripts: &[Script]) {
        let parent = &self.script.program;
        let runs = scripts
            .iter()
            .map(|script| run(self.caller, script, Some(parent.clone())));
        for record in join_all(runs).await {
            self.record.sub_agents += 1 + record.sub_agents;
            self.record.calls.extend(record.calls);
            self.record.faults.extend(record.faults);
        }
    }

    /// Records the outcome of a call and returns its response.
    fn record_outcome(
        &mut self,
        metadata: &CallMetadata,
        outcome: CallOutcome,
    ) -> Option<CallResponse> {
        let mut call = CallRecord {
            class: metadata.class.clone().unwrap_or_default(),
            took: outcome.took,
            refusals: outcome.refusals,
            retries: outcome.retries,
            ..CallRecord::default()
        };
        let response = match outcome.result {
            Ok(response) => {
                call.first_text = response.first_text;
                call.prompt_tokens = response.prompt_tokens;
                call.cached_tokens = response.cached_tokens;
                call.output_tokens = response.output_tokens;
                Some(response)
            }
            Err(failure) => {
                self.add_fault(&format!("call {}: {failure}", metadata.seq));
                None
            }
        };
        self.record.calls.push(call);
        response
    }

    fn add_fault(&mut self, what: &str) {
        let fault = format!("{}: {what}", self.script.program);
        self.record.faults.push(fault);
    }
}

async fn sleep_for(span: SpanUs) {
    actix_rt::time::sleep(Duration::from_micros(span.0)).await;
}

/// Returns the ids of operations that did not run exactly once, with the number of times they ran.
#[must_use]
pub fn find_not_run_once(
    scripts: &[Script],
    executions: &[BTreeMap<String, u64>],
) -> Vec<(String, u64)> {
    let count = |id: &str| -> u64 { executions.iter().filter_map(|counts| counts.get(id)).sum() };
    let ids = scripts.iter().flat_map(Script::run_once_ids);
    ids.map(|id| (count(&id), id))
        .filter(|(count, _)| *count != 1)
        .map(|(count, id)| (id, count))
        .collect()
}
