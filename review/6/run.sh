#!/bin/bash
# A move is being undone when its mover dies; a new one is started, as docs/placement.md says.
cd "$(dirname "$0")/../.." || exit 2
CASE=$PWD/review/6
. review/tools-2/common.sh
. review/tools-2/placement.sh
begin
mover m1 "$TMP/fleet.toml"
until_line 10 's-1 move fence 1 shard 1 yes' || verdict 2 "no fence"
if [ "$TROUBLE" != 0 ]; then
    kill -KILL "$pid_box1"; note "s-1 dies behind its fence"
    until_step 10 1 undo || verdict 2 "the move is not being undone"
    if [ "$TROUBLE" = 1 ]; then
        sleep 0.5
        kill -KILL "$pid_m1"; note "the mover dies while it undoes move 1"
    fi
    sleep 3.5
    box 1 "$P_B1" "$P_B3"; note "s-1 is back, 6 s after"
    if [ "$TROUBLE" = 1 ]; then mover m2; note "a new mover is started"; fi
fi
# Every request of a mover is asked again each 0.2 s; a fence stands for 2 s at most.
until_step 30 1 done undone; ends=$?
note "30 s at most after: move 1 is at step $(step_of 1)"
served=$(ask last once 0,3 10 100)
note "multigets of shard 1 that must not run twice: $served"
shards history >>"$RECORD"
[ $ends = 0 ] && verdict 0 "held: the move has ended or is undone"
verdict 1 "broken: the move neither ends nor is undone, and nobody runs its shard"
