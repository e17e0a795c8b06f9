# Functions for the measurements: one group, three daemons, the load tool and the checker. Sourced after cluster.sh.

daemons=3
declaration=$root/samples/zadruzna_skrb/ledger_zagreb.service.ini
read -r -a database_names <<<"$(databases_of "$declaration" | cut -d' ' -f1 | tr '\n' ' ')"

# daemon_addresses: the callers' addresses of all daemons, separated by commas.
daemon_addresses() {
    local number addresses=
    for ((number = 1; number <= daemons; ++number)); do
        addresses+="${addresses:+,}$(caller_address "$number")"
    done
    echo "$addresses"
}

served() {
    ask 1 '{"service":"ledger_zagreb","tenant":"zagreb","rank":"payout_confirmation","access":"write",
        "statements":["set warm_up 1"],"idempotency_key":"warm-up","deadline_ms":5000}' | grep -q '"outcome":"done"'
}

# start_measured_group [DAEMON FLAG...]: starts the group and the daemons and waits until they serve it.
start_measured_group() {
    local number
    mkdir -p "$work/declarations"
    cp "$declaration" "$work/declarations"
    start_platform
    start_group "$declaration"
    for ((number = 1; number <= daemons; ++number)); do
        start_daemon "$number" "$daemons" "$@"
    done
    for ((number = 1; number <= daemons; ++number)); do
        wait_for 20 is_ready "$number"
    done
    publish "$work/declarations" >/dev/null
    for ((number = 1; number <= daemons; ++number)); do
        wait_for 13 has_revision "$number"
    done
    wait_for 15 served
}

# stop_measured_group: kills what start_measured_group started and removes the databases' journals.
stop_measured_group() {
    local name
    for name in "${!process_ids[@]}"; do
        stop "$name" KILL
        forget "$name" || true
    done
    rm -f "$work"/*.journal
}

# offer PROFILE [FLAG...]: runs the load tool against all daemons; its table goes to standard output.
offer() {
    local profile=$1
    shift
    "$root/build/utilities/sassafras_load/sassafras_load" --profile="$root/meta/profiles/$profile.ini" \
        --daemons="$(daemon_addresses)" "$@"
}

# check_history FILE: checks a history against the logs that the databases hold now.
check_history() {
    local name address logs=()
    while read -r name address; do
        curl -s -m 10 -d '{}' "http://$address/control/log" >"$work/$name.log.json"
        logs+=("$work/$name.log.json")
    done < <(databases_of "$declaration")
    "$root/build/utilities/sassafras_check/sassafras_check" --history="$1" --database_log "${logs[@]}"
}

# print_conditions: what a reader has to know to judge the figures.
print_conditions() {
    echo "commit $(git -C "$root" rev-parse --short HEAD), $(nproc) processors, load average before the run:" \
        "$(cut -d' ' -f1-3 /proc/loadavg)"
}
