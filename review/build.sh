#!/bin/sh
# Builds the stand-ins of the cases. They use Go's standard library alone; nothing is downloaded.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../bin/standin .
