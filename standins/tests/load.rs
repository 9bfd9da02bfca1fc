//! Tests open-loop load on running daemons, and its latency report.

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
fn all_programs_finish_on_a_small_deployment() {
    let settings = DeploymentSettings {
        engines: 2,
        ..DeploymentSettings::default()
    };
    let deployment = Deployment::start(&settings).expect("deployment starts");
    let result = System::new().block_on(async {
        let client = new_client();
        deployment
            .publish(&client)
            .await
            .expect("documents are published");
        deployment
            .wait_ready(&client)
            .await
            .expect("entries become ready");
        let load = Load {
            entry: deployment.balancer.ready_entries(),
            plain: deployment.servers.addresses.plains.clone(),
            rate: 20.0,
            seconds: 1,
            max_running: 100,
            seed: 3,
            plot: None,
        };
        load.measure().await.expect("load runs")
    });
    assert_eq!(result.report.faults, Vec::<String>::new());
    assert!(result.report.programs >= 5, "{}", result.report.programs);
    assert_eq!(result.report.finished, result.report.programs);
    assert_eq!(result.wrong_execution_counts, []);
    deployment.stop().expect("deployment stops cleanly");
}

// A stall of one second delays one running call and nine that were scheduled during it. Measuring
// from the send instead of the scheduled time would report only one slow call.
#[test]
fn a_stall_raises_the_latency_of_every_delayed_program() {
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
    assert!(row.call_latency.quantile_ms(0.5) < 6.0);
    assert!(row.call_latency.quantile_ms(0.95) > 400.0);
    let path = std::env::temp_dir().join(format!("latency-{}.svg", std::process::id()));
    plot_latencies(&report, &path).expect("plot is written");
    let svg = fs::read_to_string(&path).expect("plot is readable");
    fs::remove_file(&path).expect("plot is removed");
    assert!(svg.matches("<polyline").count() >= 4, "{svg}");
    assert!(svg.contains("concierge: calls") && svg.contains("99.9%"));
}
