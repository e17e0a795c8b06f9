#!/usr/bin/env bash
# Two faults at the same time.
. "$(dirname "$0")/common.sh"
start_cluster 4

begin_scenario "primary killed while the store gives no answer"
store_control outage '{"mode":"silent"}'
sleep 1
old=$(present_primary)
term=$(served_term)
since=$(now_ms)
kill_process "$old"
expect_change_of_primary "$since" "$term"
sleep 1
restart_database "$old"
expect_served
store_control heal
end_scenario

begin_scenario "home daemon and primary killed together"
old=$(present_primary)
term=$(served_term)
number=$(home)
since=$(now_ms)
stop "entry-$number" KILL
stop "$old" KILL
forget "entry-$number" || true
forget "$old" || true
expect_change_of_primary "$since" "$term"
sleep 1
restart_database "$old"
restart_daemon "$number"
expect_served
end_scenario

finish_group
