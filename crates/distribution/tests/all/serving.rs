//! When a daemon may serve after a start.

use stoatstep_distribution::Serving;

#[test]
fn a_restarted_daemon_does_not_serve_below_its_former_version() {
    // An instance that served version 9 restarts while the platform is out. One peer is behind at 8
    // but knows that this instance reported 9. Serving by 8 would bring back what 9 removed, so the
    // daemon waits until it holds 9.
    let mut serving = Serving::default();
    serving.platform_failed();
    serving.peer_answered(1, 8, 9);
    serving.peer_answered(2, 8, 0);
    assert!(!serving.may_serve(8, 10));
    assert!(serving.may_serve(9, 10));
}

#[test]
fn a_daemon_does_not_serve_before_enough_answers() {
    // A daemon that starts holds version 0 and knows of no floor. If it took missing answers for
    // "there is no floor", it would answer callers from an empty state.
    let mut serving = Serving::default();
    serving.platform_failed();
    assert!(!serving.may_serve(0, 10));
    serving.peer_answered(1, 4, 0);
    assert!(!serving.may_serve(4, 10), "one peer of ten is too few");
    assert!(serving.may_serve(4, 1), "but all that there is of one");
    let mut serving = Serving::default();
    serving.platform_answered(4);
    assert!(!serving.may_serve(3, 10));
    assert!(serving.may_serve(4, 10));
}

#[test]
fn peers_do_not_replace_a_platform_that_was_not_asked() {
    // An instance reads version 5 at the platform, serves with it and crashes before any exchange. It
    // starts again, and two peers that hold version 4 answer before the platform does. Callers
    // would see what 5 removed come back.
    let mut serving = Serving::default();
    serving.peer_answered(1, 4, 0);
    serving.peer_answered(2, 4, 0);
    assert!(!serving.may_serve(4, 10));
    serving.platform_answered(5);
    assert!(!serving.may_serve(4, 10));
    assert!(serving.may_serve(5, 10));
}

#[test]
fn being_behind_a_peer_does_not_end_the_service() {
    let mut serving = Serving::default();
    serving.platform_answered(4);
    assert!(serving.may_serve(4, 10));
    serving.peer_answered(1, 5, 4);
    assert!(serving.may_serve(4, 10));
    assert!(!serving.may_serve(3, 10), "but never back");
}

#[test]
fn a_resumed_daemon_waits_for_answers_before_it_serves() {
    // A daemon was frozen for a minute, during which a route was removed. It resumes, and would
    // still send its first caller along that route.
    let mut serving = Serving::default();
    serving.platform_answered(4);
    assert!(serving.may_serve(4, 10));
    serving.resumed();
    assert!(!serving.may_serve(4, 10));
    serving.peer_answered(1, 6, 4);
    serving.peer_answered(2, 5, 4);
    assert!(!serving.may_serve(4, 10), "peers hold a newer one");
    assert!(serving.may_serve(6, 10));
}

#[test]
fn a_resumed_daemon_without_answers_serves_by_what_it_holds() {
    // A daemon resumes in a zone that was cut off meanwhile, and no one answers. If it refused for
    // ever, its callers would get nothing.
    let mut serving = Serving::default();
    serving.platform_answered(4);
    assert!(serving.may_serve(4, 10));
    serving.resumed();
    serving.serve_alone();
    assert!(serving.may_serve(4, 10));
}

#[test]
fn a_freeze_during_the_start_does_not_replace_the_read_of_the_platform() {
    let mut serving = Serving::default();
    serving.resumed();
    serving.peer_answered(1, 4, 3);
    serving.peer_answered(2, 4, 0);
    assert!(!serving.may_serve(4, 10), "the platform was not asked yet");
    serving.serve_alone();
    assert!(!serving.may_serve(4, 10), "and it never served");
}
