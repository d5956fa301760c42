//! Budgets for retries and hedges.
