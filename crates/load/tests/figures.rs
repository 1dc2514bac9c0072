//! What figures are made of: lines through points, and traces of sockets.

use stoatstep_load::{Fit, control_bytes};

fn is_near(value: f64, wanted: f64) -> bool {
    (value - wanted).abs() < 1e-9
}

#[test]
fn a_line_is_found_through_its_own_points() {
    let points = [1.0, 2.0, 5.0, 9.0].map(|x| (x, 3.0 + 0.5 * x));
    let fit = Fit::new(&points);
    assert!(is_near(fit.slope, 0.5));
    assert!(is_near(fit.intercept, 3.0));
    assert!(is_near(fit.r2, 1.0));
    assert!(is_near(fit.spread, 0.0));
    assert!(is_near(fit.at(100.0), 53.0));
}

#[test]
fn points_off_the_line_show_in_spread_and_r2() {
    let fit = Fit::new(&[(0.0, 1.0), (1.0, -1.0), (2.0, -1.0), (3.0, 1.0)]);
    assert!(is_near(fit.slope, 0.0));
    assert!(is_near(fit.r2, 0.0));
    assert!(is_near(fit.spread, 1.0));
}

#[test]
fn one_size_makes_no_line() {
    let fit = Fit::new(&[(1.0, 4.0), (1.0, 5.0)]);
    assert!(!fit.slope.is_finite());
}

#[test]
fn only_control_ports_count() {
    let trace = "\
7 sendto(9<TCP:[127.0.0.1:5000->127.64.0.2:7002]>, \"\"..., 155, MSG_NOSIGNAL, NULL, 0) = 155
7 recvfrom(9<TCP:[127.0.0.1:5000->127.64.0.2:7002]>, \"\"..., 16360, 0, NULL, NULL) = 123
7 recvfrom(9<TCP:[127.0.0.1:5000->127.64.0.2:7002]>, 0x7f, 16360, 0, NULL, NULL) = -1 EAGAIN (x)
7 sendto(8<TCP:[127.64.0.1:7003->127.0.0.1:5001]>, \"\"..., 999, MSG_NOSIGNAL, NULL, 0) = 999
7 write(4<anon_inode:[eventfd]>, \"\"..., 8) = 8
";
    assert_eq!(control_bytes(trace), 155 + 123);
}

// A tracer writes a call on two lines where another thread made one meanwhile:
// the first names the connection, the second the result. Without joining them
// such calls were missed, and the daemon seemed to count more than it moved.
#[test]
fn a_call_on_two_lines_counts_once() {
    let trace = "\
7 sendto(9<TCP:[127.0.0.1:5000->127.64.0.2:7002]>, \"\"..., 155, MSG_NOSIGNAL, NULL, 0 <unfinished ...>
8 write(4<anon_inode:[eventfd]>, \"\"..., 8 <unfinished ...>
7 <... sendto resumed>)             = 155
8 <... write resumed>)              = 8
";
    assert_eq!(control_bytes(trace), 155);
}
