//! Reads the settings file of a process.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;

use quick_error::quick_error;

use crate::fields::Fields;
use crate::json::{as_text, parse, JsonError, Location};
use crate::settings_bounds::Bounds;

quick_error! {
    /// Why the settings cannot be used.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// The file is not valid JSON, or a value in it is missing or has the wrong type.
        Json(error: JsonError) {
            from()
            display("the settings file cannot be read: {error}")
        }
        /// A text is not a valid address.
        BadAddress(location: Location, field: &'static str, text: String) {
            display("{field} of {location} is {text}, which is not an address: give an IPv4 address, with a port unless the field is Ip")
        }
        /// `PortRange` is not a pair of ports in ascending order.
        BadPortRange {
            display("PortRange must be two ports, the first not above the second: correct it in the settings file")
        }
        /// `Commands` has an unknown value.
        UnknownOrderDelivery(value: String) {
            display("Commands is {value}: give rpc or heartbeat")
        }
    }
}

/// Addresses at which a process listens for callers from outside the system.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For clients (the setting `Front`).
    pub clients: Option<SocketAddrV4>,
    /// For the platform's readiness checks.
    pub readiness: Option<SocketAddrV4>,
    /// For the operator's API.
    pub control: Option<SocketAddrV4>,
}

/// Resources that the machine grants the process; 0 for a value that is not given.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ProcessLimits {
    /// Share of a processor core.
    pub cpu_share: f64,
    /// Speed of that core as a multiple of the usual speed.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub max_file_descriptors: u64,
    /// Network bandwidth in megabits per second.
    pub bandwidth_mbps: f64,
    /// Disk space in megabytes.
    pub disk_mb: u64,
}

/// How many failures the system must tolerate at the same time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Number of lost machines that count for the quorum.
    pub machines: u32,
    /// Number of lost zones.
    pub zones: u32,
    /// Number of lost regions.
    pub regions: u32,
}

/// How orders are delivered to workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OrderDelivery {
    /// By calls to the workers.
    #[default]
    Calls,
    /// In the answers to the workers' heartbeats.
    Heartbeats,
}

/// Access to the platform's API.
#[derive(Debug, Clone, PartialEq)]
pub struct CloudApi {
    /// Address of the API.
    pub address: SocketAddrV4,
    /// Rate limit for all machines together, in calls per second; 0 if not given.
    pub rate_per_s: f64,
    /// The setting `Duties`, as given.
    pub duties: Vec<String>,
    /// How far its list of instances lags behind, in milliseconds.
    pub lag_ms: u64,
}

/// The settings of a process. Optional settings that are not given are empty, 0 or `None`.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessSettings {
    /// Identifier of the process.
    pub node_id: String,
    /// The setting `Role`, as given.
    pub role: String,
    /// Class of the machine that the process runs on.
    pub machine_class: String,
    /// Groups of outside callers that the process serves: `edge`, `control_plane`.
    pub serves: Vec<String>,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine.
    pub region: String,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Listening addresses for callers from outside the system.
    pub listen: ListenAddresses,
    /// Ports reserved for messages between processes.
    pub port_range: RangeInclusive<u16>,
    /// `Control` addresses of some core machines. The list may be outdated.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// True only on the first start of the whole system.
    pub bootstrap: bool,
    /// Whether the machine counts for the quorum.
    pub counts_for_quorum: bool,
    /// Resources that the machine grants the process.
    pub limits: ProcessLimits,
    /// Folder for the data; none if the machine has no disk.
    pub data_directory: Option<PathBuf>,
    /// The setting `Discovery`, as given.
    pub discovery: String,
    /// The setting `Entry`, as given.
    pub entry: String,
    /// Interval of heartbeats in milliseconds; 0 if not given.
    pub heartbeat_ms: u64,
    /// Names of the groups of rules that are in force.
    pub invariants: Vec<String>,
    /// Failures that the system must tolerate at the same time.
    pub fault_tolerance: FaultTolerance,
    /// Numeric limits of the rules.
    pub bounds: Bounds,
    /// How orders are delivered to workers.
    pub order_delivery: OrderDelivery,
    /// The platform's interface, if there is one.
    pub cloud_api: Option<CloudApi>,
}

impl ProcessSettings {
    /// Parses the text of a settings file. `NodeId`, `Ip` and `PortRange` are required.
    ///
    /// # Errors
    ///
    /// If the text is not valid JSON, a required field is missing, or an address, a port range or `Commands`
    /// is invalid.
    pub fn read(text: &str) -> Result<Self, SettingsError> {
        let document = parse(text)?;
        let fields = Fields::of(&document, Location::DOCUMENT)?;
        let data_directory = fields.text("DataDir")?.filter(|path| !path.is_empty());
        Ok(ProcessSettings {
            node_id: fields.required_text("NodeId")?,
            role: fields.text_or_empty("Role")?,
            machine_class: fields.text_or_empty("MachineClass")?,
            serves: fields.texts("Serves")?,
            ip: address(&fields, "Ip")?.ok_or_else(|| fields.missing("Ip"))?,
            zone: fields.text_or_empty("Zone")?,
            region: fields.text_or_empty("Region")?,
            zones: read_zones(&fields)?,
            listen: read_listen_addresses(&fields)?,
            port_range: read_port_range(&fields)?,
            seed_nodes: read_seed_nodes(&fields)?,
            bootstrap: fields.flag("Bootstrap")?,
            counts_for_quorum: fields.flag("CountsForQuorum")?,
            limits: read_limits(&fields)?,
            data_directory: data_directory.map(PathBuf::from),
            discovery: fields.text_or_empty("Discovery")?,
            entry: fields.text_or_empty("Entry")?,
            heartbeat_ms: fields.rounded_down("HeartbeatMs")?.unwrap_or(0),
            invariants: fields.texts("Invariants")?,
            fault_tolerance: read_fault_tolerance(&fields)?,
            bounds: Bounds::read(fields.section("Bounds")?)?,
            order_delivery: read_order_delivery(&fields)?,
            cloud_api: read_cloud_api(&fields)?,
        })
    }
}

