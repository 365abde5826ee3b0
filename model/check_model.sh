#!/usr/bin/env bash
# Checks the model of the placement protocol, then shows that each broken
# variant is caught. Bounded: an exhaustive search of the stated bounds.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
MOST_SECONDS=600
INCOMPLETE="max search depth too small|out of memory|did not end"

check() { # check NAME [-D...]: leaves the verifier's report in NAME.txt
  local name=$1
  shift
  mkdir "$name" && cd "$name"
  spin -a "$@" "$here/placement.pml" >spin.txt 2>&1 || { cat spin.txt; exit 1; }
  gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=4000 -o pan pan.c
  timeout "$MOST_SECONDS" ./pan -m200000 -c1 >"../$name.txt" 2>&1 || echo "did not end" >>"../$name.txt"
  cd ..
}

errors() { sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$1.txt"; }
states() { sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$1.txt"; }

status=0

# The protocol, with one kind of disturbance beside the lapsing sessions each.
for part in PLAIN WITH_OPERATOR WITH_RESTART; do
  check "$part" "-D$part"
  if [ "$(errors "$part")" = 0 ] && ! grep -qE "$INCOMPLETE" "$part.txt"; then
    echo "protocol, $part: every property holds, $(states "$part") states, complete"
  else
    cat "$part.txt"
    echo "protocol, $part: broken, or the search did not complete"
    status=1
  fi
done

# broken VARIANT PART: the variant must break a property.
broken() {
  check "$1" "-D$1" "-D$2"
  if [ "$(errors "$1")" = 1 ]; then
    echo "$1: caught: $(grep -m1 'assertion violated' "$1.txt" |
      sed 's/.*assertion violated //; s/ (at depth.*//')"
  else
    echo "$1: NOT caught, $(states "$1") states"
    status=1
  fi
}
broken NO_STAMP WITH_OPERATOR
broken NO_TAKEOVER_WAIT PLAIN
broken STALE_LISTING PLAIN
broken NO_PROMISE PLAIN
broken RENEW_UNCONFIRMED PLAIN
broken CONFIGURATION_BEFORE_STAMP WITH_OPERATOR
exit $status
