#!/bin/sh
# Builds the stand-ins of the cases of the second review into target/review-2, the project's own with them.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/case4 ./review/4/standin
go build -tags review -o target/review-2/case5 ./review/5/standin
go build -tags review -o target/review-2/case7 ./review/7/standin
