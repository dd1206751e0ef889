#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. The project's program comes from the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/_stand
