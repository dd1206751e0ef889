#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
cd "$(dirname "$0")/.." && go build -o target/stand3 ./review/_stand3
