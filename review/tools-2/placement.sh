# A small deployment with a map: boxes s-1 to s-3, two shards of 6 splits each, s-1 owns shard 1 and s-2 shard 2;
# a plan empties s-1, so shard 1 goes to s-3. Sourced after common.sh.
read -r P_DISC P_NODE P_B1 P_B2 P_B3 <<<"$("$BIN/ports2" 5)"
cat >"$TMP/map.json" <<JSON
{"version":1,"shards":[{"id":1,"first":"0","last":"7fffffffffffffff","epoch":1,"replicas":[{"box":"s-1","role":"owner"}]},{"id":2,"first":"8000000000000000","last":"ffffffffffffffff","epoch":1,"replicas":[{"box":"s-2","role":"owner"}]}]}
JSON
cp "$TMP/map.json" "$TMP/map-now.json"
printf 's-1 127.0.0.1:%s Ready 0 0\ns-2 127.0.0.1:%s Ready 0 0\ns-3 127.0.0.1:%s Ready 0 0\n' "$P_B1" "$P_B2" "$P_B3" >"$TMP/members"
# fleet FILE OWNER DRAINING: shard 1 is at OWNER, and DRAINING is to be emptied.
fleet() {
    {
        printf '[limits]\nnear_enough = 10\n'
        for box in s-1 s-2 s-3; do
            printf '[[boxes]]\nname = "%s"\ncapacity = 100\nspace = 100\n' "$box"
            [ "$box" = "$3" ] && printf 'draining = true\n'
        done
        printf '[[shards]]\nid = 1\nreplicas = ["%s"]\nreads = 10\nwrites = 1\nsize = 5\n' "$2"
        printf '[[shards]]\nid = 2\nreplicas = ["s-2"]\nreads = 20\nwrites = 1\nsize = 5\n'
    } >"$1"
}
fleet "$TMP/fleet.toml" s-1 s-1
printf '[placement]\non = true\n' >"$TMP/pinedoor.toml"
discovery() { start disc "$BIN/disc2" --port "$P_DISC" --members "$TMP/members" --map "$TMP/map-now.json" --record "$RECORD"; }
box() {  # box NUMBER PORT SOURCE_PORT
    start "box$1" "$BIN/box2" --name "s-$1" --port "$2" --map "$TMP/map.json" --state "$TMP/s-$1.state" \
        --source "$3" --catch-up-ms "${CATCH_UP_MS:-400}" --copy-ms "${COPY_MS:-0}" --record "$RECORD"
}
shards() { TMPDIR="$TMP" build/pinedoor shards --sqlite "$TMP/journal.db" --discovery "127.0.0.1:$P_DISC" "$@"; }
mover() {  # mover NAME ARGUMENTS...
    local name=$1; shift
    start "$name" env TMPDIR="$TMP" sh -c 'exec build/pinedoor "$@"' sh shards --sqlite "$TMP/journal.db" \
        --discovery "127.0.0.1:$P_DISC" apply --lease-ms "${LEASE_MS:-1000}" "$@"
}
step_of() { shards history --json | grep "\"move\":$1," | sed 's/.*"step":"\([a-z-]*\)".*/\1/'; }
until_step() {  # until_step SECONDS MOVE STEP...
    local tries=$(($1 * 20)) move=$2 now; shift 2
    while [ $tries -gt 0 ]; do
        now=$(step_of "$move" 2>/dev/null)
        for each in "$@"; do [ "$now" = "$each" ] && return 0; done
        sleep 0.05; tries=$((tries - 1))
    done
    return 1
}
ask() {  # ask TAG OP SPLITS COUNT EVERY_MS: prints the counts
    "$BIN/client2" --nodes "$P_NODE" --op "$2" --parts "$3" --query "$2" --count "$4" --every-ms "$5" --ms 3000 \
        --record "$RECORD" --name "$1"
}
# What the servers and clients see: whether box NUMBER is fenced for SHARD by what it keeps, and how many of ten
# multigets with a part there, which must not run twice, are answered. Sets STANDS (1: fenced, and none answered).
look() {  # look TAG BOX SHARD SPLITS
    local fence served
    fence=$(awk -v id="$3" '$1 == id { print $6 }' "$TMP/s-$2.state")
    served=$(ask "$1" once "$4" 10 100)
    note "s-$2 is fenced for shard $3 by move: ${fence:-0}; ten multigets there that must not run twice: $served"
    STANDS=0
    [ "${fence:-0}" != 0 ] && case $served in "answered 0 "*) STANDS=1;; esac
}
begin() {  # all of the deployment, and one multiget of each shard that is answered
    discovery
    box 1 "$P_B1" "$P_B3"; box 2 "$P_B2" "$P_B1"; box 3 "$P_B3" "$P_B1"
    front_node n0 "$P_NODE" "$P_DISC" "$TMP/pinedoor.toml"
    until_up "$P_NODE" || verdict 2 "the front node is not up"
    sleep 0.5
    local tries=10
    while [ $tries -gt 0 ]; do  # a front node that has just started turns some away
        case $(ask first once 0,7 4 "${FIRST_EVERY_MS:-50}") in "answered 4 "*) return;; esac
        tries=$((tries - 1))
    done
    verdict 2 "not all is answered at the start"
}
