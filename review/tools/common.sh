# What the cases share; sourced by their run.sh from the repository's root. $here is the case's folder.
# Everything that is started is ended by process id at the exit. All waits are bounded: a run ends within 120 s.
TROUBLE="${TROUBLE:-1}"
stand_in=build/review/stand_in
pids=""
scratch="$(mktemp -d)"
finish() {
    for pid in $pids; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    [ -s "$scratch/record.txt" ] && cp "$scratch/record.txt" "$here/record.txt"
    rm -rf "$scratch"
}
trap finish EXIT
trap 'exit 2' INT TERM
cannot() { note "the case could not run: $*"; exit 2; }
note() { echo "$(date +%s%3N) $*" >>"$scratch/record.txt"; echo "$*"; }
ctl() { timeout 5 "$stand_in" ctl "$control" "$@"; }
ask() { timeout 8 "$stand_in" ask "$node" "$scratch" "$@"; }
# Waits for up to $1 tenths of a second until the rest, a command, succeeds.
wait_for() {
    tries=$1; shift
    while [ "$tries" -gt 0 ] && [ "$SECONDS" -lt 100 ]; do
        if "$@" >/dev/null 2>&1; then return 0; fi
        tries=$((tries - 1)); sleep 0.1
    done
    return 1
}
in_record() { grep -q -- "$1" "$scratch/record.txt"; }
wait_mover() { wait_for 200 ended "$mover" && wait "$mover"; }  # 20 s at most; its exit code
ended() { ! kill -0 "$1" 2>/dev/null; }
start_world() {  # MAP COUNT
    [ -x build/pinedoor ] && [ -x "$stand_in" ] || { echo "build the project and review/build.sh first"; exit 2; }
    note "TROUBLE=$TROUBLE"
    "$stand_in" world "$scratch" "$1" "$2" &
    pids="$pids $!"
    wait_for 50 test -s "$scratch/ports" || cannot "no world"
    read -r discovery control _ <"$scratch/ports"
}
# The figures of a site that the front node is told.
site_amman_checkin() {
    max_attempts=4 retry_after=false marks_retry=true extra_floor=5.0 repeat_ratio=0.1 look_back_ms=2000.0 drain_ms=1000.0
}
site_tallyroom_live() {
    max_attempts=3 retry_after=true marks_retry=false extra_floor=20.0 repeat_ratio=0.05 look_back_ms=5000.0 drain_ms=250.0
}
# One front node as the platform starts it, with the settings given.
start_node() {  # NAME CLASSES-JSON TOML
    node=$("$stand_in" port)
    n=$(printf '%s' "$2" | grep -o '"name"' | wc -l)
    list() { out="$1"; i=1; while [ "$i" -lt "$n" ]; do out="$out,$1"; i=$((i + 1)); done; printf '[%s]' "$out"; }
    cat >"$scratch/$1.json" <<JSON
{"name":"$1","listen":"127.0.0.1:$node","discovery":"127.0.0.1:$discovery","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"revision":0,"complete":true,"members":[]},"settings":{"classes":[$2],
"clients":{"marks_retry":$marks_retry},"discovery":"pushed","failure_domains":["a"],
"family_info":{"follow_up":$(list 0),"min_share":$(list 1.0),"need_by_class":$(list 1.0),"overhead_ms":1.0,
"per_call":2,"places":1,"shards":4,"short_worth":$(list 0.9),"warm_keys":false,"width":1},
"limits":{"cancel":true,"conn_idle_ms":30000.0,"connect_timeout_ms":250.0,"max_attempts":$max_attempts,"max_open":40,
"max_retry_after_ms":500.0,"peers":false,"probes":false,"retry_after":$retry_after,"second_copies":true,
"streams_per_conn":4},
"load_info":{"fields":[],"how":"none"},"me":0,
"parties":[{"fraction":1.0,"name":"acme","quota_per_s":100.0}],
"rules":{"cold_from":0.2,"extra_floor":$extra_floor,"fall_multiple":4.0,"grace_to_answer_ms":20.0,"look_back_ms":$look_back_ms,
"repeat_ratio":$repeat_ratio,"stop_sending_within_ms":$drain_ms,"tip_after_ms":1000.0,"warm_after_ms":16000.0},
"siblings":1,"tick_ms":1.0,"zone":0}}
JSON
    printf '%s\n' "$3" >"$scratch/$1.toml"
    ROUTER_CONFIG="$scratch/$1.json" PINEDOOR_SETTINGS="$scratch/$1.toml" TMPDIR="$scratch" \
        /bin/sh -c 'exec build/pinedoor' >"$scratch/$1.log" 2>&1 &
    pids="$pids $!"
    node_pid=$!
    wait_for 100 up || { cat "$scratch/$1.log"; cannot "the front node is not up"; }
}
counters() { "$stand_in" get "$node" /counters; }
up() { "$stand_in" get "$node" /up | grep -q '^up' && counters | grep -q '^map_version [1-9]'; }
# The mover, as the pages have it. $scratch/moves.db is its journal; its output goes to the record.
start_mover() {  # NAME ARGUMENT...
    name=$1; shift
    build/pinedoor shards --sqlite "$scratch/moves.db" --discovery "127.0.0.1:$discovery" apply "$@" \
        >"$scratch/$name.out" 2>&1 &
    mover=$!
    pids="$pids $mover"
    note "mover $name started: apply $*"
}
shards() { timeout 10 build/pinedoor shards --sqlite "$scratch/moves.db" --discovery "127.0.0.1:$discovery" "$@"; }
