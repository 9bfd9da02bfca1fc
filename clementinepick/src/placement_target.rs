//! What each engine of a service is to serve, by the document in force.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::document::Document;
use crate::ids::{ModelName, VersionName, VmId};
use crate::placement::Engine;
use crate::platform::{EngineOrder, EngineRole, EngineState};

/// What one engine is to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The models with their versions.
    pub models: BTreeMap<ModelName, VersionName>,
    /// The adapters with their models and versions.
    pub adapters: BTreeMap<ModelName, (ModelName, VersionName)>,
    /// The role.
    pub role: EngineRole,
}

/// The targets of all engines.
///
/// Who serves a model or plays a role now keeps it, so that a change of the document or of the
/// engines moves as little as it can.
#[must_use]
pub fn targets(document: &Document, engines: &BTreeMap<VmId, Engine>) -> BTreeMap<VmId, Target> {
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

fn weight(name: &str, vm: &VmId) -> u64 {
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
        (Reverse(serves), others, Reverse(weight(model.as_str(), vm)))
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
            // An engine that plays the other role would leave a gap there.
            let order = match current {
                current if current == role => 0,
                EngineRole::Mixed => 1,
                EngineRole::Prefill | EngineRole::Decode => 2,
            };
            (order, Reverse(weight(&role.to_string(), vm)))
        });
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        for vm in candidates.into_iter().take(count) {
            free.remove(vm);
            roles.insert(vm.clone(), role);
        }
    }
    roles
}

/// The order that brings an engine one step nearer to its target, if it is not there.
///
/// What callers may no longer reach is dropped last, when everything else is in place.
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

/// A model that the document drops, or that this engine holds in another version than callers are
/// to get.
fn unwanted_model(document: &Document, state: &EngineState, target: &Target) -> Option<ModelName> {
    if document.placed_models.is_empty() {
        return None;
    }
    let held = state.models.iter();
    let unwanted = held.filter(|(model, version)| {
        let placed = document.placed_models.get(*model);
        let old = placed.is_some_and(|rules| rules.version != **version);
        let dropped = !document.models.contains(model);
        !target.models.contains_key(*model) && (old || dropped)
    });
    unwanted.map(|(model, _)| model.clone()).next()
}
