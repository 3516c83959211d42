#!/bin/bash
# Builds the cases and their stand-ins into target/review/. Needs the packages that the build of the deploy file installs.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[1-5]; do
    if [ -f "$folder/case.ts" ]; then
        node_modules/.bin/esbuild "$folder/case.ts" --bundle --platform=node --target=node20 --format=esm \
            --log-level=warning --outfile="target/review/$(basename "$folder").mjs"
    fi
done
