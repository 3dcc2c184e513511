#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. Their sources end in .go.txt: they name
# what the platform's pages name, which a test of the project allows in platform/ only, and
# they are not to be part of its builds and checks.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
for f in review/standin/*.go.txt; do
	cp "$f" "$dir/$(basename "$f" .txt)"
done
printf 'module reviewcase\n\ngo 1.26.0\n' >"$dir/go.mod"
mkdir -p target
out=$PWD/target/reviewcase
(cd "$dir" && GOWORK=off go build -o "$out" .)
