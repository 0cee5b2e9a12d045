#!/bin/sh
# Builds the stand-ins of the cases. They use Go's standard library alone; nothing is downloaded.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
GOTOOLCHAIN=local GOPROXY=off go build -o review/bin/ ./review/standin
