#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.  The
# programs of the platform are built by "make target".
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CC:-cc}" -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -pthread -o target/review-2/server review/standin-2/server.c
