//! Holds the state that the tasks of a gateway's traffic thread share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clementinepick::event::{Event, EventKind};
use clementinepick::limit_history::LimitHistory;
use clementinepick::listed_versions::{
    ListedVersions, RecordedVersion, ServiceVersions, VersionEvidence, VersionQuestion,
};
use clementinepick::retry::RetryBudget;
use clementinepick::server_list::ServerList;
use clementinepick::server_selection::ServerSelector;
use clementinepick::shutdown_schedule::ShutdownSchedule;
use clementinepick::start_doubts::StartDoubts;
use clementinepick::stream_origin::StreamOrigin;
use clementinepick::traffic_config::{CallerLimits, TrafficService};
use clementinepick::units::{Percent, SpanUs, TimeUs};
use slog::Logger;
use tokio::sync::{mpsc, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::connection_limits::ListenerConnections;
use crate::directory::Directory;
use crate::gateway_directory_copy::ClockWatch;
use crate::gateway_ended::Ended;
use crate::gateway_loss::{LossSender, OpenLoss};
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_origin_log::OriginLog;
use crate::gateway_origins::Origins;
use crate::gateway_peer_updates::{PeerUpdate, PeerUpdateSender};
use crate::gateway_prefetch::{PREFETCH_QUEUE_CAPACITY, PrefetchRequest};
use crate::gateway_request_log::RequestLog;
use crate::gateway_settings::GatewaySettings;
use crate::gateway_start_evidence::StartConfirmations;
use crate::gateway_start_questions::{StartQuestion, StartQuestionSender};
use crate::gateway_tasks::ACCEPT_CALLERS_TASK;
use crate::gateway_versions::VersionRecords;
use crate::ledger::LedgerStore;
use crate::ledger_budgets::Budgets;
use crate::ledger_holds::TokenReturn;
use crate::ledger_homes::Homes;
use crate::ledger_turns::Turns;
use crate::list_refresh::RefreshSender;
use crate::logging::write_event;
use crate::monotonic_clock::MonotonicClock;
use crate::outbound_pool::ConnectionPool;
use crate::response_memory::ResponseMemory;
use crate::signal::Signal;
use crate::store::StoreClient;
use crate::supervised_tasks::TaskSupervisor;
use crate::unix_time::unix_ms;

/// The maximum age of the configuration and the server list of a ready process. With older ones, it
/// would send requests to servers that have left and refuse new programs, although another process
/// may have newer ones.
const MAX_DIRECTORY_AGE: Duration = Duration::from_secs(3);
/// The percentage of requests that may be retried. Faults of single servers affect fewer responses
/// than this, up to 5 % at six servers in ten; more failures mean that a service fails as a whole.
const RETRY_PERCENT: u8 = 20;

/// The state that the tasks of the traffic thread share.
pub(crate) struct Shared {
    pub(crate) store: Rc<StoreClient>,
    pub(crate) ledger: Rc<LedgerStore>,
    pub(crate) budgets: Rc<Budgets>,
    pub(crate) homes: Homes,
    pub(crate) turns: Turns,
    pub(crate) origins: Origins,
    pub(crate) origin_log: OriginLog,
    pub(crate) ended: Ended,
    pub(crate) request_log: RequestLog,
    /// Identifies this process instance.
    pub(crate) writer: String,
    /// Runs whose callers have disconnected.
    pub(crate) losses: LossSender,
    /// What peers should know.
    pub(crate) updates: PeerUpdateSender,
    /// Questions to servers at which streams have begun.
    pub(crate) start_questions: StartQuestionSender,
    /// Requests for slices that programs may need soon.
    pub(crate) prefetch: mpsc::Sender<PrefetchRequest>,
    /// The address at which peers reach this process.
    pub(crate) peer_address: SocketAddr,
    pub(crate) pool: ConnectionPool,
    pub(crate) choice: RefCell<ServerSelector>,
    pub(crate) doubts: RefCell<StartDoubts>,
    pub(crate) confirmations: StartConfirmations,
    limits: RefCell<LimitHistory>,
    listed_versions: RefCell<ListedVersions>,
    pub(crate) versions: VersionRecords,
    pub(crate) metrics: Arc<GatewayMetrics>,
    /// Restarts the tasks of this thread.
    pub(crate) tasks: TaskSupervisor,
    pub(crate) retries: RefCell<BTreeMap<String, RetryBudget>>,
    /// What the connections to this process hold, by listener.
    pub(crate) connections: ListenerConnections,
    /// The memory of responses that are received or sent.
    pub(crate) response_memory: ResponseMemory,
    directory: watch::Receiver<Directory>,
    /// Publishes what peers hand over; the thread that follows the store has the same sender.
    pub(crate) publish: watch::Sender<Directory>,
    pub(crate) clocks: ClockWatch,
    list_refresh: RefreshSender,
    logger: Logger,
    log_every: u64,
    clock: MonotonicClock,
    request_count: Cell<usize>,
    /// The number of open connections to this process.
    connection_count: Cell<usize>,
    /// The times of the shutdown, once it has begun.
    shutdown: Cell<Option<ShutdownSchedule>>,
    /// Whether this process has been found ready.
    was_ready: Cell<bool>,
    /// Set once idle connections are to be closed.
    closing: Signal,
    /// Set once running requests are to be answered, whatever their state.
    stopping: Signal,
}

/// Counts a request as running, or a connection as open, until dropped.
pub(crate) struct CountGuard<'a>(&'a Cell<usize>);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn increment(counter: &Cell<usize>) -> CountGuard<'_> {
    counter.set(counter.get() + 1);
    CountGuard(counter)
}

