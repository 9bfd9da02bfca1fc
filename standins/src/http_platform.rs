//! Serves the platform's log, VM list and weight store over HTTP, and the tools of the programs.
//!
//! Besides the paths of the platform API: `POST /control/outage/{ms}`,
//! `/control/slowness/{ms}` and `/control/lose-answers/{count}` at the log;
//! `PUT` and `DELETE /v1/vms/{id}` and `POST /v1/vms/{id}/leaving` at the VM list;
//! `POST /tools/{tool}` at the tools.

use std::sync::{Arc, Mutex};

use actix_http::{Request, StatusCode};
use clementinepick::ids::{ModelName, Offset, ToolName, VersionName, VmId};
use clementinepick::platform::{AppendBody, StreamName, Vm};
use clementinepick::units::SpanUs;

use crate::clock::Clock;
use crate::http::{
    HandlerResult, HttpResponse, empty, json, lock, not_found, path_parts, query_number, read_json,
    retry_later, sleep, text,
};
use crate::log_service::{AppendFault, LogError, LogService, LogSettings};
use crate::tool_service::{ToolOutcome, ToolService};
use crate::vm_list::VmList;
use crate::weight_store::{WeightSettings, WeightStore};

/// Maximum number of records in the response to a read.
const MAX_READ: u64 = 4_096;

/// A log service served over HTTP.
#[derive(Clone)]
pub struct LogHost {
    log: Arc<Mutex<LogService>>,
    clock: Clock,
}

impl LogHost {
    /// Creates an empty log.
    #[must_use]
    pub fn new(settings: LogSettings, clock: Clock) -> Self {
        Self {
            log: Arc::new(Mutex::new(LogService::new(settings))),
            clock,
        }
    }

    /// Returns the numbers of batches and of records written.
    #[must_use]
    pub fn written(&self) -> (u64, u64) {
        lock(&self.log).written()
    }

    pub(crate) async fn handle(self, mut request: Request) -> HandlerResult {
        let parts = path_parts(&request);
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let method = request.method().as_str().to_owned();
        let response = match (method.as_str(), &parts[..]) {
            (method, ["v1", "streams", name]) => match (method, parse_stream(name)) {
                ("GET", Some(stream)) => self.read(&request, stream).await,
                ("POST", Some(stream)) => self.append(&mut request, stream).await,
                _ => not_found(),
            },
            ("POST", ["control", command, number]) => self.control(command, number),
            _ => not_found(),
        };
        Ok(response)
    }

    async fn read(&self, request: &Request, stream: StreamName) -> HttpResponse {
        let from = Offset(query_number(request, "from").unwrap_or_default());
        let max = query_number(request, "max")
            .unwrap_or(MAX_READ)
            .min(MAX_READ);
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let (response, delay) = {
            let mut log = lock(&self.log);
            let response = log.read(self.clock.now(), stream, from, max);
            (response, log.response_delay())
        };
        sleep(delay).await;
        response.map_or_else(error_response, |response| json(&response))
    }

    async fn append(&self, request: &mut Request, stream: StreamName) -> HttpResponse {
        let body: AppendBody = match read_json(request).await {
            Ok(body) => body,
            Err(rejected) => return rejected,
        };
        let (response, delay) = {
            let mut log = lock(&self.log);
            let response = log.append(self.clock.now(), stream, body.records);
            (response, log.response_delay())
        };
        sleep(delay).await;
        response.map_or_else(error_response, |response| json(&response))
    }

    fn control(&self, command: &str, number: &str) -> HttpResponse {
        let Ok(number) = number.parse::<u64>() else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let now = self.clock.now();
        let mut log = lock(&self.log);
        match command {
            "outage" => log.add_outage(now, now.after(SpanUs::from_ms(number))),
            "slowness" => log.set_slowness(SpanUs::from_ms(number)),
            "lose-answers" => log.script((0..number).map(|_| Some(AppendFault::LostResponse))),
            _ => return not_found(),
        }
        empty(StatusCode::NO_CONTENT)
    }
}

fn parse_stream(name: &str) -> Option<StreamName> {
    let mut all = StreamName::ALL.into_iter();
    all.find(|stream| stream.to_string() == name)
}

