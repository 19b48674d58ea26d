#!/bin/sh
# Prepares the stand-ins of the scripts; run after the build of the deploy file. They
# need Python and the libraries in target/deps only.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:review python3 -m compileall -q review && test -d target/deps
