#!/bin/sh
# Builds the stand-ins of the scripts, from the standard library alone.
set -e
cd "$(dirname "$0")/standin"
exec go build -o ../bin/standin .