/// The queues that background tasks process.
pub(crate) struct BackgroundQueues {
    /// Tokens to return to the peers that lent them.
    pub(crate) returned: mpsc::Receiver<TokenReturn>,
    /// Slices to reserve before turns need them.
    pub(crate) prefetch: mpsc::Receiver<PrefetchRequest>,
    /// Turns whose chains requests have given up reading.
    pub(crate) unfinished_reads: mpsc::Receiver<String>,
    /// What to tell peers.
    pub(crate) updates: mpsc::UnboundedReceiver<PeerUpdate>,
    /// Runs whose callers have disconnected.
    pub(crate) losses: mpsc::UnboundedReceiver<OpenLoss>,
    /// Questions to servers at which streams have begun.
    pub(crate) start_questions: mpsc::UnboundedReceiver<StartQuestion>,
}

impl Shared {
    /// Creates the state of a starting gateway and the queues of its background tasks.
    pub(crate) fn new(
        settings: &GatewaySettings,
        publish: watch::Sender<Directory>,
        list_refresh: RefreshSender,
        logger: Logger,
        metrics: Arc<GatewayMetrics>,
        writer: String,
    ) -> (Self, BackgroundQueues) {
        let store = StoreClient::new(settings.store, Arc::clone(&metrics));
        let store = Rc::new(store.with_priority_of_lists(publish.subscribe()));
        store.set_relays(settings.seeds.clone());
        let ledger = Rc::new(LedgerStore {
            settings: settings.ledger,
            client: Rc::clone(&store),
        });
        let instance = writer.clone();
        let (budgets, returned) = Budgets::new(Rc::clone(&ledger), writer, settings.peers);
        let budgets = Rc::new(budgets);
        let (prefetch, prefetch_requests) = mpsc::channel(PREFETCH_QUEUE_CAPACITY);
        let (turns, unfinished_reads) = Turns::new(Rc::clone(&ledger));
        let (updates, queued_updates) = mpsc::unbounded_channel();
        let (losses, queued_losses) = mpsc::unbounded_channel();
        let (start_questions, queued_questions) = mpsc::unbounded_channel();
        let shared = Self {
            store,
            prefetch,
            homes: Homes::new(Rc::clone(&budgets)),
            budgets,
            peer_address: settings.peers,
            turns,
            origins: Origins::default(),
            origin_log: OriginLog::default(),
            ended: Ended::default(),
            request_log: RequestLog::default(),
            writer: instance,
            losses,
            updates,
            start_questions,
            ledger,
            pool: ConnectionPool::default(),
            choice: RefCell::default(),
            doubts: RefCell::default(),
            confirmations: StartConfirmations::default(),
            limits: RefCell::default(),
            listed_versions: RefCell::default(),
            versions: VersionRecords::default(),
            tasks: TaskSupervisor::new(logger.clone(), Arc::clone(&metrics)),
            metrics,
            retries: RefCell::default(),
            connections: ListenerConnections::new(settings, Instant::now()),
            response_memory: ResponseMemory::new(settings.response_limit_bytes),
            directory: publish.subscribe(),
            publish,
            clocks: ClockWatch::new(Instant::now(), unix_ms()),
            list_refresh,
            logger,
            log_every: settings.log_every,
            clock: MonotonicClock::starting_at(Instant::now()),
            request_count: Cell::new(0),
            connection_count: Cell::new(0),
            shutdown: Cell::new(None),
            was_ready: Cell::new(false),
            closing: Signal::default(),
            stopping: Signal::default(),
        };
        let queues = BackgroundQueues {
            returned,
            prefetch: prefetch_requests,
            unfinished_reads,
            updates: queued_updates,
            losses: queued_losses,
            start_questions: queued_questions,
        };
        (shared, queues)
    }

