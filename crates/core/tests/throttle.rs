//! Limit on work whose calls to other services fail.

use std::time::Duration;

use baobabreel_core::throttle::Throttle;

/// Requests in a step of 10 ms.
const OFFERED: u64 = 20;

/// Nested calls that the called service can take in a step.
const CAPACITY: u64 = 10;

/// What became of the requests of one run.
#[derive(Debug, Default)]
struct Run {
    begun: u64,
    wasted: u64,
    used: u64,
}

/// Drives requests with one nested call each for `steps` of 10 ms; `capacity` tells how many calls the
/// called service takes in a step.
fn drive(throttle: &mut Throttle, from: u64, steps: u64, capacity: u64) -> Run {
    let mut run = Run::default();
    let mut bits = 0x9e37_79b9_7f4a_7c15_u64;
    for step in from..from + steps {
        let now = Duration::from_millis(step * 10);
        let mut left = capacity;
        for _ in 0..OFFERED {
            bits = bits.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
            if !throttle.admits(now, bits) {
                continue;
            }
            run.begun += 1;
            let refused = left == 0;
            left -= u64::from(!refused);
            run.wasted += u64::from(refused);
            throttle.observe(refused, now);
        }
        run.used += capacity - left;
    }
    run
}

/// Guards against work that is begun and wasted at twice the load that the called service can take,
/// and against a limit that leaves the called service idle.
#[test]
fn overload_of_a_called_service_wastes_little_work() {
    let mut throttle = Throttle::default();
    drive(&mut throttle, 0, 300, CAPACITY);
    let run = drive(&mut throttle, 300, 1_000, CAPACITY);
    assert!(run.wasted * 8 < run.begun, "{run:?}");
    assert!(run.used * 10 > CAPACITY * 1_000 * 8, "{run:?}");
}

/// Guards against a limit that stays after the overload has ended, and against one without overload.
#[test]
fn limit_ends_with_the_overload() {
    let mut throttle = Throttle::default();
    drive(&mut throttle, 0, 300, OFFERED);
    assert!((throttle.admitted() - 1.0).abs() < f64::EPSILON);
    drive(&mut throttle, 300, 300, CAPACITY);
    assert!(throttle.admitted() < 0.9, "{}", throttle.admitted());
    drive(&mut throttle, 600, 400, OFFERED);
    assert!((throttle.admitted() - 1.0).abs() < f64::EPSILON, "{}", throttle.admitted());
}

/// Guards against a limit so low that nothing shows when the called service has room again.
#[test]
fn some_requests_always_begin() {
    let mut throttle = Throttle::default();
    let run = drive(&mut throttle, 0, 2_000, 0);
    assert!(run.begun > 2_000 * OFFERED / 10, "{run:?}");
}
