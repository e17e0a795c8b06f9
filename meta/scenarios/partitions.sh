#!/usr/bin/env bash
# Cuts between daemons and primary, between primary and replicas, and connections that go silent.
. "$(dirname "$0")/common.sh"
start_cluster 4
silence_limit_ms=6000

# cut_daemons DIRECTION: cuts the link between the primary and every daemon; its replicas still reach it.
cut_daemons() {
    local number
    for ((number = 1; number <= daemon_count; ++number)); do
        control "$old" cut '{"direction":"'"$1"'","peer":"entry-'$number'"}' >"$work/cut"
    done
}

for direction in in out both; do
    begin_scenario "primary cut off from all daemons, direction $direction"
    old=$(present_primary)
    term=$(served_term)
    since=$(now_ms)
    cut_daemons "$direction"
    expect_change_of_primary "$since" "$term"
    sleep 1
    new_term=$(served_term)
    control "$old" heal >"$work/cut"
    sleep 1
    expect_same_term "$new_term"
    expect_served
    end_scenario
done

begin_scenario "primary cut off from its replicas"
old=$(present_primary)
for name in "${databases[@]}"; do
    [ "$name" = "$old" ] || control "$old" cut '{"direction":"both","peer":"'"$name"'"}' >"$work/cut"
    [ "$name" = "$old" ] || control "$name" cut '{"direction":"both","peer":"'"$old"'"}' >"$work/cut"
done
sleep 4
for name in "${databases[@]}"; do
    control "$name" heal >"$work/cut"
done
expect_served
end_scenario

begin_scenario "home daemon alone cannot reach the primary"
old=$(present_primary)
term=$(served_term)
number=$(home)
control "$old" cut '{"direction":"both","peer":"entry-'"$number"'"}' >"$work/cut"
sleep 5
for name in "${databases[@]}"; do
    found=$(status_of "$name" | sed 's/.*"term":\([0-9]*\),"role".*/\1/')
    [ "$found" = "$term" ] || fail "$name is in term $found, not $term: the primary was deposed"
done
control "$old" heal >"$work/cut"
expect_served
expect_same_term "$term"
end_scenario

begin_scenario "connections to the primary go silent"
term=$(served_term)
since=$(now_ms)
control "$(present_primary)" silence >"$work/cut"
wait_for 15 is_served || fail "no service over new connections"
took=$(($(now_ms) - since))
# The home gives up silent connections once a fresh one works, long before the requests' deadline of 8 s.
[ "$took" -le "$silence_limit_ms" ] || fail "service was back after $took ms"
sleep 2
expect_served
expect_same_term "$term"
end_scenario

finish_group
