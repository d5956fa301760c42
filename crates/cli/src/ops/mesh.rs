//! States of all daemons, gathered from those whose addresses are given.

use std::collections::BTreeMap;

use baobabreel_client::wire::{MemberDoc, StatusDoc};
use baobabreel_core::config::Version;
use baobabreel_core::id::{DaemonId, DataCentre};
use baobabreel_core::membership::MemberState;
use eyre::{Result, eyre};

use crate::context::{Context, Daemon};
use crate::report::{Exit, Failure, OrExit};

/// What is known about one daemon.
pub(super) type Known = Result<StatusDoc, MemberDoc>;

/// Daemons that have not left and are not dead.
#[derive(Debug, Default)]
pub(super) struct Mesh(pub(super) BTreeMap<DaemonId, Known>);

/// Daemon that has to be named, by data centre.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Named {
    pub(super) data_centre: DataCentre,
    pub(super) text: String,
}

impl Mesh {
    /// Asks every given daemon, since one may reach members that another cannot.
    pub(super) async fn ask<L, D: Daemon>(cx: &Context<L, D>) -> Result<Self> {
        let mut mesh = Self::default();
        let mut last = eyre!("`--daemon URL` is needed");
        let mut reached = false;
        for daemon in &cx.daemons {
            match states_of(daemon).await {
                Ok(states) => {
                    reached = true;
                    states.into_iter().for_each(|known| mesh.take(known));
                }
                Err(e) => last = e,
            }
        }
        if reached { Ok(mesh) } else { Err(last) }
    }

    fn take(&mut self, known: Known) {
        let (id, state) = match &known {
            Ok(status) => (status.daemon.clone(), status.state),
            Err(member) => (member.id.clone(), member.state),
        };
        if matches!(state, MemberState::Left | MemberState::Dead) {
            return;
        }
        let newer = match (self.0.get(&id), &known) {
            (None, _) | (Some(Err(_)), Ok(_)) => true,
            (Some(Ok(old)), Ok(new)) => old.version < new.version,
            (Some(_), Err(_)) => false,
        };
        if newer {
            self.0.insert(id, known);
        }
    }

    /// Daemons that answered, with their data centres.
    pub(super) fn answered(&self) -> impl Iterator<Item = &StatusDoc> {
        self.0.values().filter_map(|known| known.as_ref().ok())
    }

    pub(super) fn data_centres(&self) -> Vec<DataCentre> {
        let mut names: Vec<DataCentre> = self.0.values().map(data_centre).collect();
        names.sort();
        names.dedup();
        names
    }

    /// Daemons of a data centre, and how many of them have a version.
    pub(super) fn having(&self, data_centre_name: &str, version: Version) -> (usize, usize) {
        let all = self.0.values().filter(|k| data_centre(k) == data_centre_name);
        let have = |known: &&Known| known.as_ref().is_ok_and(|s| s.version >= version);
        (all.clone().filter(have).count(), all.count())
    }

    /// Daemons that follow the log and are behind a version.
    pub(super) fn lagging(&self, version: Version) -> Vec<Named> {
        let behind = self.answered().filter(|s| s.version < version && s.held.is_none());
        sorted(behind.map(|s| named(&s.data_centre, &s.daemon, &format!(" at {}", s.version))))
    }

    /// Daemons that hold and are behind a version.
    pub(super) fn held(&self, version: Version) -> Vec<Named> {
        let behind = self.answered().filter(|s| s.version < version);
        let held = behind.filter_map(|s| {
            let why = format!(" at {}: {}", s.version, s.held.as_ref()?);
            Some(named(&s.data_centre, &s.daemon, &why))
        });
        sorted(held)
    }

    /// Members that cannot be reached.
    pub(super) fn unreachable(&self) -> Vec<Named> {
        let members = self.0.values().filter_map(|known| known.as_ref().err());
        sorted(members.map(|m| named(&m.data_centre, &m.id, "")))
    }

    /// Lines that name the daemons that do not have a version, by data centre.
    pub(super) fn troubles(&self, version: Version) -> Vec<String> {
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

/// The mesh, which the command needs.
pub(super) async fn mesh_of<L, D: Daemon>(cx: &Context<L, D>) -> Result<Mesh, Failure> {
    if cx.daemons.is_empty() {
        return Err(eyre!("`--daemon URL` is needed")).or_exit(Exit::Usage);
    }
    Mesh::ask(cx).await.or_exit(Exit::Unreachable)
}

/// States that a daemon collects; one that collects none gives its own and the members it knows.
async fn states_of(daemon: &impl Daemon) -> Result<Vec<Known>> {
    if let Ok(states) = daemon.mesh_status().await {
        return Ok(states);
    }
    let own = daemon.status().await?;
    let others = daemon.members().await?;
    let others = others.into_iter().filter(|member| member.id != own.daemon);
    let others: Vec<Known> = others.map(Err).collect();
    Ok(std::iter::once(Ok(own)).chain(others).collect())
}

fn data_centre(known: &Known) -> DataCentre {
    match known {
        Ok(status) => status.data_centre.clone(),
        Err(member) => member.data_centre.clone(),
    }
}

fn named(data_centre: &str, id: &str, rest: &str) -> Named {
    Named { data_centre: data_centre.to_owned(), text: format!("{id}{rest}") }
}

fn sorted(list: impl Iterator<Item = Named>) -> Vec<Named> {
    let mut list: Vec<Named> = list.collect();
    list.sort();
    list
}
