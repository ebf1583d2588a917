#!/bin/bash
# Front nodes with [peers]: the two that get the list from discovery are killed, and one server begins to drain.
cd "$(dirname "$0")/../.." || exit 2
CASE=$PWD/review/10
SIBLINGS=6 PEERS=true SHARDS=12 PLACES=1 WIDTH=1
. review/tools-2/common.sh
NODES=6
read -r P_DISC P_B1 P_B2 P_B3 P_B4 REST <<<"$("$BIN/ports2" $((5 + 2 * NODES)))"
members() {  # members PHASE_OF_S-4
    printf 's-1 127.0.0.1:%s Ready 0 0\ns-2 127.0.0.1:%s Ready 0 0\ns-3 127.0.0.1:%s Ready 0 0\ns-4 127.0.0.1:%s %s 0 0\n' \
        "$P_B1" "$P_B2" "$P_B3" "$P_B4" "$1" >"$TMP/members.new"
    mv "$TMP/members.new" "$TMP/members"
}
members Ready
config_of_site() { config_for "$@" | sed "s/\"discovery\":\"on_request\"/\"discovery\":\"${LIST:-pushed}\"/"; }
start disc "$BIN/disc2" --port "$P_DISC" --members "$TMP/members" --record "$RECORD"
for i in 1 2 3 4; do eval "port=\$P_B$i"; start "box$i" "$BIN/box2" --name "s-$i" --port "$port" --record "$RECORD"; done
set -- $REST
ports=(); gossip=()
for i in $(seq 0 $((NODES - 1))); do ports[i]=$1; gossip[i]=$2; shift 2; done
node() {  # node NUMBER
    local n=n$1 seeds
    seeds=$(printf '"127.0.0.1:%s",' "${gossip[@]}"); seeds=${seeds%,}
    printf '[peers]\non = true\nlisten = "127.0.0.1:%s"\nseeds = [%s]\n' "${gossip[$1]}" "$seeds" >"$TMP/$n.toml"
    config_of_site "$n" "${ports[$1]}" "$P_DISC" >"$TMP/$n.json"
    start "$n" env PINEDOOR_SETTINGS="$TMP/$n.toml" ROUTER_CONFIG="$TMP/$n.json" TMPDIR="$TMP" sh -c "exec build/pinedoor"
}
for i in $(seq 0 $((NODES - 1))); do node "$i"; done
for p in "${ports[@]}"; do until_up "$p" || verdict 2 "a front node is not up"; done
counter() {  # counter PORT NAME
    exec 9<>"/dev/tcp/127.0.0.1/$1"; printf 'GET /counters HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&9
    sed -n "s/^$2 //p" <&9 | tr -d '\r'; exec 9>&-
}
for tries in $(seq 20); do  # until the tree of those that pass the list on has settled
    sleep 1; holders=(); others=()
    for i in $(seq 0 $((NODES - 1))); do
        if [ "$(counter "${ports[i]}" list_from_discovery)" = 1 ]; then holders+=("$i"); else others+=("$i"); fi
    done
    [ "$tries" -ge 6 ] && [ ${#holders[@]} = 2 ] && break
done
note "from discovery: ${holders[*]}; from members: ${others[*]}"
[ ${#holders[@]} = 2 ] || verdict 2 "not two holders"
live=$(for i in "${others[@]}"; do printf '%s,' "${ports[i]}"; done); live=${live%,}
start load "$BIN/client2" --nodes "$live" --op again --parts 0,5 --query q --count 700 --every-ms 20 --ms 2000 --record "$RECORD" --name load
sleep 2
if [ "$TROUBLE" != 0 ]; then
    for i in "${holders[@]}"; do eval "pid=\$pid_n$i"; kill -KILL "$pid"; done
    note "the front nodes ${holders[*]} are killed"
fi
sleep 0.2
members Terminating
until_line 5 "discovery tells s-4" || verdict 2 "no drain"
told=$(grep 'discovery tells s-4' "$RECORD" | head -n 1 | cut -d' ' -f1)
sleep 7.5
for i in "${holders[@]}"; do [ "$TROUBLE" != 0 ] && node "$i"; done
note "the front nodes are started again"
wait "$pid_load"
last=$(grep ' s-4 runs load' "$RECORD" | tail -n 1 | cut -d' ' -f1)
late=$(awk -v t="$told" '/ s-4 runs load/ && $1 > t + 300 { n++ } END { print n + 0 }' "$RECORD")
late6=$(awk -v t="$told" '/ s-4 runs load/ && $1 > t + 6300 { n++ } END { print n + 0 }' "$RECORD")
note "parts to s-4 later than 300 ms after it was told: $late, later than 6.3 s: $late6, the last $((last - told)) ms after"
for i in "${others[@]}"; do grep -h 'list_source\|list_told' "$TMP/n$i.err" | tail -n 8 >>"$RECORD"; done
[ "$late" = 0 ] && verdict 0 "held"
verdict 1 "broken: work goes to a server that drains"
