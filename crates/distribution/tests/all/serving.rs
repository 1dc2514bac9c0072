//! When a daemon that started may serve.

use stoatstep_distribution::Serving;

#[test]
fn a_restarted_daemon_does_not_serve_below_its_former_version() {
    // An instance served version 9, restarts, and the platform is out. One peer
    // is behind at 8 but remembers that this instance reported 9. Serving 8
    // would bring back what 9 removed; it waits until it holds 9.
    let mut serving = Serving::default();
    serving.platform_failed();
    serving.heard_peer(1, 8, 9);
    serving.heard_peer(2, 8, 0);
    assert!(!serving.may_serve(8, 10));
    assert!(serving.may_serve(9, 10));
}

#[test]
fn it_serves_nothing_before_it_has_asked_enough() {
    // A daemon that starts holds version 0 and knows of no floor. Were silence
    // taken for "there is none", it would answer callers from an empty state.
    let mut serving = Serving::default();
    serving.platform_failed();
    assert!(!serving.may_serve(0, 10));
    serving.heard_peer(1, 4, 0);
    assert!(!serving.may_serve(4, 10), "one peer of ten is too few");
    assert!(serving.may_serve(4, 1), "but all that there is of one");
    let mut serving = Serving::default();
    serving.heard_platform(4);
    assert!(!serving.may_serve(3, 10));
    assert!(serving.may_serve(4, 10));
}

#[test]
fn peers_do_not_stand_in_for_a_platform_that_was_not_asked() {
    // An instance reads version 5 at the platform, serves by it and dies before
    // it told anyone. It starts again, and two peers that hold version 4 answer
    // before the platform does. Callers would see what 5 removed come back.
    let mut serving = Serving::default();
    serving.heard_peer(1, 4, 0);
    serving.heard_peer(2, 4, 0);
    assert!(!serving.may_serve(4, 10));
    serving.heard_platform(5);
    assert!(!serving.may_serve(4, 10));
    assert!(serving.may_serve(5, 10));
}

#[test]
fn being_behind_a_peer_does_not_end_the_service() {
    let mut serving = Serving::default();
    serving.heard_platform(4);
    assert!(serving.may_serve(4, 10));
    serving.heard_peer(1, 5, 4);
    assert!(serving.may_serve(4, 10));
    assert!(!serving.may_serve(3, 10), "but never back");
}

#[test]
fn who_wakes_hears_others_before_it_serves() {
    // A daemon was frozen for a minute, during which a route was removed. It
    // wakes, and its first caller would still be sent along that route.
    let mut serving = Serving::default();
    serving.heard_platform(4);
    assert!(serving.may_serve(4, 10));
    serving.woke();
    assert!(!serving.may_serve(4, 10));
    serving.heard_peer(1, 6, 4);
    serving.heard_peer(2, 5, 4);
    assert!(!serving.may_serve(4, 10), "peers hold a newer one");
    assert!(serving.may_serve(6, 10));
}

#[test]
fn who_wakes_alone_goes_on_by_what_it_holds() {
    // A daemon wakes in a zone that was cut off meanwhile, and nobody answers.
    // Refusing for ever would leave its callers with nothing.
    let mut serving = Serving::default();
    serving.heard_platform(4);
    assert!(serving.may_serve(4, 10));
    serving.woke();
    serving.serve_alone();
    assert!(serving.may_serve(4, 10));
}

#[test]
fn a_freeze_during_the_start_does_not_spare_the_platform() {
    let mut serving = Serving::default();
    serving.woke();
    serving.heard_peer(1, 4, 3);
    serving.heard_peer(2, 4, 0);
    assert!(!serving.may_serve(4, 10), "the platform was not asked yet");
    serving.serve_alone();
    assert!(!serving.may_serve(4, 10), "and it never served");
}
