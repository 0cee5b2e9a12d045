#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of the deploy file. Needs no network and no cgo.
set -eu
cd "$(dirname "$0")/standin2"
CGO_ENABLED=0 GOFLAGS="-mod=mod -buildvcs=false" GOPROXY=off go build -o ../../bin/standin2 .
