#!/bin/sh
# Builds the stand-ins of the cases: review/bin/harness. It needs the Go toolchain and nothing else.
set -e
cd "$(dirname "$0")/harness"
GOTOOLCHAIN=local GOPROXY=off go build -buildvcs=false -o ../bin/harness .
