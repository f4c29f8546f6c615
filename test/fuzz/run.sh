#!/bin/sh
# run.sh TARGET CORPUS RUNS: what is found is left beside the target.
set -u
found=$(mktemp -d)
trap 'rm -rf "$found"' EXIT
"$1" -seed=1 -runs="$3" -max_len=1024 -timeout=20 -verbosity=0 -error_exitcode=1 \
	-artifact_prefix="$1-" "$found" "$2"
