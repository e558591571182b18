#!/bin/sh
# Builds the stand-ins of the scripts.  The programs under test are built by
# the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../build/review
gcc -std=gnu11 -O1 -g -Wall -Wextra -o ../../build/review/stand stand.c -lpthread
