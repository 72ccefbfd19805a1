#!/bin/sh
# Builds the stand-ins of the cases. The program itself is built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standins ./review/standins
