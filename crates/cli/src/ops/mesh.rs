//! States of all live daemons, collected through the daemons whose addresses are given.

use std::collections::BTreeMap;

use baobabreel_client::wire::{MemberDoc, StatusDoc};
use baobabreel_core::config::Version;
use baobabreel_core::id::{DaemonId, DataCentre};
use baobabreel_core::membership::MemberState;
use eyre::{Result, eyre};

use crate::context::{Context, Daemon};
use crate::report::{Exit, Failure, WithExit};

/// State of one daemon, or its member entry if the daemon cannot be reached.
pub(super) type DaemonReport = Result<StatusDoc, MemberDoc>;

/// Reports on the daemons that have not left and are not dead.
#[derive(Debug, Default)]
pub(super) struct Mesh(pub(super) BTreeMap<DaemonId, DaemonReport>);

/// Text about one daemon, for messages; ordered by data centre.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DaemonDescription {
    pub(super) data_centre: DataCentre,
    pub(super) text: String,
}

impl Mesh {
    /// Queries every given daemon, since one may reach members that another cannot.
    ///
    /// Fails only if none of them answers.
    pub(super) async fn query<L, D: Daemon>(cx: &Context<L, D>) -> Result<Self> {
        let mut mesh = Self::default();
        let mut last_error = eyre!("`--daemon URL` is required");
        let mut any_reached = false;
        for daemon in &cx.daemons {
            match fetch_reports(daemon).await {
                Ok(states) => {
                    any_reached = true;
                    states.into_iter().for_each(|report| mesh.merge(report));
                }
                Err(e) => last_error = e,
            }
        }
        if any_reached { Ok(mesh) } else { Err(last_error) }
    }

    /// Adds a report unless the daemon has left, is dead or has a better report already.
    ///
    /// A state is better than a member entry, and of two states the one with the newer version.
    fn merge(&mut self, report: DaemonReport) {
        let (id, state) = match &report {
            Ok(status) => (status.daemon.clone(), status.state),
            Err(member) => (member.id.clone(), member.state),
        };
        if matches!(state, MemberState::Left | MemberState::Dead) {
            return;
        }
        let replaces = match (self.0.get(&id), &report) {
            (None, _) | (Some(Err(_)), Ok(_)) => true,
            (Some(Ok(old)), Ok(new)) => old.version < new.version,
            (Some(_), Err(_)) => false,
        };
        if replaces {
            self.0.insert(id, report);
        }
    }

    /// Returns the states of the daemons that answered.
    pub(super) fn answered(&self) -> impl Iterator<Item = &StatusDoc> {
        self.0.values().filter_map(|report| report.as_ref().ok())
    }

    /// Returns the names of all data centres, sorted.
    pub(super) fn data_centres(&self) -> Vec<DataCentre> {
        let mut names: Vec<DataCentre> = self.0.values().map(data_centre).collect();
        names.sort();
        names.dedup();
        names
    }

    /// Returns how many daemons of a data centre have reached a version, and how many there are.
    pub(super) fn count_at_version(
        &self,
        data_centre_name: &str,
        version: Version,
    ) -> (usize, usize) {
        let in_data_centre =
            self.0.values().filter(|report| data_centre(report) == data_centre_name);
        let is_at_version =
            |report: &&DaemonReport| report.as_ref().is_ok_and(|s| s.version >= version);
        (in_data_centre.clone().filter(is_at_version).count(), in_data_centre.count())
    }

    /// Returns the daemons that follow the log but have not reached a version yet.
    pub(super) fn lagging(&self, version: Version) -> Vec<DaemonDescription> {
        let outdated = self.answered().filter(|s| s.version < version && s.held.is_none());
        sorted(
            outdated.map(|s| {
                daemon_description(&s.data_centre, &s.daemon, &format!(" at {}", s.version))
            }),
        )
    }

    /// Returns the daemons that stopped applying entries before a version, with the reason.
    pub(super) fn held(&self, version: Version) -> Vec<DaemonDescription> {
        let outdated = self.answered().filter(|s| s.version < version);
        let held = outdated.filter_map(|s| {
            let details = format!(" at {}: {}", s.version, s.held.as_ref()?);
            Some(daemon_description(&s.data_centre, &s.daemon, &details))
        });
        sorted(held)
    }

    /// Returns the members that cannot be reached.
    pub(super) fn unreachable(&self) -> Vec<DaemonDescription> {
        let members = self.0.values().filter_map(|report| report.as_ref().err());
        sorted(members.map(|m| daemon_description(&m.data_centre, &m.id, "")))
    }

    /// Returns one line for each daemon that is not known to have reached a version.
    pub(super) fn problem_lines(&self, version: Version) -> Vec<String> {
        let kinds = [
            ("lagging", self.lagging(version)),
            ("held", self.held(version)),
            ("unreachable", self.unreachable()),
        ];
        kinds
            .iter()
            .flat_map(|(kind, list)| {
                list.iter().map(move |n| format!("{kind} in {}: {}", n.data_centre, n.text))
            })
            .collect()
    }
}

/// Queries the given daemons.
///
/// Fails with [`Exit::Usage`] if no address is given, and with [`Exit::Unreachable`] if no daemon
/// answers.
pub(super) async fn query_mesh<L, D: Daemon>(cx: &Context<L, D>) -> Result<Mesh, Failure> {
    if cx.daemons.is_empty() {
        return Err(eyre!("`--daemon URL` is required")).with_exit(Exit::Usage);
    }
    Mesh::query(cx).await.with_exit(Exit::Unreachable)
}

/// Returns the states that a daemon collects from the mesh, or its own state and its member list if
/// it cannot collect them.
async fn fetch_reports(daemon: &impl Daemon) -> Result<Vec<DaemonReport>> {
    if let Ok(states) = daemon.mesh_status().await {
        return Ok(states);
    }
    let own = daemon.status().await?;
    let others = daemon.members().await?;
    let others = others.into_iter().filter(|member| member.id != own.daemon);
    let others: Vec<DaemonReport> = others.map(Err).collect();
    Ok(std::iter::once(Ok(own)).chain(others).collect())
}

fn data_centre(report: &DaemonReport) -> DataCentre {
    match report {
        Ok(status) => status.data_centre.clone(),
        Err(member) => member.data_centre.clone(),
    }
}

fn daemon_description(data_centre: &str, id: &str, rest: &str) -> DaemonDescription {
    DaemonDescription { data_centre: data_centre.to_owned(), text: format!("{id}{rest}") }
}

fn sorted(list: impl Iterator<Item = DaemonDescription>) -> Vec<DaemonDescription> {
    let mut list: Vec<DaemonDescription> = list.collect();
    list.sort();
    list
}
