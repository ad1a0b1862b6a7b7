//! The one place where configuration is read, checked and given defaults. Errors name the key at
//! fault.
//!
//! There are two sources: the platform's JSON with the settings of one deployment, and the
//! operators' TOML file with any number of fronts. Both end in the decision module's settings,
//! through the same parser. Keys that operators type keep their names; [`settings`] maps them to
//! the terms of the code, and no other package knows them.
//!
//! | module | job |
//! | --- | --- |
//! | [`settings`] | settings text to the decision module's settings |
//! | [`error`] | what can be wrong with settings |
//! | [`names`] | names of classes, tenants, zones and machine kinds |
//! | [`site`] | the settings and names of one deployment |
//! | [`mod@flatten`] | nested JSON to settings text |
//! | [`platform`] | the platform's JSON |
//! | [`reader`] | reads TOML key by key and keeps every fault with its line |
//! | [`operators`] | the operators' file |
//! | [`peers`] | its section `[peers]` |
//! | [`snmp`] | its section `[snmp]` |

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
