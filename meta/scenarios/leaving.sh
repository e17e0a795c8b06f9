#!/usr/bin/env bash
# Databases that leave and daemons that are drained, under load.
. "$(dirname "$0")/common.sh"
start_cluster 4

begin_scenario "primary leaves"
old=$(present_primary)
term=$(served_term)
since=$(now_ms)
control "$old" leave >"$work/leave"
expect_change_of_primary "$since" "$term"
[ "$(present_primary)" != "$old" ] || fail "the primary role did not move"
sleep 6
last=$(control "$old" counts | number_of last_work_after_leaving_ms)
[ "$last" -le "$leaving_limit_ms" ] || fail "new work came $last ms after the database had left"
kill_process "$old"
restart_database "$old"
expect_served
end_scenario

begin_scenario "replica leaves"
primary=$(present_primary)
term=$(served_term)
for name in "${databases[@]}"; do
    [ "$name" = "$primary" ] || replica=$name
done
control "$replica" leave >"$work/leave"
sleep 6
expect_same_term "$term"
last=$(control "$replica" counts | number_of last_work_after_leaving_ms)
[ "$last" -le "$leaving_limit_ms" ] || fail "new work came $last ms after the database had left"
kill_process "$replica"
restart_database "$replica"
expect_served
end_scenario

# drain NUMBER: drains a daemon with SIGTERM and checks that it finished its work.
drain() {
    local code=0
    stop "entry-$1" TERM
    forget "entry-$1" || code=$?
    [ "$code" = 0 ] || fail "the drained daemon returned $code: $(grep -a 'drain' "$work/entry-$1.log" | tail -n 1)"
    expect_served
    restart_daemon "$1"
}

begin_scenario "home daemon drained"
number=$(home)
drain "$number"
end_scenario --whole="$(caller_address "$number")"

begin_scenario "other daemon drained"
number=$(other_daemon)
drain "$number"
end_scenario --whole="$(caller_address "$number")"

finish_group
