//! Fits and quantiles, on which the extrapolated figures rest.

use baobabreel_bench::fit::{fit, fit_plane, quantile};

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-6
}

/// Guards against a slope that is charged to the wrong variable.
#[test]
fn a_plane_is_found_again_from_its_points() {
    let value = |members: f64, connections: f64| 706.0 + 5.5 * members + 134.0 * connections;
    let points: Vec<(f64, f64, f64)> = [(8.0, 5.0), (8.0, 7.0), (64.0, 25.0), (64.0, 63.0)]
        .map(|(members, connections)| (members, connections, value(members, connections)))
        .to_vec();
    let plane = fit_plane(&points).expect("four points determine a plane");
    assert!(near(plane.constant, 706.0), "{plane:?}");
    assert!(near(plane.per_member, 5.5), "{plane:?}");
    assert!(near(plane.per_connection, 134.0), "{plane:?}");
    assert!(near(plane.at(960.0, 959.0), value(960.0, 959.0)));
}

/// Guards against figures made up from too few sizes.
#[test]
fn points_on_one_line_determine_no_plane() {
    assert_eq!(fit_plane(&[(8.0, 8.0, 1.0), (16.0, 16.0, 2.0), (32.0, 32.0, 4.0)]), None);
}

/// Guards against a fit that is not the least squares.
#[test]
fn a_line_passes_between_its_points() {
    let line = fit(&[(0.0, 1.0), (1.0, 2.0), (2.0, 6.0)]);
    assert!(near(line.slope, 2.5) && near(line.constant, 0.5), "{line:?}");
}

/// Guards against a quantile that is off by one rank.
#[test]
fn quantiles_are_values_of_the_sample() {
    let values: Vec<f64> = (1..=100).map(f64::from).collect();
    assert_eq!([0.0, 0.5, 0.99, 1.0].map(|q| quantile(&values, q)), [1.0, 50.0, 99.0, 100.0]);
}
