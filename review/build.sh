#!/bin/sh
# The stand-ins of the cases are plain JavaScript in review/, run as they are: there is nothing to compile. This checks that
# Node.js accepts them and that the build of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
for file in review/*.js review/*/case.js; do
	node --check "$file"
done
test -f target/start.cjs
