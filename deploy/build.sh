#!/bin/sh
# Installs the libraries of the deployed programs into target/deps, unless those of the
# present list were installed on this kind of machine already.
set -eu
list=deploy/requirements.txt
record=target/installed.txt
installed="$(uname -m), $(python3 --version)
$(cat "$list")"
if [ -d target/deps ] && [ -f "$record" ] && [ "$(cat "$record")" = "$installed" ]; then
  exit 0
fi
rm -rf target/deps.new
python3 -m pip install -q --target target/deps.new -r "$list"
rm -rf target/deps
mv target/deps.new target/deps
# Written last: an installation that was interrupted is repeated.
echo "$installed" > "$record"
