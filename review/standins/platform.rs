//! What the platform gives a gateway: the JSON configuration, and the calls at its second address.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;

use crate::common::{Folder, Gateway, millis, wait_for};
use crate::pg;

/// A request class of the settings.
pub struct Class {
    pub name: &'static str,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: &'static str,
    /// `mutate`, `strong`, `causal`, `lag_bound` or `eventual`.
    pub need: &'static str,
    pub bound_ms: f64,
    pub aim_ms: f64,
    pub deadline_ms: f64,
    pub worth: f64,
    pub late_worth: f64,
}

/// The classes of the site vestera-pladsbooking.
pub fn vestera_classes() -> Vec<Class> {
    let class = |name, effect, need, bound_ms, aim_ms, deadline_ms, worth, late_worth| Class {
        name,
        effect,
        need,
        bound_ms,
        aim_ms,
        deadline_ms,
        worth,
        late_worth,
    };
    vec![
        class("pitch-check", "safe", "lag_bound", 300.0, 300.0, 1200.0, 2.0, 0.0),
        class("site-browse", "safe", "eventual", 0.0, 400.0, 1500.0, 1.0, 0.0),
        class("season-report", "safe", "eventual", 0.0, 6000.0, 12000.0, 4.0, 0.0),
        class("booking-write", "keyed", "mutate", 0.0, 600.0, 5000.0, 4.0, 0.3),
    ]
}

/// The settings that differ between the cases.
pub struct Site {
    pub classes: Vec<Class>,
    /// `off`, `bounce` or `await`.
    pub server_checks: &'static str,
    pub zone: &'static str,
}

impl Site {
    fn json(&self) -> String {
        let class = |c: &Class| {
            format!(
                "{{\"name\":\"{}\",\"effect\":\"{}\",\"group\":\"cell\",\"slo-ms\":{:?},\
                 \"deadline-ms\":{:?},\"late-worth\":{:?},\"stream\":false,\
                 \"window-ms\":5000.0,\"worth\":{:?}}}",
                c.name, c.effect, c.aim_ms, c.deadline_ms, c.late_worth, c.worth
            )
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        let needs: Vec<String> = self.classes.iter().map(|c| format!("\"{}\"", c.need)).collect();
        let bounds: Vec<String> = self.classes.iter().map(|c| format!("{:?}", c.bound_ms)).collect();
        format!(
            r#"{{"areas":["{zone}"],"skus":["std-4"],"classes":[{classes}],
"clients":{{"marks-retry":false}},"family":"replicas",
"family-info":{{"catch-up-wait-ms":20.0,"needs-by-class":[{needs}],"position-zero-ms":0.0,
 "report-x0":"position_in_seconds_after_zero","report-x1":"1_from_a_primary",
 "role-listed":"trailing","server-checks":"{checks}","staleness-bound-ms":[{bounds}],
 "stamps":false,"sync":false,"token-mode":"kept"}},
"fleet-size":3,
"limits":{{"cancel":true,"conn-idle-ms":15000.0,"connect-timeout-ms":250.0,
 "cpu-us-per-request":0.0,"cpu-us-per-s":100000,"max-attempts":6,"max-retry-after-ms":2000.0,
 "most-held":20000,"peers":false,"probing":true,"retry-after":false,"second-copies":false,
 "streams-per-conn":1}},
"membership-mode":"push","over-share-worth":0.2,
"rules":{{"answer-slack-ms":20.0,"ask-within-ms":10000.0,"cold-from":0.24,"cold-ms":17000.0,
 "drain-grace-ms":500.0,"tip-after-ms":2000.0,"tip-multiple":3.0}},
"self-index":0,
"telemetry":{{"fields":["x0","x1","util","inflight"],"source":"on_probe"}},
"tenants":[{{"name":"strandlejren","allowance-per-s":161.0,"share":1.0}}],
"tick-ms":5.0,"tier":0,"tiers":["booking-db"],"weights":"nominal","worth-by":"request","zone":0}}"#,
            zone = self.zone,
            classes = classes.join(","),
            needs = needs.join(","),
            checks = self.server_checks,
            bounds = bounds.join(",")
        )
    }
}

/// The addresses of one gateway, and the file that tells it of them.
pub struct Platform<'a> {
    pub folder: &'a Folder,
    pub listen: SocketAddr,
    pub site: Site,
    pub known: String,
    pub memory_mb: usize,
    pub descriptors: usize,
}

impl Platform<'_> {
    /// Writes the configuration with this address of discovery.
    pub fn write_config(&self, discovery: SocketAddr) {
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{discovery}\",\
             \"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
             \"known\":{},\"settings\":{}}}",
            self.listen,
            self.memory_mb,
            self.descriptors,
            self.known,
            self.site.json()
        );
        // Replaced at once, so that nobody reads half of it.
        let aside = self.folder.0.join("config.json.new");
        std::fs::write(&aside, text).expect("the configuration can be written");
        std::fs::rename(&aside, self.folder.0.join("config.json")).expect("and put in place");
    }

    /// Starts a process of the gateway. `second` is its address for operators.
    pub fn start(&self, discovery: SocketAddr, second: SocketAddr, log: &str) -> Gateway {
        let variables = [
            ("BALANCER_NAME", "n0".to_owned()),
            ("BALANCER_LISTEN", self.listen.to_string()),
            ("BALANCER_DISCOVERY", discovery.to_string()),
            ("BALANCER_CONFIG", self.folder.0.join("config.json").display().to_string()),
            ("BALANCER_MGMT", second.to_string()),
            ("TMPDIR", self.folder.0.display().to_string()),
        ];
        Gateway::start("", &variables, &self.folder.0.join(log))
    }

    /// Waits until the gateway has said yes and answers an empty query.
    pub fn wait_until_ready(&self, second: SocketAddr) -> bool {
        wait_for(millis(10_000), || says_yes(second) && pg::is_ready(self.listen))
    }
}

/// Whether a process answers `GET /admin/health` with a 2xx.
pub fn says_yes(second: SocketAddr) -> bool {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&second, millis(500))?;
        stream.set_read_timeout(Some(millis(1000)))?;
        stream.write_all(b"GET /admin/health HTTP/1.1\r\nHost: gateway\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    ask().is_ok_and(|text| text.starts_with("HTTP/1.1 2"))
}

/// Copies the gateway's logs to the record.
pub fn record_logs(record: &crate::common::Record, folder: &Path, names: &[&str]) {
    for name in names {
        let text = std::fs::read_to_string(folder.join(name)).unwrap_or_default();
        for line in text.lines().take(200) {
            record.line(format!("log of {name}: {line}"));
        }
    }
}
