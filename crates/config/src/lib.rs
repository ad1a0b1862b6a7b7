//! Reads and checks the configuration and fills in defaults; no other package does so. Errors name
//! the key at fault.
//!
//! There are two sources: the platform's JSON with the settings of one deployment, and the
//! operators' TOML file with any number of fronts. The same parser turns both into the settings of
//! the decision module. The keys that operators write are a stable interface; [`settings`] maps
//! them to the terms of the code, and no other package uses them.
//!
//! | module | content |
//! | --- | --- |
//! | [`settings`] | parses settings text into the decision module's settings |
//! | [`error`] | errors in settings |
//! | [`names`] | names of classes, tenants, zones and machine kinds |
//! | [`site`] | the settings and names of one deployment |
//! | [`mod@flatten`] | converts nested JSON to settings text |
//! | [`platform`] | the platform's JSON |
//! | [`reader`] | reads TOML key by key and collects all faults with their lines |
//! | [`operators`] | the operators' file |
//! | [`peers`] | section `[peers]` of the operators' file |
//! | [`snmp`] | section `[snmp]` of the operators' file |

#![forbid(unsafe_code)]

pub mod error;
pub mod flatten;
pub mod names;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod reader;
pub mod settings;
pub mod site;
pub mod snmp;

pub use error::{KeyProblem, SettingsError};
pub use flatten::flatten;
pub use names::{Names, UnusableName, endpoint_id, validate_request_name};
pub use platform::{PlatformConfig, PlatformConfigError};
pub use site::Site;
