//! Type aliases for identifiers.

/// Name of a backend server; equal to the id of its host daemon, which runs beside it.
pub type BackendServerName = String;
/// Identifier that the author of a change set chooses; a repeated id means the same change.
pub type ChangeId = String;
/// Name of a data centre.
pub type DataCentre = String;
/// Identifier of a daemon, unique in the mesh.
pub type DaemonId = String;
/// Start time of a daemon in milliseconds since the Unix epoch; higher after each restart.
pub type Incarnation = u64;
/// Identifier that a backend server gives to itself.
pub type InstanceId = String;
/// Position of an entry in a stream of the log.
pub type Offset = u64;
/// Release of a backend server.
pub type Release = String;
/// Name of a route record.
pub type RouteName = String;
/// Version of the schema of a form.
pub type SchemaVersion = u32;
/// Name of a service.
pub type ServiceName = String;
/// Name of a tenant.
pub type TenantName = String;
