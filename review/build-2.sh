#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: clients, stores, discovery and the network. It needs Go and no module.
set -e
cd "$(dirname "$0")/standin-2"
go build -o standin .
