#!/bin/sh
# Removes one mechanism at a time in a copy of the tree and runs the test that must
# then fail: tools/mutants.sh [NAME]...; with -n it only checks that the code still
# contains the texts that test/mutants/list replaces.
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
caught=0
missed=0

# Copy the files as they are on disk, committed or not.
tree_copy() {
	mkdir -p "$work/tree"
	git ls-files -co --exclude-standard -z |
		xargs -0 cp --parents -t "$work/tree" 2>/dev/null
}

name_selected() {
	[ $# -eq 1 ] && return 0
	name=$1
	shift
	case " $* " in *" $name "*) return 0 ;; esac
	return 1
}

build_of() {
	case $1 in
	fuzz_*) echo "$work/fuzz" ;;
	*) echo "$work/build" ;;
	esac
}

only_check=
if [ "${1-}" = -n ]; then
	only_check=1
	shift
fi
tree_copy
[ -n "$only_check" ] || (cd "$work/tree" && meson setup "$work/build" >/dev/null &&
	CC=clang meson setup "$work/fuzz" -Dfuzz=true -Db_lundef=false \
		>/dev/null) || exit 1
while IFS= read -r line; do
	case $line in '#'* | '') continue ;; esac
	line=$(printf '%s' "$line" | sed 's/\\|/\x01/g')
	name=$(printf '%s' "$line" | cut -d'|' -f1)
	file=$(printf '%s' "$line" | cut -d'|' -f2)
	from=$(printf '%s' "$line" | cut -d'|' -f3 | tr '\001' '|')
	to=$(printf '%s' "$line" | cut -d'|' -f4 | tr '\001' '|')
	test=$(printf '%s' "$line" | cut -d'|' -f5)
	[ $# -eq 0 ] || name_selected "$name" "$@" || continue
	if [ -n "$only_check" ]; then
		FROM=$from perl -0ne 'exit(index($_, $ENV{FROM}) < 0)' \
			"$work/tree/$file" && continue
		echo "$name: $file no longer has this text"
		missed=$((missed + 1))
		continue
	fi
	cp "$work/tree/$file" "$work/original"
	FROM=$from TO=$to perl -0pi -e \
		's/\Q$ENV{FROM}\E/$ENV{TO}/ or die "no such text\n"' \
		"$work/tree/$file" || exit 1
	build=$(build_of "$test")
	if ! ninja -C "$build" >"$work/log" 2>&1; then
		echo "$name: does not build"
		tail -5 "$work/log"
		missed=$((missed + 1))
	elif meson test -C "$build" --no-rebuild "$test" >"$work/log" 2>&1; then
		echo "$name: MISSED by $test"
		missed=$((missed + 1))
	else
		echo "$name: caught by $test: $(grep -m1 -hoE \
			'FAILED: [^\\]*|[a-z_]*_fuzz.c:[0-9]*: .*' \
			"$build/meson-logs/testlog.txt" | head -1)"
		caught=$((caught + 1))
	fi
	cp "$work/original" "$work/tree/$file"
done <test/mutants/list
[ -n "$only_check" ] || echo "$caught caught, $missed missed"
[ "$missed" = 0 ]
