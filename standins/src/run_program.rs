//! Runs one program's script against the entries and checks every answer.

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

/// The service of the turns.
pub const CHAT_SERVICE: &str = "agent-llm";
/// The service of the holds.
pub const PLAIN_SERVICE: &str = "book-app";
/// The model of the turns.
pub const MODEL: &str = "stargazer";

/// One call as it went.
#[derive(Debug, Clone, Default)]
pub struct CallRecord {
    /// The class.
    pub class: String,
    /// From its first attempt to its end.
    pub took: Duration,
    /// The time to the first text of a stream.
    pub first_text: Option<Duration>,
    /// The prompt's tokens.
    pub prompt_tokens: u64,
    /// Those that came from a cache.
    pub cached_tokens: u64,
    /// The tokens generated.
    pub output_tokens: u64,
    /// The codes of answers that said that it did not run.
    pub refusals: Vec<String>,
    /// How often it was sent again.
    pub retries: u64,
}

/// One program as it went.
#[derive(Debug, Clone, Default)]
pub struct ProgramRecord {
    /// Its class.
    pub class: String,
    /// From its first call to its last answer.
    pub took: Duration,
    /// Its calls, with those of its sub-agents.
    pub calls: Vec<CallRecord>,
    /// Its sub-agents.
    pub sub_agents: u64,
    /// What was missing, mixed or wrong; empty when it finished.
    pub faults: Vec<String>,
}

/// A program that is under way.
struct Run<'a> {
    caller: &'a Caller,
    script: &'a Script,
    parent: Option<String>,
    messages: Vec<ChatMessage>,
    next_seq: u64,
    record: ProgramRecord,
}

/// Runs a program to its end, and ends it; its latency and that of its first call count from `due`.
pub async fn run_program(caller: &Caller, script: &Script, due: Instant) -> ProgramRecord {
    let late = due.elapsed();
    let mut record = run(caller, script, None).await;
    record.took += late;
    if let Some(first) = record.calls.first_mut() {
        first.took += late;
    }
    record
}

/// A program may run others, so its future is boxed.
fn run<'a>(
    caller: &'a Caller,
    script: &'a Script,
    parent: Option<String>,
) -> Pin<Box<dyn Future<Output = ProgramRecord> + 'a>> {
    Box::pin(async move {
        let begun = Instant::now();
        let instructions = script.kind.instructions();
        let mut run = Run {
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
            // After a fault the history differs from what the script expects.
            if !run.record.faults.is_empty() {
                break;
            }
            run.step(step).await;
        }
        run.record.took = begun.elapsed();
        let ended = caller.end(&script.program).await;
        if let Err(failure) = ended.result {
            run.fault(&format!("its end: {failure}"));
        }
        run.record
    })
}

