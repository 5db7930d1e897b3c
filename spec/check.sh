#!/usr/bin/env bash
# Checks the models exhaustively; each of their broken variants must be rejected.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build

# verify MODEL NAME [FLAG...]: prints the number of errors that an exhaustive search of the model finds. The results are
# in build/NAME. Fails if the search was cut short by memory or depth.
verify () {
  (
    cd build
    rm -rf "$2" && mkdir "$2" && cd "$2"
    spin -a "${@:3}" "../../$1.pml" >/dev/null
    gcc -w -O2 -DSAFETY -DMEMLIM=6000 -o pan pan.c
    ./pan -m200000 | tee result.txt | grep -o 'errors: [0-9]*' | grep -o '[0-9]*$'
    if grep -q 'out of memory\|MEMLIM\|max search depth' result.txt; then echo 'search was not exhaustive' >&2; exit 1; fi
  )
}

# check MODEL NAME VARIANT_FLAG VARIANT...: the model must hold, and each variant must be rejected.
check () {
  local errors
  errors=$(verify "$1" "$2")
  [ "$errors" = 0 ] || { echo "the model $1 violates an assertion: see spec/build/$2/result.txt" >&2; exit 1; }
  grep 'states, stored' "build/$2/result.txt"
  for variant in "${@:4}"; do
    errors=$(verify "$1" "$variant" "-D$variant" ${3:+"$3"})
    [ "${errors:-0}" -gt 0 ] || { echo "the broken variant $variant was not rejected" >&2; exit 1; }
    echo "$variant is rejected"
  done
}

# Some errors take one tick more than an exhaustive search of the ownership model has room for.
check ownership protocol -DMAX_TICKS=8 NO_FENCE NO_GATE ACK_FIRST RELATIVE
check restart restart -DMAX_TICKS=8 LOSE_ALL ANSWER_SETTLES SAME_TOKEN SHORT_LEASE ROSTER_BORN SUCCESSOR_SHORT FROM_RESTART ADOPT_SHORT REGISTERED_ONLY LATE_ANSWER SUCCESSOR_COPY FENCED_START LATER_RESTART
check report report -DMAX_TICKS=8 DROP_LATE NO_WAIT
check starts starts -DMAX_DEATHS=5 NO_PRESUMPTION LATER_NO_WAIT SUSPECT_NO_WAIT
check takeover takeover "" READ_BEFORE_FENCE ACK_UNKNOWN TRUST_NOTICE
check limit limit "" NO_HIDDEN COUNT_CONFIRMED FORGET_UNREACHABLE CLAIM_EARLY
