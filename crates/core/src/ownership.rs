//! The assignment of each target to the router that owns it: all work for the target passes through
//! its owner.
//!
//! The owner is chosen by rendezvous hashing over the live routers of the target's availability zone;
//! if there are none, over those of its region; if there are none either, over all.

use crate::hash;
use crate::membership::Member;
use crate::target::Target;

/// The proximity of a router to a target; a larger variant is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Proximity {
    Elsewhere,
    SameRegion,
    SameZone,
}

fn proximity(member: &Member, target: &Target) -> Proximity {
    if member.zone == target.zone {
        return Proximity::SameZone;
    }
    if member.region == target.region {
        return Proximity::SameRegion;
    }
    Proximity::Elsewhere
}

/// Returns the owner of a target among the given routers, or `None` if there are no routers.
///
/// # Examples
///
/// ```
/// use sardinemux_core::membership::{Member, State};
/// use sardinemux_core::ownership;
/// use sardinemux_core::target::{Kind, Target};
///
/// let router = |id: &str, zone: &str| Member {
///     id: id.into(),
///     address: "127.0.0.1:1".into(),
///     zone: zone.into(),
///     region: "north".into(),
///     boot: 1,
///     epoch: 0,
///     state: State::Alive,
/// };
/// let target = Target {
///     id: "e1".into(),
///     kind: Kind::Engine,
///     pool: "model".into(),
///     address: "127.0.0.1:2".into(),
///     zone: "z2".into(),
///     region: "north".into(),
///     slots: 8,
///     leaving: false,
///     build: "v1".into(),
/// };
/// let routers = [router("r1", "z1"), router("r2", "z2")];
/// let owner = ownership::owner(routers.iter(), &target);
/// assert_eq!(owner.map(|router| router.id.as_str()), Some("r2"));
/// ```
pub fn owner<'a>(routers: impl Iterator<Item = &'a Member>, target: &Target) -> Option<&'a Member> {
    routers.max_by_key(|member| {
        let score = hash::digest(&[b"owner", target.id.as_bytes(), member.id.as_bytes()]);
        (proximity(member, target), score)
    })
}
