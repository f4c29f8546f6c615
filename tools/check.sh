#!/bin/sh
# Builds with warnings as errors, lints, runs every test, and ends with a line
# 'N passed, N failed'. Tests in KNOWN-RED.txt are run and printed, but don't
# fail the check.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build}
[ -f "$build/build.ninja" ] ||
	meson setup "$build" -Dstrict=true >/dev/null || exit 1
ninja -C "$build" || exit 1
passed=0
failed=0
if tools/lint.sh; then
	passed=$((passed + 1))
else
	echo "FAILED lint"
	failed=$((failed + 1))
fi
meson test -C "$build" --no-rebuild --num-processes 4 --print-errorlogs
log=$build/meson-logs/testlog.json
for line in $(sed 's/.*"name": "\([^"]*\)".*"result": "\([A-Z]*\)".*/\1=\2/' \
	"$log" | tr ' ' '_'); do
	name=${line%=*}
	if [ "${line##*=}" = OK ]; then
		passed=$((passed + 1))
	elif [ -f KNOWN-RED.txt ] && grep -q "^${name##*:_}:" KNOWN-RED.txt; then
		echo "KNOWN RED $name: $(grep "^${name##*:_}:" KNOWN-RED.txt)"
	else
		echo "FAILED $name"
		failed=$((failed + 1))
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
