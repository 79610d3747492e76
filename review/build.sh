#!/usr/bin/env bash
# Builds the project's stand-ins that the scripts start. Needs what the build of the deploy file installed.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent build
