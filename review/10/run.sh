#!/bin/bash
# A multiget with an Idempotency-Key is refused after a part of it has run; the client asks again with the key.
cd "$(dirname "$0")/../.." || exit 2
CASE=$PWD/review/10
SHARDS=12 PLACES=12 WIDTH=2 SIBLINGS=1
. review/tools-2/common.sh
read -r P_DISC P_NODE PORTS <<<"$("$BIN/ports2" 14)"
i=0
for port in $PORTS; do
    printf 's-%d 127.0.0.1:%s Ready %d 0\n' $((i + 1)) "$port" "$i" >>"$TMP/members"
    start "box$i" "$BIN/box2" --name "s-$((i + 1))" --port "$port" --record "$RECORD"
    i=$((i + 1))
done
start disc "$BIN/disc2" --port "$P_DISC" --members "$TMP/members" --record "$RECORD"
mkdir "$TMP/store"
printf '[store]\nkind = "sqlite"\nfolder = "%s"\n' "$TMP/store" >"$TMP/pinedoor.toml"
front_node n0 "$P_NODE" "$P_DISC" "$TMP/pinedoor.toml"
until_up "$P_NODE" || verdict 2 "the front node is not up"
sleep 1
# Shard 1 is held by s-2 and s-3, shard 5 by s-6 and s-7, and by no others.
ask() { "$BIN/client2" --nodes "$P_NODE" --op again --parts 5,1 --query q --key order-17 --ms "$1" --record "$RECORD" --name "$2"; }
if [ "$TROUBLE" != 0 ]; then kill -STOP "$pid_box1" "$pid_box2"; note "s-2 and s-3 take parts and answer none"; fi
note "first: $(ask 4000 first)"
sleep 7
if [ "$TROUBLE" != 0 ]; then kill -CONT "$pid_box1" "$pid_box2"; note "s-2 and s-3 answer again"; fi
sleep 2
note "again, with the key: $(ask 4000 second)"
sleep 0.5
build/pinedoor store -s "$TMP/pinedoor.toml" list >>"$RECORD"
runs=$(grep -c 'runs .* shard 5 ends done' "$RECORD")
note "the part of shard 5 has run $runs times under one key"
[ "$runs" = 0 ] && verdict 2 "no part has run"
[ "$runs" = 1 ] && verdict 0 "held"
verdict 1 "broken: a key that may have run is run again"
