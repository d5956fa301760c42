//! The decision logic alone at the target size: time for each call and memory of each state.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use baobabreel_core::admission::{Admission, Ticket};
use baobabreel_core::balance::{Balancer, Endpoint};
use baobabreel_core::config::{Class, CompiledConfig, ConfigState};
use baobabreel_core::membership::{Action, Event, Member, MemberState, Probe, Swim, SwimSettings};
use baobabreel_core::registry::{MemberEntry, Registry};
use baobabreel_daemon::context::MeshView;
use baobabreel_test_support::mesh::{ChangeBuilder, entry_text};
use eyre::{Result, ensure};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::process::resident_bytes;
use crate::table::{format, row};

/// Members at the target size.
const MEMBERS: usize = 960;

/// Services at the target size.
const SERVICES: usize = 43;

/// Data centres at the target size.
const DATA_CENTRES: usize = 11;

/// Records of the configuration.
const RECORDS: usize = 2_000;

/// Records in one change set of the first fill.
const RECORDS_PER_CHANGE: usize = 40;

/// Copies of a state whose memory is measured together.
const COPIES: usize = 16;

/// Time between two ticks of the daemon.
const TICK: Duration = Duration::from_millis(200);

/// One figure.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    /// What was called or built.
    pub what: &'static str,
    /// Time for each call in nanoseconds.
    pub nanos: f64,
    /// Memory of one state in bytes, where it was measured.
    pub bytes: Option<f64>,
}

fn timed(what: &'static str, rounds: u32, mut call: impl FnMut(u32)) -> Figure {
    let begin = Instant::now();
    for round in 0..rounds {
        call(round);
    }
    let nanos = begin.elapsed().as_secs_f64() * 1e9 / f64::from(rounds);
    Figure { what, nanos, bytes: None }
}

fn built<T>(what: &'static str, build: impl Fn() -> T) -> Figure {
    // The first copy pays for what the allocator keeps.
    drop(black_box(build()));
    let before = resident_bytes();
    let begin = Instant::now();
    let copies: Vec<T> = (0..COPIES).map(|_| build()).collect();
    let nanos = begin.elapsed().as_secs_f64() * 1e9 / COPIES as f64;
    let bytes = resident_bytes().saturating_sub(before) as f64 / COPIES as f64;
    drop(black_box(copies));
    Figure { what, nanos, bytes: Some(bytes) }
}

fn member(index: usize) -> Member {
    let port = 1_024 + u16::try_from(index).unwrap_or(0);
    Member {
        id: format!("worker-{index:03}"),
        incarnation: 1,
        sequence: 1,
        data_centre: format!("dc-{:02}", index % DATA_CENTRES),
        service: Some(format!("service-{:02}", index % SERVICES)),
        peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        state: MemberState::Ready,
        slots: 10,
        release: None,
    }
}

fn swim() -> Swim {
    let mut swim = Swim::new(member(0), SwimSettings::new());
    swim.tick(Duration::ZERO, 1);
    for index in 1..MEMBERS {
        swim.handle(Event::MemberDiscovered(member(index)), Duration::ZERO, 1);
    }
    swim
}

fn membership(rng: &mut SmallRng) -> Vec<Figure> {
    let mut figures = vec![built("swim: table of 960 members", swim)];
    let mut state = swim();
    let mut now = Duration::ZERO;
    figures.push(timed("swim: tick (5 a second)", 5_000, |_| {
        now += TICK;
        let actions = state.tick(now, rng.random());
        for action in &actions {
            // All probes succeed, as in a healthy mesh.
            if let Action::SendProbe { probe, .. } = action {
                let ack = Probe {
                    number: probe.number,
                    from: member(1),
                    digest: probe.digest,
                    updates: Vec::new(),
                };
                black_box(state.handle(Event::Ack(ack), now, 1));
            }
        }
    }));
    figures.push(timed("daemon: new view after a change of a member", 200, |_| {
        let members = state.members();
        black_box((MeshView::new(members.iter()), members.clone()));
    }));
    let digest = 7;
    figures.push(timed("swim: probe received, with 16 updates", 5_000, |round| {
        now += Duration::from_millis(50);
        let updates = (0..16)
            .map(|i| Member {
                sequence: u64::from(round) + 2,
                ..member(2 + (i + round as usize * 16) % 900)
            })
            .collect();
        let probe = Probe { number: u64::from(round), from: member(1), digest, updates };
        black_box(state.handle(Event::Probe(probe), now, rng.random()));
    }));
    figures
}

