#!/usr/bin/env bash
# Plays days of the platform's bench on an earlier version and on HEAD, in turn,
# and compares them. Exits with 1 if worth or the share of served requests of
# HEAD is lower by more than the spread of the plays.
#
# usage: scripts/compare-versions.sh BENCH VERSION PLAYS SITE:DAY...
#   BENCH    path of the bench's program
#   VERSION  commit to compare HEAD with
#   PLAYS    plays of each day and version, 5 before a landing
#   SITE:DAY site file, and the name of one of its days or a day file
# The copies lie beside the repository: programs in the temporary directory
# can't be found by the bench.
set -euo pipefail
if [ $# -lt 4 ]; then
  sed -n 's/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
bench=$(realpath "$1")
version=$2
plays=$3
shift 3
root=$(git rev-parse --show-toplevel)
work=$(mktemp -d "$root/../compare-XXXXXX")
trap 'rm -rf "$work"' EXIT
for name in old new; do
  git clone -q "$root" "$work/$name"
done
git -C "$work/old" checkout -q "$version"
for name in old new; do
  (cd "$work/$name" && "$bench" build > /dev/null)
done
for item in "$@"; do
  site=$(realpath "${item%:*}")
  day=${item##*:}
  [ ! -f "$day" ] || day=$(realpath "$day")
  for ((play = 1; play <= plays; ++play)); do
    for name in old new; do
      (cd "$work/$name" &&
        "$bench" run "$site" "$day" --why "compare $version with HEAD, play $play" \
          > "$work/$name.$(basename "$site").$(basename "$day").$play.log" 2>&1) || true
    done
  done
done
# The entries of the plays are kept with the others.
cp -n "$work"/{old,new}/journal/*.json "$root/journal/" 2> /dev/null || true
cp -n "$work"/{old,new}/journal/blobs/* "$root/journal/blobs/" 2> /dev/null || true
python3 - "$work" << 'END'
import collections, glob, os, re, sys

figures = collections.defaultdict(list)
failed_plays = []
for path in sorted(glob.glob(os.path.join(sys.argv[1], "*.log"))):
    version, rest = os.path.basename(path)[:-4].split(".", 1)
    day = rest.rsplit(".", 1)[0]
    text = open(path, errors="replace").read()
    row = re.search(r"^day +own/srv +score.*\n(\S+ +\S+ .*)$", text, re.M)
    opened = re.search(r"([\d.]+) new connections to servers", text)
    if not row or not opened:
        failed_plays.append(os.path.basename(path))
        continue
    worth, served, refused, failed = map(float, row.group(1).split()[3:7])
    for name, value in (("worth", worth), ("served", served),
                        ("refused", refused), ("failed", failed),
                        ("connections", float(opened.group(1)))):
        figures[day, name, version].append(value)
worse = False
for day, name in sorted({key[:2] for key in figures}):
    old, new = figures[day, name, "old"], figures[day, name, "new"]
    if not old or not new:
        continue
    means = [sum(v) / len(v) for v in (old, new)]
    spread = max(max(v) - min(v) for v in (old, new))
    lower = name in ("worth", "served") and means[0] - means[1] > spread
    worse = worse or lower
    print(f"{day:45} {name:12} old {means[0]:10.3f} new {means[1]:10.3f} "
          f"spread {spread:.3f}{'  LOWER' if lower else ''}")
for name in failed_plays:
    print("no figures:", name)
sys.exit(1 if worse or failed_plays else 0)
END
