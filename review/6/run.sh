#!/usr/bin/env bash
# Exits with 1 if two runs of a task were at work at the same time, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." && exec node review/6/run.js
