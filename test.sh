#!/bin/sh
# Builds as deploy/service.toml does, vets, checks the format, runs the tests.
set -e
cd "$(dirname "$0")"
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)
echo "$build"
sh -c "$build"
go vet ./...
unformatted=$(gofmt -l brooklb.go cmd internal)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted"
	exit 1
fi
go test -count=1 ./...
