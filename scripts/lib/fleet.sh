# Functions that run a small fleet on loopback addresses, for the demo and for measurements. Requires $bin, the build
# folder. Keeps all files in $work, a temporary folder, and kills only the processes that it started.

work=$(mktemp -d)
net=127.$((RANDOM % 200 + 20))
declare -A pid
declare -A address

stop_fleet() {
    for name in "${!pid[@]}"; do
        kill -KILL "${pid[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_fleet EXIT

# start_fake NAME PROGRAM [FLAG...]: starts a fake and waits until it prints its address.
start_fake() {
    local name=$1 program=$2
    shift 2
    "$bin/tests/fakes/fake-$program" --listen="$net.0.1:0" "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pid[$name]=$!
    for _ in $(seq 200); do
        : >>"$work/$name.out"
        address[$name]=$(sed -n 's/^listening //p' "$work/$name.out")
        [ -n "${address[$name]}" ] && return
        sleep 0.02
    done
    echo "$name did not start"
    cat "$work/$name.log"
    exit 1
}

# control NAME JSON: changes a fake's behaviour.
control() {
    curl -sf -X POST "http://${address[$1]}/fake/control" -d "$2" >/dev/null
}

# journal NAME: prints a fake's journal as JSON.
journal() {
    curl -sf "http://${address[$1]}/fake/journal"
}

# add_vm NAME ROLE REGION [KEY=VALUE...]: adds a VM to the VM list.
add_vm() {
    local name=$1 role=$2 region=$3
    shift 3
    local vm
    vm=$(jq -cn --arg id "$name" --arg role "$role" --arg address "${address[$name]}" --arg region "$region" \
        '{id: $id, role: $role, state: "live", address: $address, region: $region, failure_domain: ($region + "-a")}')
    for pair in "$@"; do
        vm=$(jq -c --arg key "${pair%%=*}" --arg value "${pair#*=}" '.[$key] = $value' <<<"$vm")
    done
    control vmlist "$(jq -cn --argjson vm "$vm" '{upsert: [$vm]}')"
}

# write_keys: generates the peer key file and the operator token file.
write_keys() {
    head -c 24 /dev/urandom | base64 >"$work/peer.key"
    head -c 24 /dev/urandom | base64 >"$work/operator.token"
}

# start_node NAME REGION NUMBER [LEASE_TTL]: starts a daemon.
start_node() {
    local name=$1 region=$2 number=$3 ttl=${4:-5s}
    address[$name]=$net.$number.1:8080
    address[$name.peers]=$net.$number.1:8081
    cat >"$work/$name.yaml" <<YAML
node: $name
region: $region
failure_domain: $region-a
callers: {listen: ${address[$name]}}
peers: {listen: ${address[$name.peers]}}
platform:
  key_value: [${address[keyvalue]}]
  vm_list: ${address[vmlist]}
  weight_store: ${address[weightstore]}
peer_key_files: [$work/peer.key]
operator_token_file: $work/operator.token
log: {level: info, format: json}
lease_ttl: $ttl
YAML
    "$bin/src/daemon/gypsumtallyd" --settings="$work/$name.yaml" 2>"$work/$name.log" &
    pid[$name]=$!
}

# wait_for SECONDS COMMAND...: runs a command every 50 ms until it succeeds. Fails after about SECONDS seconds.
wait_for() {
    local tries=$(($1 * 20))
    shift
    for _ in $(seq "$tries"); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    return 1
}

# ready NAME: succeeds if a daemon accepts calls.
ready() {
    curl -sf "http://${address[$1]}/readyz"
}

# lists_nodes NAME COUNT: succeeds if a daemon lists exactly COUNT nodes to callers.
lists_nodes() {
    [ "$(curl -sf "http://${address[$1]}/v1/entries" | jq '.entries | length')" = "$2" ]
}
