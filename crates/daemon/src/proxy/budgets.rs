//! Retry budgets, for each daemon or for the mesh as a whole.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use baobabreel_core::id::ServiceName;
use baobabreel_core::retry::RetryBudget;

use crate::settings::{RetryBurst, RetrySettings};
use crate::sync::lock;

/// What a token of a budget is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetUse {
    /// A further attempt after one that failed.
    Retry,
    /// A second copy of a request whose response is late.
    Hedge,
}

/// This daemon's parts of the mesh-wide budgets, one for each service.
#[derive(Debug)]
struct MeshBudgets {
    burst: u32,
    members: usize,
    services: HashMap<ServiceName, RetryBudget>,
}

/// Budgets that the routes share.
#[derive(Debug)]
enum SharedBudgets {
    /// One budget for the daemon, in addition to those of its routes.
    Daemon(Mutex<RetryBudget>),
    /// Parts of the mesh-wide budgets of the services.
    Mesh(Mutex<MeshBudgets>),
}

/// Retry budgets of one daemon.
#[derive(Debug)]
pub struct RetryBudgets {
    settings: RetrySettings,
    shared: SharedBudgets,
}

impl RetryBudgets {
    /// Creates the budgets of a daemon that knows no other one.
    pub fn new(settings: RetrySettings) -> Self {
        let shared = match settings.burst {
            RetryBurst::Daemon(burst) => {
                SharedBudgets::Daemon(Mutex::new(RetryBudget::new(settings.share, burst)))
            }
            RetryBurst::Mesh(burst) => {
                let services = HashMap::new();
                SharedBudgets::Mesh(Mutex::new(MeshBudgets { burst, members: 1, services }))
            }
        };
        Self { settings, shared }
    }

    /// Creates the budget of a route.
    pub fn route_budget(&self) -> RetryBudget {
        match self.settings.burst {
            RetryBurst::Daemon(burst) => RetryBudget::new(self.settings.share, burst),
            // Only the budget of the service applies.
            RetryBurst::Mesh(_) => RetryBudget::default(),
        }
    }

    /// Divides the mesh-wide budgets among `members` daemons. Members that seem to be gone count too,
    /// since they may be on the other side of a partition and spend their own parts.
    pub fn set_members(&self, members: usize) {
        let SharedBudgets::Mesh(mesh) = &self.shared else { return };
        let mut mesh = lock(mesh);
        if mesh.members == members {
            return;
        }
        mesh.members = members;
        let burst = mesh.burst;
        for budget in mesh.services.values_mut() {
            budget.set_members(burst, members);
        }
    }

    /// Counts a request, which raises the budgets.
    pub fn on_request(&self, route: &Mutex<RetryBudget>, service: &str, now: Duration) {
        match &self.shared {
            SharedBudgets::Daemon(daemon) => {
                lock(route).on_request(now);
                lock(daemon).on_request(now);
            }
            SharedBudgets::Mesh(mesh) => {
                let mut mesh = lock(mesh);
                if let Some(budget) = mesh.services.get_mut(service) {
                    budget.on_request(now);
                    return;
                }
                let (burst, members) = (mesh.burst, mesh.members);
                let mut budget = RetryBudget::part_of_mesh(self.settings.share, burst, members);
                budget.on_request(now);
                mesh.services.insert(service.to_owned(), budget);
            }
        }
    }

    /// Whether no budget is used up.
    pub fn can_retry(&self, route: &Mutex<RetryBudget>, service: &str, now: Duration) -> bool {
        let has_token = |budget: &mut RetryBudget| budget.has_token(now);
        match &self.shared {
            SharedBudgets::Daemon(daemon) => {
                has_token(&mut lock(route)) && has_token(&mut lock(daemon))
            }
            SharedBudgets::Mesh(mesh) => {
                lock(mesh).services.get_mut(service).is_some_and(has_token)
            }
        }
    }

    /// Takes one retry or hedge; false if a budget is used up.
    pub fn try_spend(
        &self,
        route: &Mutex<RetryBudget>,
        service: &str,
        use_for: BudgetUse,
        now: Duration,
    ) -> bool {
        let take = |budget: &mut RetryBudget| match use_for {
            BudgetUse::Retry => budget.try_take(now),
            BudgetUse::Hedge => budget.try_take_for_hedge(now),
        };
        match &self.shared {
            SharedBudgets::Daemon(daemon) => take(&mut lock(route)) && take(&mut lock(daemon)),
            SharedBudgets::Mesh(mesh) => lock(mesh).services.get_mut(service).is_some_and(take),
        }
    }
}
