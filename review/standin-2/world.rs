//! A small deployment: the store, engines that register there, and gateways.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Engine, EngineSettings};
use crate::gateway::{Gateway, prepare};
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "desk.example";
pub const SERVICE: &str = "models";

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub engines: Vec<Arc<Engine>>,
    pub gateways: Vec<Gateway>,
}

/// Returns the folder of the gateways' settings and logs.
pub fn temporary() -> PathBuf {
    std::env::temp_dir().join(format!("lab-{}", std::process::id()))
}

/// Returns a number that no other call has returned.
pub fn unique() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Returns a random number, the same series for each start.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn part(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

impl World {
    /// Starts the store and the engines, and writes the configuration with these routes.
    pub fn new(
        folder: &str,
        routes: &str,
        engines: usize,
        gateways: usize,
        settings: EngineSettings,
    ) -> Self {
        let record = Arc::new(Record::create(&format!("{folder}/record.txt")));
        let (store, address) = Store::start("127.0.0.1:0");
        let settings = Arc::new(settings);
        let engines: Vec<Arc<Engine>> = (0..engines)
            .map(|n| {
                let id = format!("i-{n:08x}");
                let ip = format!("127.0.1.{}:0", n + 1);
                Engine::start(&id, &ip, Arc::clone(&settings), Arc::clone(&record))
            })
            .collect();
        let config = format!(
            "{{\"Version\":1,\"Routes\":[{routes}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/healthz\",\
             \"MaxConns\":170,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":{},\"KvCapacity\":{},\
             \"KvBytes\":18432,\"LinkMbps\":1500000.0,\"Stride\":15,\"Models\":[{{\"Name\":\"m\"}}]}}}}],\
             \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
            settings.slots, settings.kv_tokens
        );
        store.put("keyed.op", "config", config.as_bytes());
        record.line(&format!("configuration: {config}"));
        let (served, listed, slots) = (Arc::clone(&store), engines.clone(), settings.slots);
        thread::spawn(move || {
            for seq in 1.. {
                for engine in &listed {
                    let entry = format!(
                        "{{\"Service\":\"{SERVICE}\",\"Address\":\"{}\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\
                         \"Slots\":{slots},\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":{seq}}}",
                        engine.address
                    );
                    served.put("keyed.servers", &engine.id, entry.as_bytes());
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        std::fs::create_dir_all(temporary()).expect("a temporary folder");
        let gateways = prepare(gateways, address, &temporary());
        Self {
            record,
            store,
            engines,
            gateways,
        }
    }

    /// Starts all gateways and waits until they are ready; returns false if they are not in time.
    pub fn start_gateways(&mut self) -> bool {
        for gateway in &mut self.gateways {
            gateway.start();
        }
        let until = Instant::now() + Duration::from_secs(15);
        while !self.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Traffic starts 10 s after the machines do.
        thread::sleep(Duration::from_secs(5));
        true
    }
}

/// Returns when a request first reached an engine, in seconds, if it did.
pub fn arrival(engines: &[Arc<Engine>], id: &str) -> Option<f64> {
    arrivals(engines, id).into_iter().reduce(f64::min)
}

/// Returns each time at which a request reached an engine, in seconds.
pub fn arrivals(engines: &[Arc<Engine>], id: &str) -> Vec<f64> {
    let times = engines
        .iter()
        .flat_map(|e| e.arrivals.lock().expect("the engine").get(id).cloned());
    times.flatten().collect()
}

/// Returns when the runs of a request began and ended, in seconds.
pub fn spans(engines: &[Arc<Engine>], id: &str) -> Vec<(f64, f64)> {
    let spans = engines
        .iter()
        .flat_map(|e| e.spans.lock().expect("the engine").get(id).cloned());
    spans.flatten().collect()
}

/// Returns a route of turns.
pub fn turn_route(
    name: &str,
    prefix: &str,
    timeout_ms: u64,
    keep: bool,
    resumable: bool,
    retain_s: f64,
) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"streaming\",\
         \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":250,\"Priority\":0,\"Service\":\"{SERVICE}\",\"Attempts\":2,\
         \"KeepContext\":{keep},\"RetainS\":{retain_s},\"Sticky\":true,\"Resumable\":{resumable},\"GapTargetMs\":400}}"
    )
}
