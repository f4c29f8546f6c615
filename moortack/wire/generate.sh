#!/bin/sh
# Generates peer.pb-c.[ch] from peer.proto. The result is committed, so that the
# build doesn't need protoc-c.
set -eu
cd "$(dirname "$0")"
protoc-c --c_out=. peer.proto
mv peer.pb-c.h ../../include/moortack/wire/
sed -i 's|"peer.pb-c.h"|"moortack/wire/peer.pb-c.h"|' peer.pb-c.c
