//! Scratch.
use baobabreel_test_support::backend::WorkTime;
use baobabreel_test_support::mesh::{ChangeBuilder, Mesh, NodeSpec};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

async fn one(to: SocketAddr, path: String, n: usize, gap: Duration) -> Vec<u64> {
    let s = tokio::net::TcpStream::connect(to).await.unwrap();
    s.set_nodelay(true).unwrap();
    let (mut tx, conn) = http1::handshake::<_, Empty<Bytes>>(TokioIo::new(s))
        .await
        .unwrap();
    tokio::spawn(conn);
    let mut v = Vec::new();
    for _ in 0..n {
        let t = Instant::now();
        let req = Request::get(&path)
            .header("host", "x")
            .header("x-work-us", "0")
            .body(Empty::new())
            .unwrap();
        tx.ready().await.unwrap();
        let res = tx.send_request(req).await.unwrap();
        assert_eq!(res.status(), 200);
        res.into_body().collect().await.unwrap();
        v.push(t.elapsed().as_micros() as u64);
        tokio::time::sleep(gap).await;
    }
    v
}
fn main() {
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap();
    rt.block_on(async {
        let f = |b: baobabreel_test_support::backend::BackendSettings| {
            b.work_time(WorkTime::Fixed(Duration::ZERO)).slots(100)
        };
        let specs = vec![
            NodeSpec::new("a1", "a", "near").backend(f),
            NodeSpec::new("a2", "a", "far").backend(f),
        ];
        let mesh = Mesh::start(specs).await.unwrap();
        let off = mesh.publish(
            ChangeBuilder::new("x")
                .service("near")
                .service("far")
                .route("near", "/near", "near", true)
                .route("far", "/far", "far", true)
                .build(),
        );
        mesh.wait_ready(off, Duration::from_secs(30)).await.unwrap();
        let direct = mesh.nodes[0].backend.addr();
        let callers = mesh.callers()[0];
        for conns in [1usize, 4] {
            for (name, to, path) in [
                ("direct", direct, "/x"),
                ("1 hop", callers, "/near/x"),
                ("2 hops", callers, "/far/x"),
            ] {
                let tasks: Vec<_> = (0..conns)
                    .map(|_| {
                        tokio::spawn(one(to, path.to_owned(), 3000, Duration::from_micros(500)))
                    })
                    .collect();
                let mut all = Vec::new();
                for t in tasks {
                    all.extend(t.await.unwrap());
                }
                all.sort_unstable();
                let q = |p: f64| all[((all.len() as f64 * p) as usize).min(all.len() - 1)];
                println!(
                    "{conns} {name:8} p50 {} p90 {} p99 {} us",
                    q(0.5),
                    q(0.9),
                    q(0.99)
                );
            }
        }
    });
}
