#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
n=$(basename "$(dirname "$(realpath "$0")")")
[ -x target/gentianlever ] && [ -x "review/bin/$n" ] || { echo "run the build of deploy/system.toml and review/build.sh first"; exit 2; }
exec timeout -k 1 115 "review/bin/$n"
