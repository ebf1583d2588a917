#!/bin/bash
# five.sh CASE [TIMES]: how often the script of a case broke its rule, and that it holds with TROUBLE=0.
# From the repository's root. The record that is left is of the last run with the trouble.
case=$1; times=${2:-5}
for trouble in 0 1; do
    out=""
    for i in $(seq "$times"); do
        last=$(TROUBLE=$trouble "review/$case/run.sh" 2>/dev/null | tail -n 1); code=${PIPESTATUS[0]}
        case $last in held*) code=0;; broken*) code=1;; *) code="2 ($last)";; esac
        out="$out $code"
    done
    echo "case $case, TROUBLE=$trouble, exit codes:$out"
done
