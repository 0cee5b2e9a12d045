#!/bin/sh
# Formatting, vet, build and all tests; with the race detector where there is more than one goroutine.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted" >&2
	exit 1
fi
go vet ./...
go build ./...
pure='/(decide|internal/claim|internal/fleet/(member|subset)|internal/model|internal/token|internal/observe/(depart|timeline))$'
go test $(go list ./... | grep -E "$pure")
go test -race $(go list ./... | grep -vE "$pure")
