//! Computes what each engine of a service should serve according to the active document.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::document::Document;
use crate::ids::{ModelName, VersionName, VmId};
use crate::placement::Engine;
use crate::platform::{EngineOrder, EngineRole, EngineState};

/// Desired state of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Versions by model.
    pub models: BTreeMap<ModelName, VersionName>,
    /// Base models and versions by adapter.
    pub adapters: BTreeMap<ModelName, (ModelName, VersionName)>,
    /// Role of the engine.
    pub role: EngineRole,
}

/// Returns the targets of all engines.
///
/// Engines keep their current models and roles where possible, so that a change of the document or
/// of the set of engines causes few orders.
#[must_use]
pub fn compute_targets(
    document: &Document,
    engines: &BTreeMap<VmId, Engine>,
) -> BTreeMap<VmId, Target> {
    let roles = assign_roles(document, engines);
    let mut all: BTreeMap<VmId, Target> = engines
        .keys()
        .map(|vm| {
            let target = Target {
                models: BTreeMap::new(),
                adapters: BTreeMap::new(),
                role: roles.get(vm).copied().unwrap_or(EngineRole::Mixed),
            };
            (vm.clone(), target)
        })
        .collect();
    for (model, rules) in &document.placed_models {
        for vm in assign_model(model, rules.min_engines, engines, &all) {
            if let Some(target) = all.get_mut(&vm) {
                target.models.insert(model.clone(), rules.version.clone());
            }
        }
    }
    for (adapter, rules) in &document.adapters {
        let with_model = all
            .values_mut()
            .filter(|target| target.models.contains_key(&rules.model));
        for target in with_model {
            let wanted = (rules.model.clone(), rules.version.clone());
            target.adapters.insert(adapter.clone(), wanted);
        }
    }
    all
}

/// Returns the rendezvous hashing weight of a VM for a model or role.
fn rendezvous_weight(name: &str, vm: &VmId) -> u64 {
    xxh3_64_with_seed(
        vm.as_str().as_bytes(),
        xxh3_64_with_seed(name.as_bytes(), 0),
    )
}

fn assign_model(
    model: &ModelName,
    min_engines: Option<u32>,
    engines: &BTreeMap<VmId, Engine>,
    assigned: &BTreeMap<VmId, Target>,
) -> Vec<VmId> {
    let mut candidates: Vec<&VmId> = engines.keys().collect();
    let Some(count) = min_engines else {
        return candidates.into_iter().cloned().collect();
    };
    candidates.sort_by_key(|vm| {
        let serves = engines[*vm].state.models.contains_key(model);
        let others = assigned[*vm].models.len();
        (
            Reverse(serves),
            others,
            Reverse(rendezvous_weight(model.as_str(), vm)),
        )
    });
    let count = usize::try_from(count).unwrap_or(usize::MAX);
    candidates.into_iter().take(count).cloned().collect()
}

fn assign_roles(
    document: &Document,
    engines: &BTreeMap<VmId, Engine>,
) -> BTreeMap<VmId, EngineRole> {
    let wanted = [
        (EngineRole::Prefill, document.placement.prefill_engines),
        (EngineRole::Decode, document.placement.decode_engines),
    ];
    let mut free: BTreeSet<&VmId> = engines.keys().collect();
    let mut roles = BTreeMap::new();
    for (role, count) in wanted {
        let mut candidates: Vec<&VmId> = free.iter().copied().collect();
        candidates.sort_by_key(|vm| {
            let current = engines[*vm].state.role;
            // Reassigning an engine that has the other role would leave that role short.
            let preference = match current {
                current if current == role => 0,
                EngineRole::Mixed => 1,
                EngineRole::Prefill | EngineRole::Decode => 2,
            };
            (
                preference,
                Reverse(rendezvous_weight(&role.to_string(), vm)),
            )
        });
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        for vm in candidates.into_iter().take(count) {
            free.remove(vm);
            roles.insert(vm.clone(), role);
        }
    }
    roles
}

/// Returns the next order that brings an engine closer to its target, or `None` at the target.
///
/// Models that are no longer wanted are unloaded last, after everything else is in place.
#[must_use]
pub fn next_order(
    document: &Document,
    state: &EngineState,
    target: &Target,
) -> Option<EngineOrder> {
    if state.role != target.role {
        return Some(EngineOrder::SetRole { role: target.role });
    }
    let model = target
        .models
        .iter()
        .find(|(model, version)| state.models.get(*model) != Some(version));
    if let Some((model, version)) = model {
        return Some(EngineOrder::LoadModel {
            model: model.clone(),
            version: version.clone(),
        });
    }
    let adapter = target
        .adapters
        .iter()
        .find(|(adapter, (_, version))| state.adapters.get(*adapter) != Some(version));
    if let Some((adapter, (model, version))) = adapter {
        return Some(EngineOrder::LoadAdapter {
            model: model.clone(),
            adapter: adapter.clone(),
            version: version.clone(),
        });
    }
    unwanted_model(document, state, target).map(|model| EngineOrder::Unload { model })
}

/// Returns a loaded model outside the target that the document has removed or that has an outdated
/// version.
fn unwanted_model(document: &Document, state: &EngineState, target: &Target) -> Option<ModelName> {
    if document.placed_models.is_empty() {
        return None;
    }
    let loaded = state.models.iter();
    let unwanted = loaded.filter(|(model, version)| {
        let placed = document.placed_models.get(*model);
        let outdated = placed.is_some_and(|rules| rules.version != **version);
        let removed = !document.models.contains(model);
        !target.models.contains_key(*model) && (outdated || removed)
    });
    unwanted.map(|(model, _)| model.clone()).next()
}
