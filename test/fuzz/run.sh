#!/bin/sh
# Runs a fuzz target with a fixed seed: run.sh TARGET CORPUS RUNS
# An input that fails is written next to the target.
set -u
new_inputs=$(mktemp -d)
trap 'rm -rf "$new_inputs"' EXIT
"$1" -seed=1 -runs="$3" -max_len=1024 -timeout=20 -verbosity=0 -error_exitcode=1 \
	-artifact_prefix="$1-" "$new_inputs" "$2"
