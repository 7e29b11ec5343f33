#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/6 start. They are
# Python and use only what the deploy file's build puts into target/deps, so
# nothing is compiled; this checks that they can be imported.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
export PYTHONPATH="$root/target/deps:$root:$root/review"
export PYTHONDONTWRITEBYTECODE=1
cd "$root"
python3 -c "import loopback; from hillthread.standin import platform_store"
