#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
export GOWORK=off GOTOOLCHAIN=local
for d in upstream [1-5]; do
	if [ -f "$d/main.go" ]; then
		go build -o "bin/$d" "./$d"
	fi
done
