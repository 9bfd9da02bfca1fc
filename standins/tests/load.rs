//! Open-loop load on running daemons.

use std::fs;
use std::time::Duration;

use actix_rt::System;
use standins::caller::new_client;
use standins::deployment::{Deployment, DeploymentSettings};
use standins::load::Load;
use standins::plot::plot_latencies;
use standins::report::Report;
use standins::run_program::{CallRecord, ProgramRecord};

#[test]
fn load_on_a_small_deployment_finishes_whole() {
    let settings = DeploymentSettings {
        engines: 2,
        ..DeploymentSettings::default()
    };
    let deployment = Deployment::start(&settings).expect("free ports");
    let result = System::new().block_on(async {
        let client = new_client();
        deployment.publish(&client).await.expect("the log");
        deployment.wait_ready(&client).await.expect("ready entries");
        let load = Load {
            entry: deployment.balancer.ready(),
            plain: deployment.servers.addresses.plains.clone(),
            rate: 20.0,
            seconds: 1,
            max_running: 100,
            seed: 3,
            plot: None,
        };
        load.measure().await.expect("ready entries")
    });
    assert_eq!(result.report.faults, Vec::<String>::new());
    assert!(result.report.programs >= 5, "{}", result.report.programs);
    assert_eq!(result.report.finished, result.report.programs);
    assert_eq!(result.wrong_execution_counts, []);
    deployment.stop().expect("a clean end");
}

/// A stall of one second holds up one call under way and nine that were due meanwhile. The callers
/// see ten long waits; a tool that only times what it sent would report one.
#[test]
fn a_stall_shows_in_every_latency_that_it_held_up() {
    let mut report = Report::default();
    for late in 0..100_u64 {
        let took = Duration::from_millis(if late < 10 { 1_000 - late * 100 } else { 5 });
        report.add(ProgramRecord {
            class: "concierge".to_owned(),
            took,
            calls: vec![CallRecord {
                class: "concierge".to_owned(),
                took,
                ..CallRecord::default()
            }],
            ..ProgramRecord::default()
        });
    }
    let row = &report.rows["concierge"];
    assert!(row.call_latency.ms_at(0.5) < 6.0);
    assert!(row.call_latency.ms_at(0.95) > 400.0);
    let path = std::env::temp_dir().join(format!("latency-{}.svg", std::process::id()));
    plot_latencies(&report, &path).expect("a plot");
    let svg = fs::read_to_string(&path).expect("a file");
    fs::remove_file(&path).expect("a file");
    assert!(svg.matches("<polyline").count() >= 4, "{svg}");
    assert!(svg.contains("concierge: calls") && svg.contains("99.9%"));
}
