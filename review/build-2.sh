#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: those of the project, in testing/dist.
set -euo pipefail
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc --build
