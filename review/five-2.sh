#!/usr/bin/env bash
# Runs a case's script five times and once without its fault; prints each exit code.
cd "$(dirname "$0")/.." || exit 2
for n in 1 2 3 4 5; do
  "review/$1/run.sh"
  echo "review/$1 run $n: exit $?"
done
TROUBLE=0 "review/$1/run.sh"
echo "review/$1 with TROUBLE=0: exit $?"
