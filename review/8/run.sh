#!/bin/bash
# A merge is scheduled while the moves of a plan go on, which give one of the two shards another reader.
cd "$(dirname "$0")/../.." || exit 2
CASE=$PWD/review/8
COPY_MS=1500
. review/tools-2/common.sh
. review/tools-2/placement.sh
# s-1 owns both shards, s-2 reads both and is to be emptied; s-3 and s-4 have room for one shard each.
read -r P_B4 <<<"$("$BIN/ports2" 1)"
cat >"$TMP/map.json" <<JSON
{"version":1,"shards":[{"id":1,"first":"0","last":"7fffffffffffffff","epoch":1,"replicas":[{"box":"s-1","role":"owner"},{"box":"s-2","role":"reader"}]},{"id":2,"first":"8000000000000000","last":"ffffffffffffffff","epoch":1,"replicas":[{"box":"s-1","role":"owner"},{"box":"s-2","role":"reader"}]}]}
JSON
cp "$TMP/map.json" "$TMP/map-now.json"
printf 's-4 127.0.0.1:%s Ready 0 0\n' "$P_B4" >>"$TMP/members"
{
    printf '[limits]\nnear_enough = 10\n'
    for box in s-1 s-2 s-3 s-4; do
        printf '[[boxes]]\nname = "%s"\ncapacity = 100\nspace = %s\n' "$box" "$([ $box = s-1 ] || [ $box = s-2 ] && echo 100 || echo 6)"
        [ $box = s-2 ] && printf 'draining = true\n'
    done
    printf '[[shards]]\nid = 1\nreplicas = ["s-1", "s-2"]\nreads = 10\nwrites = 1\nsize = 5\n'
    printf '[[shards]]\nid = 2\nreplicas = ["s-1", "s-2"]\nreads = 10\nwrites = 1\nsize = 5\n'
} >"$TMP/fleet.toml"
box 4 "$P_B4" "$P_B1"
begin
mover m1 "$TMP/fleet.toml"
until_line 10 'move copy 1 shard' || verdict 2 "no move"
if [ "$TROUBLE" != 0 ]; then note "while the plan's moves go on: $(shards merge 1 2 2>&1)"; fi
until_step 20 1 done && until_step 20 2 done || verdict 2 "the plan's moves do not end"
wait "$pid_m1"; note "the plan's moves are done"
if [ "$TROUBLE" = 0 ]; then note "after them: $(shards merge 1 2 2>&1)"; fi
mover m2
sleep 20
look first-shard 1 1 0; one=$STANDS
look second-shard 1 2 7; two=$STANDS
if [ $one = 1 ]; then
    shards abort 3 >>"$RECORD"; sleep 2
    note "2 s after the merge was aborted: $(tail -n 1 "$TMP/m2.out")"
fi
shards history >>"$RECORD"
[ $one = 0 ] && [ $two = 0 ] && verdict 0 "held: no fence stands"
verdict 1 "broken: 20 s after, with a mover that runs and all boxes up, the fences stand and nobody runs the shards"
