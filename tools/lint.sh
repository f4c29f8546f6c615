#!/bin/sh
# Checks the format of all code that is not generated, and runs the linters on it.
set -eu
cd "$(dirname "$0")/.."
files=$(git ls-files '*.c' '*.h' | grep -v '\.pb-c\.')
clang-format --dry-run -Werror $files
tools/boundary.sh
tools/mutants.sh -n
cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr \
	--enable=warning,performance,portability \
	--suppressions-list=tools/cppcheck-suppressions.txt \
	-I include -j 4 $(echo "$files" | tr ' ' '\n' | grep '\.c$')
