#!/bin/sh
# Builds with warnings as errors, lints, runs every test, and ends with a line
# 'N passed, N failed'. Tests in KNOWN-RED.txt are run and printed, but don't
# fail the check.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build}
passed=0
failed=0

tree_build() {
	[ -f "$1/build.ninja" ] || meson setup "$@" >/dev/null || exit 1
	ninja -C "$1" --quiet || exit 1
}

known_red() {
	[ -f KNOWN-RED.txt ] && grep "^$1:" KNOWN-RED.txt
}

# Count the test results that meson wrote into a build folder.
results_count() {
	for line in $(sed \
		's/.*"name": "\([^"]*\)".*"result": "\([A-Z]*\)".*/\1=\2/' \
		"$1/meson-logs/testlog.json" | tr -d ' '); do
		name=${line%=*}
		name=${name##*[/:]}
		if [ "${line##*=}" = OK ]; then
			passed=$((passed + 1))
		elif known_red "$name" >/dev/null; then
			echo "KNOWN RED $(known_red "$name")"
		else
			echo "FAILED $name"
			failed=$((failed + 1))
		fi
	done
}

tree_build "$build" -Dstrict=true
CC=clang tree_build build-fuzz -Dfuzz=true -Dstrict=true -Db_lundef=false
if tools/lint.sh; then
	passed=$((passed + 1))
else
	echo "FAILED lint"
	failed=$((failed + 1))
fi
meson test -C "$build" --no-rebuild --num-processes 4 --print-errorlogs
results_count "$build"
meson test -C build-fuzz --no-rebuild --num-processes 4 --print-errorlogs
results_count build-fuzz
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