    pub(crate) fn directory(&self) -> Directory {
        self.directory.borrow().clone()
    }

    /// Returns the limits of callers' requests that are in force now.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let directory = self.directory.borrow();
        directory
            .config
            .as_ref()
            .map(|c| c.limits)
            .unwrap_or_default()
    }

    /// Records which limits of callers' requests are in force now.
    pub(crate) fn record_limits(&self, now: Instant) {
        let now = self.now_us(now);
        let mut limits = self.limits.borrow_mut();
        limits.record(now, self.caller_limits());
    }

    /// Returns the highest of each limit that was in force at `since` or later.
    pub(crate) fn loosest_limits_since(&self, since: Instant) -> CallerLimits {
        self.record_limits(Instant::now());
        self.limits.borrow().loosest_since(self.now_us(since))
    }

    /// Returns the list of servers unless it is too old to conclude from it that a server is absent.
    pub(crate) fn current_servers(&self, now: Instant) -> Option<Arc<ServerList>> {
        let directory = self.directory.borrow();
        let is_current = directory.has_current_servers(now);
        is_current.then(|| Arc::clone(&directory.servers))
    }

    /// Returns the path of health checks of a service's servers.
    pub(crate) fn health_path(&self, service: &str) -> Option<String> {
        let directory = self.directory.borrow();
        let services = &directory.config.as_ref()?.services;
        services.get(service)?.health_path.clone()
    }

    /// Returns the path of health checks of a listed server.
    pub(crate) fn health_path_of(&self, server: &str) -> Option<String> {
        let servers = Arc::clone(&self.directory.borrow().servers);
        self.health_path(&servers.servers.get(server)?.service)
    }

    /// Records which software versions are listed now.
    pub(crate) fn record_versions(&self, now: Instant) {
        let directory = self.directory();
        let mut listed = self.listed_versions.borrow_mut();
        for ((service, version), at) in directory.left_versions.iter() {
            listed.record_left(self.now_us(*at), service, version);
        }
        listed.record(self.now_us(now), &directory.servers);
    }

    /// Adds a software version that an earlier process recorded.
    pub(crate) fn load_version(&self, recorded: &RecordedVersion, now: Instant) {
        let now = self.now_us(now);
        self.listed_versions.borrow_mut().load(now, recorded);
    }

    /// Returns the software versions that the servers of a service have had until `asked_at`, if they
    /// have been known for `min_known`.
    pub(crate) fn service_versions(
        &self,
        service: &str,
        min_known: SpanUs,
        asked_at: Instant,
        now: Instant,
    ) -> ServiceVersions {
        if self.has_unproven_streams(service) {
            return ServiceVersions::Several;
        }
        self.record_versions(now);
        let question = VersionQuestion {
            service,
            min_known,
            asked_at: self.now_us(asked_at),
        };
        let evidence = self.version_evidence();
        let listed = self.listed_versions.borrow();
        listed.find(self.now_us(now), &question, evidence)
    }

    /// Returns as of when the software versions of services are known.
    pub(crate) fn version_evidence(&self) -> VersionEvidence {
        let list_as_of = self.directory.borrow().servers_as_of;
        VersionEvidence {
            list_as_of: list_as_of.map(|at| self.now_us(at)),
            records_as_of: self.versions.as_of().map(|at| self.now_us(at)),
        }
    }

    /// Returns whether a service has lately had another software version.
    pub(crate) fn has_other_version(&self, origin: &StreamOrigin, now: Instant) -> bool {
        self.record_versions(now);
        let listed = self.listed_versions.borrow();
        listed.has_other(self.now_us(now), &origin.service, &origin.version)
    }

    /// Makes the list of servers be read by a call that begins at `as_of` or later.
    pub(crate) fn refresh_list(&self, as_of: Instant) {
        self.list_refresh.request(as_of);
    }

    /// Waits for a list of servers by a call that begins at `as_of` or later.
    pub(crate) async fn wait_for_list(&self, as_of: Instant) {
        self.refresh_list(as_of);
        let mut directory = self.directory.clone();
        let is_new = |directory: &Directory| directory.servers_as_of >= Some(as_of);
        // The sender ends only with the process.
        let _ = directory.wait_for(is_new).await;
    }

    pub(crate) fn now_us(&self, now: Instant) -> TimeUs {
        self.clock.at(now)
    }

    /// Records a failure of a server, so that it is avoided for a while.
    pub(crate) fn record_failure(&self, server: &str) {
        let now = self.now_us(Instant::now());
        self.choice.borrow_mut().record_failure(now, server);
    }

    /// Records that a server rejected a request without running it.
    pub(crate) fn record_refusal(&self, server: &str, is_another: bool) {
        let now = self.now_us(Instant::now());
        self.choice
            .borrow_mut()
            .record_refusal(now, server, is_another);
    }

    /// Makes this process report not ready and close each connection after its next response.
    pub(crate) fn start_draining(&self, schedule: ShutdownSchedule) {
        self.shutdown.set(Some(schedule));
    }

    /// Closes connections as soon as no request runs on them.
    pub(crate) fn close_idle_connections(&self) {
        self.closing.set();
    }

    /// Makes running requests end with an answer that says what is known of them.
    pub(crate) fn stop_requests(&self) {
        self.stopping.set();
    }

    /// Returns the number of open connections to this process.
    pub(crate) fn open_connections(&self) -> usize {
        self.connection_count.get()
    }

    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn open_connection(&self) -> CountGuard<'_> {
        increment(&self.connection_count)
    }

    /// Returns the number of running requests.
    pub(crate) fn running_requests(&self) -> usize {
        self.request_count.get()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Returns whether a request that is complete at `now` can run until its deadline.
    pub(crate) fn takes(&self, now: Instant, deadline: Instant) -> bool {
        let schedule = self.shutdown.get();
        schedule.is_none_or(|schedule| schedule.takes(self.now_us(now), self.now_us(deadline)))
    }

    /// Returns what this process must still read, or read again, to be ready.
    pub(crate) fn unread(&self, now: Instant) -> Vec<&'static str> {
        let directory = self.directory.borrow();
        let is_fresh = directory
            .as_of()
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_DIRECTORY_AGE);
        let read = [
            ("config", directory.config.is_some()),
            ("lists", is_fresh),
            ("requests", self.ended.is_loaded()),
        ];
        let unread = read.into_iter().filter(|(_, is_read)| !is_read);
        unread.map(|(name, _)| name).collect()
    }

    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        let accepts_callers = !self.tasks.is_failing(ACCEPT_CALLERS_TASK, now);
        let is_ready = !self.is_draining() && self.unread(now).is_empty() && accepts_callers;
        self.was_ready.set(self.was_ready.get() || is_ready);
        is_ready
    }

    /// Returns whether this process has been found ready.
    pub(crate) fn was_ready(&self) -> bool {
        self.was_ready.get()
    }

    /// Returns how many connections this process may open to one server of a service. Its share of
    /// the server's limit keeps all processes together below it; the server resets connections
    /// beyond it. A service that is no longer listed has the limit of `routed`, the configuration of
    /// the request.
    pub(crate) fn connection_limit(&self, service: &str, routed: Option<&TrafficService>) -> u32 {
        let directory = self.directory.borrow();
        let config = directory.config.as_ref();
        let listed = config.and_then(|config| config.services.get(service));
        let service = listed.or(routed);
        let processes = u32::try_from(directory.peers.len() + 1).unwrap_or(u32::MAX);
        service.map_or(u32::MAX, |s| (s.max_connections / processes).max(1))
    }

    /// Adds one request's share to the retry budget of a service.
    pub(crate) fn deposit_retry(&self, service: &str) {
        let mut retries = self.retries.borrow_mut();
        let budget = retries.entry(service.to_owned()).or_default();
        budget.deposit(Percent::new(RETRY_PERCENT).unwrap_or_default());
    }

    /// Takes a retry from the budget of a service; returns false if it is empty.
    pub(crate) fn withdraw_retry(&self, service: &str, kind: &'static str) -> bool {
        let mut retries = self.retries.borrow_mut();
        let may_retry = retries
            .entry(service.to_owned())
            .or_default()
            .try_withdraw();
        if may_retry {
            self.metrics.count_retry(kind);
        }
        may_retry
    }

    pub(crate) fn start_request(&self) -> CountGuard<'_> {
        increment(&self.request_count)
    }

    /// Returns once idle connections are to be closed.
    pub(crate) async fn wait_for_close(&self) {
        self.closing.wait().await;
    }

    /// Returns once running requests are to be answered, whatever their state.
    pub(crate) async fn wait_for_stop(&self) {
        self.stopping.wait().await;
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.is_set()
    }

    pub(crate) fn log(&self, event: &Event) {
        write_event(&self.logger, event);
    }

    /// Returns whether the success of this request is logged; all processes choose the same
    /// requests.
    pub(crate) fn is_sampled(&self, id: &str) -> bool {
        let every = self.log_every.max(1);
        xxh3_64(id.as_bytes()).is_multiple_of(every)
    }

    pub(crate) fn log_connection_error(&self, err: &io::Error) {
        let event = Event::new(EventKind::LinkDown).with("reason", err);
        self.log(&event);
    }
}