/// Maps an error to a status. Only 429 and 503 mean that nothing was appended; a lost response
/// becomes 504, after which the records may be in the log.
fn error_response(error: LogError) -> HttpResponse {
    match error {
        LogError::RateLimited(after) => retry_later(StatusCode::TOO_MANY_REQUESTS, after),
        LogError::Down => text(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        LogError::NoResponse => text(StatusCode::GATEWAY_TIMEOUT, error.to_string()),
    }
}

/// A VM list served over HTTP.
#[derive(Clone)]
pub struct VmHost {
    list: Arc<Mutex<VmList>>,
    clock: Clock,
}

impl VmHost {
    /// Creates an empty list that shows changes after `lag`.
    #[must_use]
    pub fn new(lag: SpanUs, clock: Clock) -> Self {
        Self {
            list: Arc::new(Mutex::new(VmList::new(lag))),
            clock,
        }
    }

    /// Adds or replaces a VM.
    pub fn set(&self, vm: Vm) {
        lock(&self.list).set(self.clock.now(), vm);
    }

    /// Marks a VM as leaving.
    pub fn set_leaving(&self, id: &VmId) {
        lock(&self.list).set_leaving(self.clock.now(), id);
    }

    /// Removes a VM.
    pub fn remove(&self, id: VmId) {
        lock(&self.list).remove(self.clock.now(), id);
    }

    pub(crate) async fn handle(self, mut request: Request) -> HandlerResult {
        let parts = path_parts(&request);
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let method = request.method().as_str().to_owned();
        let response = match (method.as_str(), &parts[..]) {
            ("GET", ["v1", "vms"]) => json(&lock(&self.list).list(self.clock.now())),
            ("PUT", ["v1", "vms", _]) => match read_json(&mut request).await {
                Ok(vm) => {
                    self.set(vm);
                    empty(StatusCode::NO_CONTENT)
                }
                Err(rejected) => rejected,
            },
            ("DELETE", ["v1", "vms", id]) => apply_to_vm(id, |id| self.remove(id)),
            ("POST", ["v1", "vms", id, "leaving"]) => apply_to_vm(id, |id| self.set_leaving(&id)),
            _ => not_found(),
        };
        Ok(response)
    }
}

fn apply_to_vm(id: &str, change: impl FnOnce(VmId)) -> HttpResponse {
    let Ok(id) = id.parse() else {
        return empty(StatusCode::BAD_REQUEST);
    };
    change(id);
    empty(StatusCode::NO_CONTENT)
}

/// A weight store served over HTTP.
#[derive(Clone)]
pub struct WeightHost {
    store: Arc<Mutex<WeightStore>>,
    clock: Clock,
}

impl WeightHost {
    /// Creates a store without transfers.
    #[must_use]
    pub fn new(settings: WeightSettings, clock: Clock) -> Self {
        Self {
            store: Arc::new(Mutex::new(WeightStore::new(settings))),
            clock,
        }
    }

    pub(crate) async fn handle(self, request: Request) -> HandlerResult {
        let parts = path_parts(&request);
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let ["v1", "weights", model, version] = parts[..] else {
            return Ok(not_found());
        };
        let names = (model.parse::<ModelName>(), version.parse::<VersionName>());
        let (Ok(model), Ok(version)) = names else {
            return Ok(empty(StatusCode::BAD_REQUEST));
        };
        let response = lock(&self.store).fetch(self.clock.now(), &model, &version);
        match response {
            Ok(transfer) => {
                sleep(transfer).await;
                Ok(empty(StatusCode::OK))
            }
            Err(after) => Ok(retry_later(StatusCode::TOO_MANY_REQUESTS, after)),
        }
    }
}

/// The tool service served over HTTP.
#[derive(Clone)]
pub struct ToolHost {
    tools: Arc<Mutex<ToolService>>,
}

impl ToolHost {
    /// Creates a host of `tools`.
    #[must_use]
    pub fn new(tools: ToolService) -> Self {
        Self {
            tools: Arc::new(Mutex::new(tools)),
        }
    }

    pub(crate) async fn handle(self, request: Request) -> HandlerResult {
        let parts = path_parts(&request);
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let ["tools", tool] = parts[..] else {
            return Ok(not_found());
        };
        let Ok(tool) = tool.parse::<ToolName>() else {
            return Ok(empty(StatusCode::BAD_REQUEST));
        };
        let outcome = lock(&self.tools).call(&tool);
        match outcome {
            ToolOutcome::Answers {
                after_us,
                text: result,
            } => {
                sleep(after_us).await;
                Ok(text(StatusCode::OK, result))
            }
            ToolOutcome::Hangs => std::future::pending().await,
        }
    }
}
