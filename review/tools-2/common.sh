# Shared by the scripts of the second review. A script sets CASE (its folder) and sources this from the
# repository's root. It gives: a temporary folder, free ports, settings, and ends all that was started.
set -u
# 120 s at most, whatever hangs; then the traps below end what was started, with 2.
if [ -z "${REVIEW_TIMED:-}" ]; then REVIEW_TIMED=1 exec timeout --preserve-status 115 bash "$CASE/run.sh"; fi
ROOT=$(pwd)
BIN=$ROOT/review/tools-2/bin
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
[ -x "$ROOT/build/pinedoor" ] && [ -x "$BIN/box2" ] || { echo "build the program and review/build-2.sh first"; exit 2; }
TMP=$(mktemp -d) || exit 2
PIDS=
: >"$RECORD"
ended() { for pid in $PIDS; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done; wait 2>/dev/null; rm -rf "$TMP"; }
trap ended EXIT
trap 'exit 2' INT TERM
note() { echo "$(date +%s%3N) $*" >>"$RECORD"; echo "$*"; }
verdict() { note "$2"; exit "$1"; }  # 0 held, 1 broken, 2 could not run
# start NAME COMMAND...: runs it in the background; its process id is then in PID and in pid_NAME.
start() {
    local name=$1; shift
    "$@" >>"$TMP/$name.out" 2>>"$TMP/$name.err" &
    PID=$!
    eval "pid_$name=$PID"
    PIDS="$PIDS $PID"
}
until_line() {  # until_line SECONDS PATTERN: waits for a line of the record
    local tries=$(($1 * 50))
    while [ $tries -gt 0 ]; do grep -q -- "$2" "$RECORD" && return 0; sleep 0.02; tries=$((tries - 1)); done
    return 1
}
until_up() {  # until_up PORT: GET /up answers 200
    local tries=500
    while [ $tries -gt 0 ]; do
        if exec 9<>"/dev/tcp/127.0.0.1/$1"; then
            printf 'GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&9
            read -r line <&9; exec 9>&-
            case $line in *" 200 "*) return 0;; esac
        fi 2>/dev/null
        sleep 0.02; tries=$((tries - 1))
    done
    return 1
}
# front_node NAME PORT DISCOVERY_PORT [TOML]: the command of the deploy file, with the settings of config_for.
front_node() {
    config_for "$1" "$2" "$3" >"$TMP/$1.json"
    if [ -n "${4:-}" ]; then
        start "$1" env PINEDOOR_SETTINGS="$4" ROUTER_CONFIG="$TMP/$1.json" TMPDIR="$TMP" sh -c "exec build/pinedoor"
    else
        start "$1" env ROUTER_CONFIG="$TMP/$1.json" TMPDIR="$TMP" sh -c "exec build/pinedoor"
    fi
}
# The platform's settings of a small deployment. A case may change SHARDS, PLACES, WIDTH, SIBLINGS, ATTEMPTS, PEERS.
config_for() {
    cat <<JSON
{"name":"$1","listen":"127.0.0.1:$2","discovery":"127.0.0.1:$3","seed":"$(printf '%016x' $((RANDOM * 32768 + RANDOM)))",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"revision":1,"complete":true,"members":[]},"settings":{
"classes":[
{"aim_ms":2000.0,"deadline_ms":4000.0,"effect":"free","late_worth":0.0,"memory_span_ms":0.0,"name":"again","worth":1.0},
{"aim_ms":1500.0,"deadline_ms":3000.0,"effect":"single_shot","late_worth":0.3,"memory_span_ms":0.0,"name":"once","worth":2.0}],
"clients":{"marks_retry":false},"discovery":"on_request","failure_domains":["a"],
"family_info":{"follow_up":[0,0],"min_share":[1.0,1.0],"need_by_class":[1.0,1.0],"overhead_ms":1.0,"per_call":8,
"places":${PLACES:-1},"shards":${SHARDS:-12},"short_worth":[0.9,0.9],"warm_keys":false,"width":${WIDTH:-1}},
"limits":{"cancel":true,"conn_idle_ms":30000.0,"connect_timeout_ms":250.0,"max_attempts":${ATTEMPTS:-3},"max_open":149,
"max_retry_after_ms":2000.0,"peers":${PEERS:-false},"probes":false,"retry_after":true,"second_copies":true,
"streams_per_conn":32},
"load_info":{"fields":["util"],"how":"inline"},"me":0,
"parties":[{"fraction":1.0,"name":"acme","quota_per_s":1000.0}],
"rules":{"cold_from":0.2,"fall_multiple":4.0,"grace_to_answer_ms":20.0,"must_ask_in_ms":10000.0,
"stop_sending_within_ms":250.0,"tip_after_ms":1000.0,"warm_after_ms":16000.0},
"siblings":${SIBLINGS:-1},"tick_ms":5.0,"zone":0}}
JSON
}