fn changes() -> Vec<String> {
    let mut changes = Vec::new();
    let mut change = ChangeBuilder::new("services");
    for index in 0..SERVICES {
        change = change.service(&format!("service-{index:02}"));
    }
    changes.push(entry_text(change.build()));
    let routes: Vec<usize> = (0..RECORDS - SERVICES).collect();
    for (number, chunk) in routes.chunks(RECORDS_PER_CHANGE).enumerate() {
        let mut change = ChangeBuilder::new(format!("routes-{number}"));
        for index in chunk {
            let service = format!("service-{:02}", index % SERVICES);
            let (name, prefix) = (format!("route-{index}"), format!("/{index}/lots"));
            change = change.class_route(&name, &prefix, &service, "lookup");
        }
        changes.push(entry_text(change.build()));
    }
    changes
}

fn filled(changes: &[String]) -> ConfigState {
    let mut state = ConfigState::new(1);
    for (offset, change) in (1..).zip(changes) {
        drop(black_box(state.fold(offset, change)));
    }
    state
}

fn config() -> Result<Vec<Figure>> {
    let changes = changes();
    let mut figures = vec![built("config: state of 2,000 records", || filled(&changes))];
    let mut state = filled(&changes);
    ensure!(state.records().len() == RECORDS, "the fold has {} records", state.records().len());
    let mut offset = state.version().offset;
    let texts: Vec<String> = (0..200)
        .map(|number| {
            let name = format!("extra-{number}");
            let change = ChangeBuilder::new(&name);
            entry_text(
                change
                    .class_route(&name, &format!("/extra/{number}"), "service-00", "lookup")
                    .build(),
            )
        })
        .collect();
    figures.push(timed("config: fold of a change of 1 record", 200, |round| {
        offset += 1;
        drop(black_box(state.fold(offset, &texts[round as usize])));
    }));
    let view = || CompiledConfig::new(&state, 2);
    figures.push(built("config: compiled view", view));
    figures.push(timed("config: digest of the state", 20, |_| {
        black_box(state.snapshot().digest());
    }));
    Ok(figures)
}

fn registry() -> Figure {
    let mut registry = Registry::new();
    for index in 0..MEMBERS {
        let member = member(index);
        let join = MemberEntry::Join {
            id: member.id,
            incarnation: 1,
            data_centre: member.data_centre,
            service: member.service.unwrap_or_default(),
            peer_addr: member.peer_addr,
        };
        let text = serde_json::to_string(&join).unwrap_or_default();
        let offset = index as u64 + 1;
        let _ = black_box(registry.fold(1, offset, &text, Duration::ZERO));
    }
    timed("registry: owner of a key among 22", 50_000, |round| {
        black_box(registry.owner("service-07", &format!("key-{round}")));
    })
}

fn balance(rng: &mut SmallRng) -> Figure {
    let mut balancer = Balancer::builder().data_centre("dc-00").build();
    let endpoint = |index: usize| Endpoint {
        name: format!("worker-{index}"),
        data_centre: format!("dc-{:02}", index % DATA_CENTRES),
        slots: 10,
        enabled: true,
    };
    let endpoints: Vec<Endpoint> = (0..MEMBERS / SERVICES).map(endpoint).collect();
    balancer.update(&endpoints, Duration::ZERO);
    let mut now = Duration::from_secs(10);
    timed("balance: choice and answer, 22 endpoints", 200_000, |_| {
        now += Duration::from_micros(100);
        if let Some(name) = balancer.choose(now, rng.random(), &[]) {
            balancer.dispatched(&name, now);
            balancer.answered(&name, now, Duration::from_millis(1), None);
        }
    })
}

fn admission() -> Figure {
    let mut admission = Admission::builder().slots(10).build();
    let mut now = Duration::from_secs(1);
    timed("admission: offer and finish", 200_000, |round| {
        now += Duration::from_micros(100);
        let ticket = Ticket {
            id: u64::from(round),
            class: Class::Check,
            route: "route-7",
            deadline: now + Duration::from_secs(1),
            target: None,
            tenant: None,
            nested: false,
        };
        drop(black_box(admission.offer(ticket, now)));
        drop(black_box(admission.finish(u64::from(round), now)));
    })
}

/// Measures all states.
///
/// # Errors
///
/// The configuration was not accepted as written.
pub fn run(seed: u64) -> Result<Vec<Figure>> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut figures = membership(&mut rng);
    figures.extend(config()?);
    figures.extend([registry(), balance(&mut rng), admission()]);
    Ok(figures)
}

/// Table of the figures.
#[must_use]
pub fn table(figures: &[Figure]) -> String {
    let mut rows = vec![row(["PURE CODE AT 960 MEMBERS", "NS A CALL", "KB"])];
    for figure in figures {
        let bytes = figure.bytes.map_or("-".to_owned(), |bytes| format!("{:.0}", bytes / 1024.0));
        rows.push(vec![figure.what.to_owned(), format!("{:.0}", figure.nanos), bytes]);
    }
    format(&rows)
}
