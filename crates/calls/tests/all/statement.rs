use stoatstep_calls::{LimitStatement, RateLimit, TargetStatement};

fn limit(text: &str) -> LimitStatement {
    LimitStatement::Limit(text.parse().expect("a rate"))
}

fn stated(values: &[&str]) -> LimitStatement {
    LimitStatement::decode(values.iter().map(|it| it.as_bytes()))
}

#[test]
fn rates_are_decimal_numbers_from_zero_on() {
    for (text, per_second) in [("47.5", 47.5), ("0.25", 0.25), ("0", 0.0), (" 3 ", 3.0)] {
        let rate: RateLimit = text.parse().expect("a rate");
        assert!((rate.per_second() - per_second).abs() < 1e-6, "{text}");
    }
    let huge: RateLimit = "1e300".parse().expect("a rate");
    assert!((huge.per_second() - 1e9).abs() < 1.0);
    for text in [
        "", "-1", "-0.5", "NaN", "inf", "-inf", "12/s", "0x10", "1,5",
    ] {
        assert!(text.parse::<RateLimit>().is_err(), "{text}");
    }
}

#[test]
fn the_lowest_of_several_rates_is_stated() {
    assert_eq!(stated(&[]), LimitStatement::Absent);
    assert_eq!(stated(&["90", "47.5", "60"]), limit("47.5"));
    assert_eq!(stated(&["x", "47.5", "y"]), limit("47.5"));
    assert_eq!(stated(&["x"]), LimitStatement::Invalid);
}

#[test]
fn a_target_states_that_it_leaves_by_a_one_only() {
    for (value, is_leaving) in [("1", true), (" 1 ", true), ("0", false), ("true", false)] {
        let statement = TargetStatement::decode([], [value.as_bytes()]);
        assert_eq!(statement.is_leaving, is_leaving, "{value}");
    }
}
