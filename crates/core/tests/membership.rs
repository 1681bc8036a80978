//! Tests of group membership, with lost, delayed and repeated messages.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use rstest::rstest;
use sardinemux_core::membership::command::{self, Merge};
use sardinemux_core::membership::{query, Member, Settings, State, View};

fn member(index: usize) -> Member {
    Member {
        id: format!("r{index}").into(),
        address: format!("127.0.0.1:{}", 1_000 + index).into(),
        zone: "z1".into(),
        region: "north".into(),
        boot: 1,
        epoch: 0,
        state: State::Alive,
    }
}

/// Creates the view of router `index` in a group of `routers` that all know each other.
fn view(index: usize, routers: usize) -> View {
    let mut view = View::new(member(index), Settings::default(), 0);
    for other in (0..routers).filter(|other| *other != index) {
        command::merge(&mut view, member(other), 0);
    }
    view
}

fn state(view: &View, index: usize) -> Option<State> {
    query::member(view, &format!("r{index}")).map(|member| member.state)
}

#[test]
fn verify_silent_router_is_declared_dead_after_suspicion() {
    let mut view = view(0, 3);
    assert_eq!(
        command::suspect(&mut view, &"r1".into(), 100),
        Merge::Changed
    );
    assert_eq!(query::owners(&view).count(), 3);
    assert_eq!(command::apply_timeouts(&mut view, 1_000), Merge::Unchanged);
    assert_eq!(command::apply_timeouts(&mut view, 2_100), Merge::Changed);
    assert_eq!(state(&view, 1), Some(State::Dead));
    assert_eq!(query::owners(&view).count(), 2);
}

#[test]
fn verify_suspected_router_refutes() {
    let mut accuser = view(0, 2);
    let mut accused = view(1, 2);
    command::suspect(&mut accuser, &"r1".into(), 0);
    let rumour = query::member(&accuser, "r1").cloned().unwrap();
    assert_eq!(command::merge(&mut accused, rumour, 0), Merge::Refuted);
    let refutation = query::local_member(&accused).clone();
    assert_eq!(
        command::note_contact(&mut accuser, refutation, 10),
        Merge::Changed
    );
    assert_eq!(state(&accuser, 1), Some(State::Alive));
}

#[test]
fn verify_delayed_rumour_of_earlier_process_is_ignored() {
    let mut view = view(0, 2);
    let restarted = Member {
        boot: 2,
        ..member(1)
    };
    assert_eq!(command::merge(&mut view, restarted, 0), Merge::Changed);
    let delayed = Member {
        state: State::Dead,
        epoch: 9,
        ..member(1)
    };
    assert_eq!(command::merge(&mut view, delayed, 0), Merge::Unchanged);
    assert_eq!(state(&view, 1), Some(State::Alive));
}

#[rstest]
#[case::listed_again(State::Alive, State::Dead)]
#[case::listed_as_leaving(State::Leaving, State::Dead)]
fn verify_lagging_list_revives_no_dead_router(#[case] listed: State, #[case] expected: State) {
    let mut view = view(0, 2);
    command::suspect(&mut view, &"r1".into(), 0);
    command::apply_timeouts(&mut view, 5_000);
    let listed = Member {
        boot: 0,
        state: listed,
        ..member(1)
    };
    command::merge_list(&mut view, vec![listed], 5_100);
    assert_eq!(state(&view, 1), Some(expected));
}

#[test]
fn verify_router_without_contact_is_cut_off() {
    let mut view = view(0, 2);
    assert!(!query::is_cut_off(&view, 2_900));
    assert!(query::is_cut_off(&view, 3_000));
    command::note_platform_contact(&mut view, 3_100);
    assert!(!query::is_cut_off(&view, 3_200));
    let single = View::new(member(0), Settings::default(), 0);
    assert!(!query::is_cut_off(&single, 60_000));
}

#[test]
fn verify_transmissions_of_rumour_grow_with_logarithm() {
    let count_transmissions = |routers: usize| {
        let mut view = view(0, routers);
        while command::take_rumours(&mut view, 1_000).len() > 1 {}
        command::suspect(&mut view, &"r1".into(), 0);
        let mut sent = 0;
        while command::take_rumours(&mut view, 1_000).len() > 1 {
            sent += 1;
        }
        sent
    };
    assert!(count_transmissions(8) > 0);
    assert!(count_transmissions(256) <= 3 * count_transmissions(8));
}

proptest! {
    /// Routers that have received the same messages hold the same view, in whatever order and however often the
    /// messages arrived.
    #[test]
    fn verify_order_of_messages_does_not_matter(
        messages in proptest::collection::vec((1usize..4, 0u64..3, 0u32..3, 0u8..4), 1..40),
        seed in any::<u64>()
    ) {
        let members: Vec<Member> = messages
            .into_iter()
            .map(|(index, boot, epoch, state)| Member {
                boot,
                epoch,
                state: [State::Alive, State::Suspect, State::Leaving, State::Dead][state as usize],
                ..member(index)
            })
            .collect();
        let mut in_order = View::new(member(0), Settings::default(), 0);
        let mut reordered = View::new(member(0), Settings::default(), 0);
        for message in &members {
            command::merge(&mut in_order, message.clone(), 0);
        }
        let mut shuffled = members.clone();
        let length = shuffled.len();
        for index in 0..length {
            shuffled.swap(index, (seed as usize).wrapping_mul(index + 7) % length);
        }
        for message in shuffled.iter().chain(&members) {
            command::merge(&mut reordered, message.clone(), 0);
        }
        for index in 1..4 {
            prop_assert_eq!(
                query::member(&in_order, &format!("r{index}")),
                query::member(&reordered, &format!("r{index}"))
            );
        }
    }

    /// Although most messages are lost, rumours reach every router, and a false suspicion is refuted everywhere.
    #[test]
    fn verify_rumours_spread_under_loss(seed in any::<u64>(), routers in 4usize..24) {
        let mut views: Vec<View> = (0..routers).map(|index| view(index, routers)).collect();
        command::suspect(&mut views[1], &"r0".into(), 0);
        let mut random = seed | 1;
        let mut random_below = |bound: usize| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            ((random >> 33) as usize) % bound
        };
        for _ in 0..400 {
            for from in 0..routers {
                let to = random_below(routers);
                let is_lost = random_below(3) != 0;
                if to == from || is_lost {
                    continue;
                }
                // As in gossip, the sender includes its entry for the receiver, so that it can refute a suspicion.
                let entry = query::member(&views[from], &format!("r{to}")).cloned();
                let mut rumours = command::take_rumours(&mut views[from], 8);
                rumours.extend(entry);
                for rumour in rumours {
                    command::merge(&mut views[to], rumour, 0);
                }
            }
        }
        for view in &views[1..] {
            prop_assert_eq!(state(view, 0), Some(State::Alive));
        }
    }
}
