//! Quantiles and straight lines through measured points.

use serde::Serialize;

/// `constant + slope * x`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Value at zero.
    pub constant: f64,
    /// Growth for each unit of `x`.
    pub slope: f64,
}

impl Line {
    /// Value at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.constant + self.slope * x
    }
}

/// Line of least squares; level through the mean when all `x` are equal.
#[must_use]
pub fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let across: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let along: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if along > 0.0 { across / along } else { 0.0 };
    Line { constant: mean_y - slope * mean_x, slope }
}

/// Value at or below which the share `q` (0 to 1) of the values lies.
#[must_use]
pub fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (q * sorted.len() as f64).ceil() as usize;
    let index = rank.saturating_sub(1);
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

/// `constant + members * m + connections * c`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Plane {
    /// Value without members and connections.
    pub constant: f64,
    /// Growth for each member.
    pub per_member: f64,
    /// Growth for each connection.
    pub per_connection: f64,
}

impl Plane {
    /// Value at a number of members and of connections.
    #[must_use]
    pub fn at(&self, members: f64, connections: f64) -> f64 {
        self.constant + self.per_member * members + self.per_connection * connections
    }
}

/// Plane of least squares through points `(members, connections, value)`; `None` when the points do
/// not determine one.
#[must_use]
pub fn fit_plane(points: &[(f64, f64, f64)]) -> Option<Plane> {
    let mut rows = [[0.0; 4]; 3];
    for (members, connections, value) in points {
        let terms = [1.0, *members, *connections];
        for (row, term) in rows.iter_mut().zip(terms) {
            for (cell, factor) in row.iter_mut().zip(terms.iter().chain([value])) {
                *cell += term * factor;
            }
        }
    }
    let [constant, per_member, per_connection] = solve(rows)?;
    Some(Plane { constant, per_member, per_connection })
}

/// Solves three linear equations, each with its right side in the last place.
fn solve(mut rows: [[f64; 4]; 3]) -> Option<[f64; 3]> {
    for column in 0..3 {
        let pivot = (column..3).max_by(|a, b| {
            let size = |row: usize| rows[row][column].abs();
            size(*a).total_cmp(&size(*b))
        })?;
        rows.swap(column, pivot);
        let leading = rows[column];
        if leading[column].abs() < 1e-9 {
            return None;
        }
        for (index, row) in rows.iter_mut().enumerate() {
            if index != column {
                let factor = row[column] / leading[column];
                for (cell, lead) in row.iter_mut().zip(leading) {
                    *cell -= factor * lead;
                }
            }
        }
    }
    Some([0, 1, 2].map(|i| rows[i][3] / rows[i][i]))
}
