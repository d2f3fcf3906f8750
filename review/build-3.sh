#!/bin/sh
# Builds the stand-ins of cases 11 to 15. They are plain JavaScript without dependencies, so that building them only checks their syntax.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  node --check "$file"
done
