# Functions of the failure scenarios, on top of meta/cluster.sh. A scenario begins with `begin_scenario`, stages its
# fault, notes each broken promise with `fail`, and ends with `end_scenario`, which prints its line.

set -euo pipefail
. "$(dirname "${BASH_SOURCE[0]}")/../cluster.sh"

scenarios=$root/meta/scenarios
group=ledger_zagreb
declarations=$work/declarations
declaration=$declarations/$group.service.ini
databases=(ledger_zagreb_1 ledger_zagreb_2 ledger_zagreb_3)
# Limits of the design page: a change of primary, and a revision in force everywhere.
takeover_limit_ms=6000
revision_limit_ms=13000
# "No new work after a few seconds."
leaving_limit_ms=3000
log_level=${log_level:-info}

daemon_count=0
scenario=
runs=0
passed=0
failed=0
declare -a reasons=()

# start_cluster COUNT: one group of three databases, the platform and COUNT daemons, with a revision in force.
start_cluster() {
    local number
    daemon_count=$1
    mkdir -p "$declarations"
    cp "$root/samples/zadruzna_skrb/$group.service.ini" "$declaration"
    start_platform
    start_group "$declaration"
    for ((number = 1; number <= daemon_count; ++number)); do
        start_daemon "$number" "$daemon_count"
    done
    for ((number = 1; number <= daemon_count; ++number)); do
        wait_for 20 is_ready "$number" || { echo "entry-$number did not become ready"; exit 2; }
    done
    publish "$declarations" >"$work/publish.log" || { cat "$work/publish.log"; exit 2; }
    for ((number = 1; number <= daemon_count; ++number)); do
        wait_for 20 has_revision "$number" || { echo "entry-$number has no configuration"; exit 2; }
    done
    wait_for 20 is_served || { echo "the cluster does not serve"; exit 2; }
}

is_served() {
    local number=${1:-1}
    ask "$number" '{"service":"'$group'","tenant":"zagreb","rank":"payout_confirmation","access":"read",
        "statements":["get contributions"],"read_class":"fresh","deadline_ms":3000}' | grep -q '"outcome":"done"'
}

address_of() { databases_of "$declaration" | awk -v name="$1" '$1 == name {print $2}'; }

# control DATABASE PATH [BODY]: stages a fault, or reads the log or the counts.
control() { curl -sf -m 5 -d "${3-}" "http://$(address_of "$1")/control/$2"; }

# store_control PATH [BODY]: stages a fault of the platform's store.
store_control() { curl -sf -m 5 -o "$work/store_control" -d "${2-}" "http://$platform_address/control/$1"; }

# status_of DATABASE: its status, or nothing.
status_of() { curl -sf -m 1 -d '{"id":1}' "http://$(address_of "$1")/v1/status" || true; }

