//! The platform's endpoint of duties.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use crate::http;
use crate::json::Json;

/// An accepted report.
#[derive(Debug, Clone)]
pub struct Report {
    pub holder: String,
    pub fencing: String,
    pub window: u64,
    pub counts: BTreeMap<String, u64>,
}

/// An endpoint at a free loopback address.
pub struct Cloud {
    pub address: SocketAddr,
    reports: Arc<Mutex<Vec<Report>>>,
}

impl Cloud {
    pub fn start() -> Self {
        let reports = Arc::<Mutex<Vec<Report>>>::default();
        let kept = reports.clone();
        let address = http::serve(move |request, stream| {
            let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
                return http::respond(stream, "400 Bad Request", "", "");
            };
            let counts = match body.get("counts") {
                Some(Json::Table(counts)) => counts.iter().map(|it| (it.0.clone(), it.1.number())).collect(),
                _ => BTreeMap::new(),
            };
            kept.lock().unwrap().push(Report {
                holder: request.header("duty-holder").unwrap_or_default().to_owned(),
                fencing: request.header("fencing-token").unwrap_or_default().to_owned(),
                window: body.get("window").map_or(0, Json::number),
                counts,
            });
            http::respond(stream, "200 OK", "", "{}")
        });
        Self { address, reports }
    }

    /// Returns the reports so far, exact repeats included.
    pub fn reports(&self) -> Vec<Report> {
        self.reports.lock().unwrap().clone()
    }
}
