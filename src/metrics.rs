//! OpenTelemetry metrics, and the HTTP endpoints for Prometheus and health checks.

use crate::error::{Error, Result};
use crate::http_server::status::StatusConnections;
use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_server::{Server, ServerHandle};
use actix_service::fn_service;
use opentelemetry::metrics::{Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A process's metrics and readiness.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    ready: Arc<AtomicBool>,
}

impl Metrics {
    /// Creates an empty set of metrics; the process is not ready yet.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .build()
            .map_err(|err| Error::Usage(format!("cannot create the metrics exporter: {err}")))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self {
            registry,
            provider,
            ready: Arc::new(AtomicBool::new(false)),
        })
    }

    /// Returns the meter, which creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("gatepier")
    }

    /// Sets whether the process accepts requests, which `/ready` reports to the load balancer.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Encodes all metrics in the Prometheus text format.
    fn encode_text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::error!("cannot encode metrics: {err}");
        }
        buf
    }

    fn respond(&self, path: &str) -> Response<BoxBody> {
        let (status, body) = match path {
            "/metrics" => (StatusCode::OK, self.encode_text()),
            "/live" => (StatusCode::OK, b"live\n".to_vec()),
            "/ready" if self.ready.load(Ordering::Relaxed) => (StatusCode::OK, b"ready\n".to_vec()),
            "/ready" => (StatusCode::SERVICE_UNAVAILABLE, b"not ready\n".to_vec()),
            _ => (StatusCode::NOT_FOUND, b"not found\n".to_vec()),
        };
        Response::build(status).body(body).map_into_boxed_body()
    }

    /// Starts a server for `/metrics`, `/ready` and `/live`.
    pub fn serve(&self, address: SocketAddr) -> Result<ServerHandle> {
        let metrics = self.clone();
        let server = Server::build()
            .workers(1)
            .disable_signals()
            .listen(
                "metrics",
                crate::daemon::listen_reuse_port(address)?,
                move || {
                    let metrics = metrics.clone();
                    let connections = Rc::<StatusConnections>::default();
                    fn_service(move |stream: TcpStream| {
                        let (metrics, connections) = (metrics.clone(), connections.clone());
                        async move {
                            let respond = move |path: &str| metrics.respond(path);
                            let served = connections.serve(stream, respond).await;
                            if let Err(err) = &served {
                                log::debug!("a connection to the metrics ended: {err}");
                            }
                            served
                        }
                    })
                },
            )
            .map_err(|err| Error::Unreachable(format!("cannot listen on {address}: {err}")))?
            .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(handle)
    }
}
