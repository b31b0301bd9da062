#!/bin/sh
# Builds the stand-ins that the cases start. It needs Go and no module from outside: they use the standard library alone.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p bin
GOPROXY=off GOFLAGS=-mod=mod go build -o bin/standin .
