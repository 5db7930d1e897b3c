#!/usr/bin/env bash
# Checks the models of this folder.
set -euo pipefail
cd "$(dirname "$0")"
