#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/standin2
