//! Encoding of a snapshot.

use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use stoatstep_resource::State;
use stoatstep_resource::wire::SnapshotWire;

/// Prefix of every encoded snapshot: a name and the version of the encoding.
const MAGIC: &[u8] = b"stoatstep-snapshot-1\n";

/// Encodes a state. Equal states have equal encodings, so two processes may write the object of the
/// same version at the same time.
///
/// # Panics
///
/// Never: encoding plain data into memory cannot fail.
#[must_use]
pub fn encode_snapshot(state: &State) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    let wire = SnapshotWire::from(state);
    rmp_serde::encode::write(&mut bytes, &wire).expect("plain data always encodes");
    bytes
}

/// Decodes a state and verifies its digest.
///
/// # Errors
///
/// Describes what is wrong with the bytes.
pub fn decode_snapshot(bytes: &[u8]) -> Result<State, SmolStr> {
    let body = bytes
        .strip_prefix(MAGIC)
        .ok_or_else(|| SmolStr::new_static("is no snapshot of this format"))?;
    let wire: SnapshotWire =
        rmp_serde::from_slice(body).map_err(|e| format_smolstr!("is damaged: {e}"))?;
    State::try_from(wire).map_err(|e| e.to_smolstr())
}
