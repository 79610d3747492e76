#!/usr/bin/env bash
# Runs case N five times, and once without the disruption; prints the exit codes.
cd "$(dirname "$0")"
for run in 1 2 3 4 5; do
  "./$1/run.sh" && code=0 || code=$?
  echo "case $1, run $run: exit code $code"
done
TROUBLE=0 "./$1/run.sh" && code=0 || code=$?
echo "case $1 without the disruption: exit code $code"
