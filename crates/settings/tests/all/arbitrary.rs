//! Arbitrary bytes on the command line or in the environment result in values or findings, and
//! never in a panic.

use std::ffi::OsString;
use std::os::unix::ffi::OsStringExt;

use proptest::collection::vec;
use proptest::prelude::*;
use stoatstep_settings::{EarlyExit, Program, Setting};

const PROGRAM: Program = Program {
    name: "example",
    about: "An example.",
    settings: &[
        Setting::new("a", "N", "A number."),
        Setting::new("bc", "N", "A number."),
        Setting::switch("json", "Print JSON."),
    ],
    operands: "",
};

/// Arguments of which many are almost valid, since random bytes alone reach little of the code.
fn argument() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        vec(any::<u8>(), 0..12),
        "--?(a|bc|json|x)?(=[0-9]{0,3})?".prop_map(String::into_bytes),
        "[0-9]{1,12}".prop_map(String::into_bytes),
    ]
}

proptest! {
    #[test]
    fn any_arguments_are_read(args in vec(argument(), 0..8), variable in ".{0,6}") {
        let args = args.into_iter().map(OsString::from_vec);
        let Ok(mut values) = PROGRAM.read_from(args, |_| Some(variable.clone())) else {
            return Ok(());
        };
        let a = values.required::<u32>("a");
        let _ = values.optional::<u8>("bc");
        let _ = values.switch("json");
        match values.finish() {
            Ok(()) => prop_assert!(a.is_some()),
            Err(EarlyExit::Findings(findings)) => prop_assert!(!findings.is_empty()),
            Err(stop) => prop_assert!(false, "unexpected {:?}", stop),
        }
    }
}
