#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js without dependencies: there is nothing to build. Their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js [1-5]/*.js; do node --check "$file"; done
