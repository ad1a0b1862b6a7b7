//! Discovery of endpoints.

pub mod configured;
pub mod http;
pub mod poller;
pub mod watch;
