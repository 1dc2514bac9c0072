# Shared by the scripts: makes sure that the build's tools are there.

# Makes cargo, and the parts of the toolchain that it is given, available.
# Everything else that the build needs comes from the registry by Cargo.lock.
need_toolchain() {
    if ! command -v cc > /dev/null; then
        echo "a C linker is needed: install gcc or clang as 'cc'" >&2
        return 1
    fi
    if ! command -v cargo > /dev/null && ! command -v rustup > /dev/null; then
        echo "Rust is needed: see https://rustup.rs" >&2
        return 1
    fi
    if ! cargo --version > /dev/null 2>&1; then
        rustup toolchain install stable --profile minimal
    fi
    local part
    for part in "$@"; do
        cargo "$part" --version > /dev/null 2>&1 || rustup component add "$part"
    done
}