impl Run<'_> {
    async fn step(&mut self, step: &Step) {
        match step {
            Step::Turn { says, wanted, tool } => {
                let name = tool.as_ref().map(|(name, _)| name.to_string());
                self.turn(says, *wanted, name).await;
                if let Some((_, pause)) = tool {
                    pause_for(*pause).await;
                }
            }
            Step::Hold { id } => {
                let body = json!({ "id": id, "slot": "dome-1" });
                let expected = json!({ "hold": id, "slot": "dome-1", "state": "held" });
                self.once("/holds", "holds", id, body, &expected).await;
            }
            Step::Cancel { id, hold } => {
                let body = json!({ "id": id, "hold": hold });
                let expected = json!({ "cancellation": id, "hold": hold, "state": "cancelled" });
                self.once("/cancellations", "notices", id, body, &expected)
                    .await;
            }
            Step::Check { slot } => self.check(slot).await,
            Step::SubAgents(scripts) => self.sub_agents(scripts).await,
        }
    }

    fn head(&mut self, service: &str, class: &str) -> CallMetadata {
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

    async fn turn(&mut self, says: &str, wanted: Tokens, tool: Option<String>) {
        let head = self.head(CHAT_SERVICE, self.script.kind.class());
        self.messages.push(ChatMessage::new("user", says));
        let ask = ChatCallSpec {
            model: MODEL.to_owned(),
            messages: self.messages.clone(),
            wanted,
            stream: head.seq.is_multiple_of(2),
            tool,
        };
        let chain = Prompt::of_messages(&self.messages).chain();
        let outcome = self.caller.chat(&head, &ask).await;
        let Some(answer) = self.take(&head, outcome) else {
            return;
        };
        if answer.text != answer_text(chain, wanted) {
            self.fault(&format!("call {}: the answer is another's", head.seq));
        }
        if answer.finish.as_deref() != Some("stop") || answer.output_tokens != wanted.0 {
            self.fault(&format!("call {}: the answer is not whole", head.seq));
        }
        self.messages
            .push(ChatMessage::new("assistant", &answer.text));
    }

    /// Makes a call that must run once.
    async fn once(&mut self, path: &str, class: &str, id: &str, body: Value, expected: &Value) {
        let head = self.head(PLAIN_SERVICE, class);
        let ask = PlainCallSpec {
            method: awc::http::Method::POST,
            path: path.to_owned(),
            once: Some(id.to_owned()),
            body,
        };
        let outcome = self.caller.plain(&head, &ask).await;
        let Some(answer) = self.take(&head, outcome) else {
            return;
        };
        if serde_json::from_str::<Value>(&answer.text).ok().as_ref() != Some(expected) {
            self.fault(&format!("call {}: answered {}", head.seq, answer.text));
        }
    }

    async fn check(&mut self, slot: &str) {
        let head = self.head(PLAIN_SERVICE, "checks");
        let ask = PlainCallSpec {
            method: awc::http::Method::GET,
            path: format!("/availability/{slot}"),
            once: None,
            body: Value::Null,
        };
        let outcome = self.caller.plain(&head, &ask).await;
        let Some(answer) = self.take(&head, outcome) else {
            return;
        };
        let value: Value = serde_json::from_str(&answer.text).unwrap_or_default();
        if value["slot"] != json!(slot) {
            self.fault(&format!("call {}: answered {}", head.seq, answer.text));
        }
    }

    async fn sub_agents(&mut self, scripts: &[Script]) {
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

    /// Notes how a call went, and takes its answer.
    fn take(&mut self, head: &CallMetadata, outcome: CallOutcome) -> Option<CallResponse> {
        let mut call = CallRecord {
            class: head.class.clone().unwrap_or_default(),
            took: outcome.took,
            refusals: outcome.refusals,
            retries: outcome.retries,
            ..CallRecord::default()
        };
        let answer = match outcome.result {
            Ok(answer) => {
                call.first_text = answer.first_text;
                call.prompt_tokens = answer.prompt_tokens;
                call.cached_tokens = answer.cached_tokens;
                call.output_tokens = answer.output_tokens;
                Some(answer)
            }
            Err(failure) => {
                self.fault(&format!("call {}: {failure}", head.seq));
                None
            }
        };
        self.record.calls.push(call);
        answer
    }

    fn fault(&mut self, what: &str) {
        let fault = format!("{}: {what}", self.script.program);
        self.record.faults.push(fault);
    }
}

async fn pause_for(span: SpanUs) {
    actix_rt::time::sleep(Duration::from_micros(span.0)).await;
}

/// How often each id ran that must run once: the ids that ran otherwise, with their counts.
#[must_use]
pub fn find_not_run_once(
    scripts: &[Script],
    executions: &[BTreeMap<String, u64>],
) -> Vec<(String, u64)> {
    let count = |id: &str| -> u64 { executions.iter().filter_map(|ran| ran.get(id)).sum() };
    let ids = scripts.iter().flat_map(Script::run_once_ids);
    ids.map(|id| (count(&id), id))
        .filter(|(count, _)| *count != 1)
        .map(|(count, id)| (id, count))
        .collect()
}
