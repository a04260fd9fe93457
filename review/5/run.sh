#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
standins="$root/target/review/standins"
[ -d "$standins" ] && [ -d "$root/target/deps" ] || exit 2
cd "$root" || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH="$standins" PYTHONDONTWRITEBYTECODE=1
python3 -c "import world" || exit 2
exec python3 "$here/case.py" "$here/record.txt"
