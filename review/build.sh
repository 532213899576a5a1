#!/bin/sh
# Builds the stand-ins of all scripts.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/standin ./review/standin
