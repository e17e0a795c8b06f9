# Functions that start and stop stand-ins and daemons on loopback. Sourced by meta/demo and the measurements.
# Every process that these functions start is stopped by its id when the calling script ends.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
work=$(mktemp -d)
declare -A process_ids=()

stop_all() {
    local name
    for name in "${!process_ids[@]}"; do
        kill -CONT "${process_ids[$name]}" 2>/dev/null || true
        kill -KILL "${process_ids[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: runs a command in the background with its output in $work/NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    process_ids[$name]=$!
}

# stop NAME SIGNAL: sends a signal to a process that `start` started.
stop() {
    kill "-$2" "${process_ids[$1]}"
}

# forget NAME: waits for a process that was stopped and returns its exit code.
forget() {
    local id=${process_ids[$1]} code=0
    wait "$id" 2>/dev/null || code=$?
    unset "process_ids[$1]"
    return "$code"
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds; fails after that time.
wait_for() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$deadline" ] || return 1
        sleep 0.05
    done
}

now_ms() { date +%s%3N; }

platform_address=127.0.0.1:7090

start_platform() {
    start platform "$root/build/stand_ins/platform/stand_in_platform" --listen="$platform_address" "$@"
    wait_for 5 curl -s -o /dev/null -m 1 "http://$platform_address/"
}

# databases_of FILE: prints `name address` for each database of a declaration.
databases_of() {
    awk -F'[][ =]+' '/^\[database /{name=$3} /^\[/{if ($2 != "database") name=""} /^address/{if (name != "") print name, $2}' "$1"
}

# value_of FILE KEY: prints a value of the [service] section.
value_of() {
    awk -F' *= *' -v key="$2" '$1 == key {print $2; exit}' "$1"
}

# start_database FILE NAME [FLAG...]: starts one database of a declared group; its journal survives a restart.
start_database() {
    local file=$1 name=$2 address peers
    shift 2
    address=$(databases_of "$file" | awk -v name="$name" '$1 == name {print $2}')
    peers=$(databases_of "$file" | awk '{printf "%s%s=%s", sep, $1, $2; sep=","}')
    start "$name" "$root/build/stand_ins/database/stand_in_database" --name="$name" \
        --group="$(value_of "$file" name)" --listen="$address" --peers="$peers" \
        --slots="$(value_of "$file" slots)" --connections="$(value_of "$file" connections)" \
        --journal="$work/$name.journal" "$@"
}

# start_group FILE [FLAG...]: starts all databases of a declaration; the first one is the first primary.
start_group() {
    local file=$1 first=--initial_primary name
    shift
    for name in $(databases_of "$file" | cut -d' ' -f1); do
        start_database "$file" "$name" $first "$@"
        first=
    done
}

# caller_address N, operator_address N, peer_address N: the addresses of daemon N (1, 2, ...).
caller_address() { echo "127.0.0.1:$((6991 + 10 * $1))"; }
operator_address() { echo "127.0.0.1:$((6992 + 10 * $1))"; }
peer_address() { echo "127.0.0.1:$((6993 + 10 * $1))"; }

# start_daemon N COUNT [FLAG...]: starts daemon N of COUNT.
start_daemon() {
    local number=$1 count=$2 domains=(a b c d) seeds= other
    shift 2
    for ((other = 1; other <= count; ++other)); do
        [ "$other" = "$number" ] || seeds+="${seeds:+, }$(peer_address "$other")"
    done
    cat >"$work/daemon-$number.ini" <<INI
[daemon]
name = entry-$number
region = ${region:-croatia}
failure_domain = ${domains[(number - 1) % 4]}
token_key = secret-of-this-demonstration
threads = ${threads:-2}
drain_deadline_ms = 10000
log_level = ${log_level:-info}
[callers]
address = $(caller_address "$number")
[operators]
address = $(operator_address "$number")
[peers]
address = $(peer_address "$number")
seeds = $seeds
[platform]
address = $platform_address
INI
    start "entry-$number" "$root/build/services/sassafrasdeald/sassafrasdeald" \
        --settings="$work/daemon-$number.ini" "$@"
}

is_ready() { curl -sf -o /dev/null -m 1 "http://$(operator_address "$1")/readyz"; }

# has_revision N: whether daemon N has a configuration in force.
has_revision() {
    curl -sf -m 1 "http://$(operator_address "$1")/status" | grep -q '"configuration_revision":[1-9]'
}

# publish DIRECTORY: puts the declarations below a directory into force.
publish() {
    "$root/build/utilities/sassafrasctl/sassafrasctl" publish "$1" --platform="$platform_address" \
        --publisher="${publisher:-demonstration}"
}

# ask N BODY [CURL OPTION...]: sends a request to daemon N and prints its answer.
ask() {
    local number=$1 body=$2
    shift 2
    curl -s -m 15 "$@" -H 'Content-Type: application/json' -d "$body" "http://$(caller_address "$number")/v1/request"
}

# json_text NAME: prints a string member of the JSON object on standard input.
json_text() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p"; }