number_of() { sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"; }

# present_primary: the primary of the greatest term.
present_primary() {
    local name status
    for name in "${databases[@]}"; do
        status=$(status_of "$name")
        if [ "$(json_text role <<<"$status")" = primary ]; then
            echo "$(sed 's/.*"term":\([0-9]*\),"role".*/\1/' <<<"$status") $name"
        fi
    done | sort -n | tail -n 1 | cut -d' ' -f2
}

# term_known_to DAEMON: the term in which that daemon, as the home, has a primary that takes work; else nothing.
term_known_to() {
    curl -sf -m 1 "http://$(operator_address "$1")/status" |
        sed -n 's/.*"group":"'$group'","term":\([0-9]*\),"primary":"[^"]\{1,\}".*/\1/p'
}

# served_term: the greatest term in which a home has a primary that takes work, or 0.
served_term() {
    local number term greatest=0
    for ((number = 1; number <= daemon_count; ++number)); do
        [ -n "${process_ids[entry-$number]-}" ] || continue
        term=$(term_known_to "$number") || true
        [ "${term:-0}" -le "$greatest" ] || greatest=$term
    done
    echo "$greatest"
}

# home: the number of the home daemon, as the first running daemon sees it.
home() {
    local number
    for ((number = 1; number <= daemon_count; ++number)); do
        [ -n "${process_ids[entry-$number]-}" ] || continue
        curl -sf -m 1 -d '{"service":"'$group'","tenant":"zagreb","rank":"payout_confirmation"}' \
            "http://$(operator_address "$number")/explain" | sed -n 's/.*"home":"entry-\([0-9]*\)".*/\1/p' && return
    done
}

# other_daemon: the number of a running daemon that is not the home.
other_daemon() {
    local home number
    home=$(home)
    for ((number = 1; number <= daemon_count; ++number)); do
        [ "$number" = "$home" ] || { echo "$number"; return; }
    done
}

fail() { reasons+=("$1"); }

# begin_scenario NAME: starts the callers and lets them warm up.
begin_scenario() {
    local number addresses=
    scenario=$1
    reasons=()
    runs=$((runs + 1))
    for ((number = 1; number <= daemon_count; ++number)); do
        addresses+="${addresses:+,}$(caller_address "$number")"
    done
    start callers python3 "$scenarios/workload.py" run --daemons="$addresses" --run="run$runs" \
        --history="$work/history"
    sleep 1
}

has_same_end() {
    local name ends=
    for name in "${databases[@]}"; do
        ends+="$(status_of "$name" | sed 's/.*"last":\({[^}]*}\).*/\1/')"$'\n'
    done
    [ "$(printf '%s' "$ends" | sort -u | wc -l)" = 1 ]
}

# end_scenario [CHECK OPTION...]: stops the callers, compares their history with the logs and prints the line.
end_scenario() {
    local name result logs=()
    stop callers TERM
    forget callers || fail "the callers failed: $(tail -n 1 "$work/callers.log")"
    wait_for 10 has_same_end || fail "the databases did not catch up"
    for name in "${databases[@]}"; do
        control "$name" log >"$work/$name.entries" || fail "no log of $name"
        logs+=("$work/$name.entries")
    done
    result=$(python3 "$scenarios/workload.py" check --history="$work/history" "$@" \
        "${logs[@]}" 2>&1) || fail "$(tail -n +2 <<<"$result" | paste -sd '|')"
    summary=$(head -n 1 <<<"$result")
    print_verdict
}

# print_verdict: prints the line of a scenario and counts it.
print_verdict() {
    if [ "${#reasons[@]}" -eq 0 ]; then
        passed=$((passed + 1))
        printf 'ok      %s (%s)\n' "$scenario" "${summary:-}"
    else
        failed=$((failed + 1))
        printf 'FAILED  %s (%s): %s\n' "$scenario" "${summary:-}" "$(printf '%s; ' "${reasons[@]}")"
        if [ -n "${keep_logs:-}" ]; then
            mkdir -p "$keep_logs/$scenario"
            cp "$work"/*.log "$work/history" "$keep_logs/$scenario/" 2>/dev/null || true
        fi
    fi
    summary=
}

# finish_group: the last line of a scenario file, read by meta/failures.
finish_group() { echo "group: $passed $failed"; }

# expect_change_of_primary SINCE_MS OLD_TERM: a home has a primary of a greater term within the limit.
expect_change_of_primary() {
    local took
    until [ "$(served_term)" -gt "$2" ]; do
        if [ $(($(now_ms) - $1)) -gt $((takeover_limit_ms + 4000)) ]; then
            fail "no new primary"
            return 0
        fi
        sleep 0.05
    done
    took=$(($(now_ms) - $1))
    [ "$took" -le "$takeover_limit_ms" ] || fail "the change of primary took $took ms"
}

# expect_same_term TERM: no takeover has happened since.
expect_same_term() {
    local term
    term=$(served_term)
    [ "$term" = "$1" ] || fail "the term went from $1 to $term"
}

# expect_served: every running daemon serves a fresh read.
expect_served() {
    local number
    for ((number = 1; number <= daemon_count; ++number)); do
        [ -n "${process_ids[entry-$number]-}" ] || continue
        wait_for 8 is_served "$number" || fail "entry-$number does not serve"
    done
}

# kill_process NAME: ends a process at once and waits for it.
kill_process() {
    stop "$1" KILL
    forget "$1" || true
}

# restart_daemon NUMBER: starts a daemon that was stopped and waits until it is ready.
restart_daemon() {
    start_daemon "$1" "$daemon_count"
    wait_for 20 is_ready "$1" || fail "entry-$1 did not become ready again"
}

# restart_database NAME: starts a database that was stopped, with its journal, and waits until it answers.
restart_database() {
    start_database "$declaration" "$1"
    wait_for 5 curl -sf -m 1 -d '{"id":1}' "http://$(address_of "$1")/v1/status" || fail "$1 did not start again"
}

# revision_of NUMBER: the revision in force at a daemon, or nothing.
revision_of() { curl -sf -m 1 "http://$(operator_address "$1")/status" | number_of configuration_revision; }
