#!/bin/bash
# A move is being undone when its mover dies; a new one is started, as docs/placement.md says.
cd "$(dirname "$0")/../.." || exit 2
CASE=$PWD/review/6
. review/tools-2/common.sh
. review/tools-2/placement.sh
# Three more boxes, which hold nothing yet: one of six is 17 %.
read -r P_B4 P_B5 P_B6 <<<"$("$BIN/ports2" 3)"
for i in 4 5 6; do
    eval "port=\$P_B$i"; printf 's-%d 127.0.0.1:%s Ready 0 0\n' "$i" "$port" >>"$TMP/members"; box "$i" "$port" "$P_B1"
done
listed() {  # listed "LINE": s-1's entry in the list, or none
    { [ -z "$1" ] || echo "$1"; grep -v '^s-1 ' "$TMP/members"; } >"$TMP/members.new"; mv "$TMP/members.new" "$TMP/members"
}
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
    sleep 1; listed ""
    sleep 2.5
    box 1 "$P_B1" "$P_B3"; note "s-1 is back, 6 s after"
    sleep 0.5; listed "s-1 127.0.0.1:$P_B1 Ready 0 $(date +%s%3N)"
    sleep 0.5
    if [ "$TROUBLE" = 1 ]; then mover m2; note "a new mover is started"; fi
fi
# Every request of a mover is asked again each 0.2 s; a fence stands for 2 s at most.
sleep 30
look last 1 1 0,3
shards history >>"$RECORD"
[ $STANDS = 0 ] && verdict 0 "held: no fence stands"
verdict 1 "broken: 30 s after, with a mover that runs and all boxes up, the fence stands and nobody runs the shard"
