#!/bin/sh
# Prints uses of the platform's names outside the folders that may use them;
# exits 1 if there are any.
set -u
cd "$(dirname "$0")/.."
names='rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|hold-(take|drop)'
names="$names|op/(config|rollout)|status/rollout|/-/(resolve|readyz|report)"
names="$names|MOORTACK_NODE_FILE|row_version|api_keys|kv_token_bytes"
names="$names|Moortack-(Attempt-Id|Credential|Model-Id|Token-Count|Prefix-Hash"
names="$names|Tenant-Id|Expect-[A-Z]|Not-Executed|Replica-[A-Z]|Length-Hint"
names="$names|Response-Signature|Request-Priority|Weight-Versions|Pin-Ms"
names="$names|Estimate-Confidence|Kv-[A-Z])"
names="$names|target_itl_ms|warmup_left_ms|partition_writes_s"
found=$(git grep -nIE "$names" -- '*.c' '*.h' '*.lua' '*.proto' '*.build' \
	':!platform/' ':!include/platform/' ':!test/platform/' ':!deploy/')
[ -z "$found" ] && exit 0
echo "$found"
exit 1
