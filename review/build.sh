#!/usr/bin/env bash
# Builds what the scripts start beside the build of the deploy file. The stand-ins are Python programs that
# use the standard library only, so that there is nothing to compile; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in standins/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
