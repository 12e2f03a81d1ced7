#!/usr/bin/env bash
# Builds the stand-ins and the scenario of each case into review/bin. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=(-std=c++20 -O1 -g -D_GNU_SOURCE -DBOOST_ALLOW_DEPRECATED_HEADERS -Wall -Wextra -Isrc -Itests -Ireview/standin)
common=(review/standin/store.cpp review/standin/upstream.cpp review/standin/crashingworker.cpp review/standin/silentproxy.cpp
    review/standin/installation.cpp src/relay/requestreader.cpp src/relay/responsereader.cpp
    src/relay/callerserver.cpp src/relay/upstreamclient.cpp src/http/message.cpp src/http/eventloop.cpp
    tests/processes/childprocess.cpp tests/processes/reservedport.cpp)
compile() {
    local object=review/bin/$(echo "${1%.cpp}" | tr / -).o
    g++ "${flags[@]}" -c "$1" -o "$object"
}
export -f compile
shopt -s nullglob
scenarios=(review/[1-5]/scenario.cpp)
pids=()
for source in "${common[@]}" "${scenarios[@]}"; do
    compile "$source" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
objects=()
for source in "${common[@]}"; do objects+=("review/bin/$(echo "${source%.cpp}" | tr / -).o"); done
for source in "${scenarios[@]}"; do
    number=$(basename "$(dirname "$source")")
    g++ -o "review/bin/scenario-$number" "review/bin/review-$number-scenario.o" "${objects[@]}" \
        -lboost_json -labsl_strings -labsl_strings_internal -labsl_raw_logging_internal -labsl_int128 -pthread
done
