#!/bin/sh
# Builds the stand-ins of the cases. The relay itself is built by the command of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin ./review/standin
