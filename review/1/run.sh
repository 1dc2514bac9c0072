#!/usr/bin/env bash
# Plays this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs target/release/stoatstep-sidecar and review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/stand-in ] || review/build.sh || exit 2
[ -x target/release/stoatstep-sidecar ] || { echo "build first: deploy/system.toml" >&2; exit 2; }
# A deployment that doesn't come up is started once more. On a time-out, the signal goes to all
# processes that the case started.
for _ in 1 2; do
    timeout -k 1 57 target/review/stand-in late-copy "$here/record.txt" \
        target/release/stoatstep-sidecar "${TROUBLE:-1}"
    code=$?
    case $code in 0 | 1) exit $code ;; esac
done
exit 2