/// Reads an address; none if the field is missing or empty.
fn address<T: FromStr>(fields: &Fields<'_>, field: &'static str) -> Result<Option<T>, SettingsError> {
    let Some(text) = fields.text(field)?.filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    parse_address(fields.location(), field, text).map(Some)
}

fn parse_address<T: FromStr>(
    location: Location,
    field: &'static str,
    text: &str,
) -> Result<T, SettingsError> {
    text.parse().map_err(|_| SettingsError::BadAddress(location, field, text.to_owned()))
}

fn read_zones(fields: &Fields<'_>) -> Result<BTreeMap<String, String>, SettingsError> {
    let Some(section) = fields.section("Zones")? else {
        return Ok(BTreeMap::new());
    };
    let mut zones = BTreeMap::new();
    for (zone, region) in section.iter() {
        let region = as_text(region).unwrap_or_default();
        zones.insert(zone.to_owned(), region.to_owned());
    }
    Ok(zones)
}

fn read_listen_addresses(fields: &Fields<'_>) -> Result<ListenAddresses, SettingsError> {
    let Some(section) = fields.section("ListenAddrs")? else {
        return Ok(ListenAddresses::default());
    };
    Ok(ListenAddresses {
        clients: address(&section, "Front")?,
        readiness: address(&section, "Readiness")?,
        control: address(&section, "Control")?,
    })
}

fn read_port_range(fields: &Fields<'_>) -> Result<RangeInclusive<u16>, SettingsError> {
    const FIELD: &str = "PortRange";
    let list = fields.required_list(FIELD)?;
    let ports: Option<Vec<u16>> = list.iter().map(as_port).collect();
    match ports.as_deref() {
        Some([first, last]) if first <= last => Ok(*first..=*last),
        _ => Err(SettingsError::BadPortRange),
    }
}

fn as_port(value: &tinyjson::JsonValue) -> Option<u16> {
    u16::try_from(crate::json::as_integer(value)?).ok()
}

fn read_seed_nodes(fields: &Fields<'_>) -> Result<Vec<SocketAddrV4>, SettingsError> {
    const FIELD: &str = "SeedNodes";
    let texts = fields.texts(FIELD)?;
    texts.iter().map(|text| parse_address(fields.location(), FIELD, text)).collect()
}

fn read_limits(fields: &Fields<'_>) -> Result<ProcessLimits, SettingsError> {
    let Some(section) = fields.section("Limits")? else {
        return Ok(ProcessLimits::default());
    };
    Ok(ProcessLimits {
        cpu_share: section.number("CpuShare")?.unwrap_or(0.0),
        cores: section.number("Cores")?.unwrap_or(0.0),
        memory_mb: section.rounded_down("MemoryMb")?.unwrap_or(0),
        max_file_descriptors: section.rounded_down("MaxFds")?.unwrap_or(0),
        bandwidth_mbps: section.number("BandwidthMbps")?.unwrap_or(0.0),
        disk_mb: section.rounded_down("DiskMb")?.unwrap_or(0),
    })
}

fn read_fault_tolerance(fields: &Fields<'_>) -> Result<FaultTolerance, SettingsError> {
    let Some(section) = fields.section("FaultTolerance")? else {
        return Ok(FaultTolerance::default());
    };
    Ok(FaultTolerance {
        machines: section.small_integer("Machines")?.unwrap_or(0),
        zones: section.small_integer("Zones")?.unwrap_or(0),
        regions: section.small_integer("Regions")?.unwrap_or(0),
    })
}

fn read_order_delivery(fields: &Fields<'_>) -> Result<OrderDelivery, SettingsError> {
    match fields.text("Commands")? {
        None | Some("" | "rpc") => Ok(OrderDelivery::Calls),
        Some("heartbeat") => Ok(OrderDelivery::Heartbeats),
        Some(value) => Err(SettingsError::UnknownOrderDelivery(value.to_owned())),
    }
}

/// Reads the section `CloudApi`; none if the section or its address is missing or empty.
fn read_cloud_api(fields: &Fields<'_>) -> Result<Option<CloudApi>, SettingsError> {
    let Some(section) = fields.section("CloudApi")? else {
        return Ok(None);
    };
    let Some(address) = address(&section, "Address")? else {
        return Ok(None);
    };
    Ok(Some(CloudApi {
        address,
        rate_per_s: section.number("RatePerS")?.unwrap_or(0.0),
        duties: section.texts("Duties")?,
        lag_ms: section.rounded_down("LagMs")?.unwrap_or(0),
    }))
}
