#!/bin/sh
# Builds the command that the scripts of review/6 to review/10 start: clients and stand-ins of the
# platform and of replicas, with the project's own store stand-in. Needs no network after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/trial
