#!/usr/bin/env bash
# run-case.sh FOLDER PROGRAM: plays a case with the gateways of the deploy file. Exits with the status of PROGRAM. Each
# gateway writes its log to a pipe, which a process of its own copies to a file; NODE.reader holds its id.
set -u
case_folder=$(cd "$1" && pwd)
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
gateway=$root/target/platform/gypsumtally-gatewayd
program=$here/build/$2
if [ ! -x "$gateway" ] || [ ! -x "$program" ]; then
    echo "not built: run the build line of deploy/system.toml and review/build-2.sh" >&2
    exit 2
fi
folder=$(mktemp -d)
pids=()
cleanup() {
    [ ${#pids[@]} -eq 0 ] || kill -9 "${pids[@]}" 2>/dev/null
    wait "${pids[@]}" 2>/dev/null
    rm -rf "$folder"
}
trap cleanup EXIT
"$program" "$folder" "$case_folder/record.txt" &
standin=$!
pids+=("$standin")
for _ in $(seq 100); do
    [ -e "$folder/ready" ] && break
    sleep 0.1
done
[ -e "$folder/ready" ] || exit 2
gateways=()
start_gateways() {
    gateways=()
    for settings in "$folder"/*.yaml; do
        node=$(basename "$settings" .yaml)
        [ -e "$folder/$node.pipe" ] || mkfifo "$folder/$node.pipe"
        cat "$folder/$node.pipe" >>"${KEEP_LOGS:-$folder}/$node.log" &
        pids+=("$!")
        echo "$!" >"$folder/$node.reader"
        "$gateway" "--settings=$settings" >"$folder/$node.pipe" 2>&1 &
        gateways+=("$!")
    done
    pids+=("${gateways[@]}")
}
start_gateways
while kill -0 "$standin" 2>/dev/null; do
    if [ -e "$folder/off" ]; then # The gateways are without power for as long as PROGRAM keeps this file.
        kill -9 "${gateways[@]}"
        wait "${gateways[@]}" 2>/dev/null
        while [ -e "$folder/off" ] && kill -0 "$standin" 2>/dev/null; do
            sleep 0.05
        done
        pids=("$standin")
        start_gateways
    fi
    sleep 0.05
done
wait "$standin"
status=$?
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
