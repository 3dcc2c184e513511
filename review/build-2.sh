#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. They need only the standard
# library.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
for f in review/standin-2/*.go.txt; do
	cp "$f" "$dir/$(basename "$f" .txt)"
done
printf 'module review2\n\ngo 1.26\n' >"$dir/go.mod"
mkdir -p target/review-2
out=$PWD/target/review-2/rig
(cd "$dir" && GOFLAGS=-mod=mod GOWORK=off go build -o "$out" .)
