#!/usr/bin/env bash
# The stand-ins of the cases from 6 on are plain modules for Node.js without dependencies, so that nothing is compiled.
# Checks their syntax.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
for module in *.mjs; do
    node --check "$module"
done
