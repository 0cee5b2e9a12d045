#!/bin/sh
# Formatting, vet, staticcheck, build and all tests; with the race detector where there is more than one goroutine. Tests that KNOWN-RED.txt
# lists are passed over and printed; it fails on more than three, on one that does not exist, and on one that passes.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted" >&2
	exit 1
fi
go vet ./...
go tool staticcheck ./...
go tool staticcheck -tags faults ./...
go build ./...
pure='/(decide|internal/ownership|internal/fleet/(cellplan|cells|membership|probing)|internal/testing/expectedfail|internal/simulation/model|internal/token|internal/observe/(anomaly|timeline))$'
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
