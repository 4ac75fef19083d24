#!/bin/sh
# The stand-ins of the scripts are plain Python; this only compiles them.
cd "$(dirname "$0")/.." && python3 -m compileall -q review
