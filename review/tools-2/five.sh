#!/bin/bash
# five.sh CASE [TIMES]: how often the script of a case broke its rule, and that it holds with TROUBLE=0.
# From the repository's root. The record that is left is of the last run with the trouble.
case=$1; times=${2:-5}; out=""
for i in $(seq "$times"); do TROUBLE=0 "review/$case/run.sh" >/dev/null 2>&1; out="$out $?"; done
echo "case $case, TROUBLE=0, exit codes:$out"; out=""
for i in $(seq "$times"); do "review/$case/run.sh" >/dev/null 2>&1; out="$out $?"; done
echo "case $case, exit codes:$out"
