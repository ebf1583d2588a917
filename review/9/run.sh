#!/bin/bash
# A recorded multiget of two shards, one of which is being moved: what the record says of the other part.
cd "$(dirname "$0")/../.." || exit 2
CASE=$PWD/review/9
CATCH_UP_MS=1000 FIRST_EVERY_MS=400
. review/tools-2/common.sh
. review/tools-2/placement.sh
mkdir "$TMP/store"
printf '[store]\nkind = "sqlite"\nfolder = "%s"\n' "$TMP/store" >>"$TMP/pinedoor.toml"
WORK_MS=120
box() {
    start "box$1" "$BIN/box2" --name "s-$1" --port "$2" --map "$TMP/map.json" --state "$TMP/s-$1.state" \
        --source "$3" --catch-up-ms "$CATCH_UP_MS" --work-ms "$WORK_MS" --record "$RECORD"
}
begin
if [ "$TROUBLE" != 0 ]; then
    mover m1 "$TMP/fleet.toml"
    until_line 10 's-1 move fence 1 shard 1 yes' || verdict 2 "no fence"
fi
note "asked: $(ask during once 0,7 3 150)"
sleep 2
build/pinedoor store -s "$TMP/pinedoor.toml" export --format csv >>"$RECORD"
# Parts of the second shard that have run, and what the record has of them.
wrong=0
for name in $(sed -n 's/.* runs \(during-[0-9]*-[0-9]*\)[.~].* shard 2 .*/\1/p' "$RECORD" | sort -u); do
    line=$(grep "once,[^,]*,$name," "$RECORD" | tail -n 1)
    note "ran at s-2: $name; recorded: $line"
    case $line in *7r*|*7m*) ;; *) wrong=$((wrong + 1));; esac
done
note "records that have another fate of a part that ran: $wrong"
[ "$wrong" = 0 ] && verdict 0 "held"
verdict 1 "broken: the store of record has a part that ran as never sent"
