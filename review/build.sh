#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript for Node's own modules: they are only checked. The daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done
test -f ../target/citronnotch.mjs
