#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-lab3 ] || exit 2
ROOT=../.. exec ../../target/review-lab3 surge record.txt
