#!/usr/bin/env bash
# Builds the stand-ins that the cases from 6 on start: the project's own store, which is compiled.
# Needs what the build of the deploy file installed, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent build
