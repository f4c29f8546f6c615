#!/bin/sh
# Builds the stand-ins that the scripts of the review start, into out/review.
set -eu
cd "$(dirname "$0")/.."
[ -f out/review/build.ninja ] || meson setup out/review >/dev/null
ninja -C out/review --quiet test/platform/standin-store
