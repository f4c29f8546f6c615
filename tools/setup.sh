#!/bin/sh
# Installs the Debian packages of LIST, by default packages.txt, that are missing:
# setup.sh [LIST]
set -eu
cd "$(dirname "$0")"
missing=
for package in $(cat "${1-packages.txt}"); do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
		grep -q 'install ok installed' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
echo "Installing:$missing"
sudo=
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq \
	--no-install-recommends $missing >/dev/null
