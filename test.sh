#!/bin/sh
# Checks formatting, vet, staticcheck, revive (revive.toml) and dead code, builds the program and runs all
# tests, with the race detector for packages that have more than one goroutine, except for overload, whose own
# clients would be what is slow. Failures of the tests listed in KNOWN-RED.txt are printed and tolerated. The
# script fails if the file lists more than six tests, a test that does not exist, or a test that passes.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted" >&2
	exit 1
fi
go vet ./...
go vet -tags faults ./...
go tool staticcheck -checks all ./...
go tool staticcheck -checks all -tags faults ./...
go tool -modfile=tools/go.mod revive -config revive.toml ./...
unreachable=$(go tool -modfile=tools/go.mod deadcode -test -tags faults ./...)
if [ -n "$unreachable" ]; then
	echo "nothing reaches: $unreachable" >&2
	exit 1
fi
go build ./...
pure='/(decide|internal/ownership|internal/fleet/(cellplan|cells|membership|probing)|internal/testing/(expectedfail|overload)|internal/simulation/model|internal/token|internal/observe/(anomaly|timeline))$'
plain=$(go list ./... | grep -E "$pure")
raced=$(go list ./... | grep -vE "$pure")
if [ -s KNOWN-RED.txt ]; then
	{
		go test -json $plain || true
		go test -json -race $raced || true
	} | go run ./internal/testing/expectedfail KNOWN-RED.txt
else
	go test $plain
	go test -race $raced
fi
