#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
exec timeout -k 5 110 python3 play.py
