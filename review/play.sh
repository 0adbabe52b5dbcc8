#!/bin/sh
# Plays a case in a temporary folder, and ends all processes that it has started.
# Usage: play.sh CASE NUMBER with|without (the disruption)
cd "$(dirname "$0")/.." || exit 2
[ -x target/review/stage ] && [ -x target/release/cranberryvalve-node ] || { echo "not built"; exit 2; }
folder=$(mktemp -d) || exit 2
stage=
finish() {
    [ -n "$stage" ] && kill "$stage" 2>/dev/null
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            # An id may belong to another process by now.
            grep -qs '^cranberryvalve-' "/proc/$pid/comm" && kill -9 "$pid" 2>/dev/null
        done < "$folder/pids"
    fi
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
target/review/stage "$1" "review/$2/record.txt" "$folder" "$3" &
stage=$!
wait "$stage"
status=$?
stage=
exit "$status"
