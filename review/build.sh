#!/bin/sh
# Builds the stand-ins that the cases start: compiles them and checks that they
# find the libraries that the build of the deploy file has put in place.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.:review
python3 -m compileall -q hillthread review
exec python3 -c "import rig"
