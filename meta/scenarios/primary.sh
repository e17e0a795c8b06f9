#!/usr/bin/env bash
# Primary, replica and daemons that are killed or paused under load.
. "$(dirname "$0")/common.sh"
start_cluster 4

begin_scenario "primary killed"
old=$(present_primary)
term=$(served_term)
since=$(now_ms)
kill_process "$old"
expect_change_of_primary "$since" "$term"
sleep 1
restart_database "$old"
expect_served
end_scenario

begin_scenario "replica killed"
term=$(served_term)
primary=$(present_primary)
for name in "${databases[@]}"; do
    [ "$name" = "$primary" ] || replica=$name
done
kill_process "$replica"
sleep 2
expect_same_term "$term"
restart_database "$replica"
expect_served
end_scenario

begin_scenario "primary paused and continued"
old=$(present_primary)
term=$(served_term)
since=$(now_ms)
stop "$old" STOP
expect_change_of_primary "$since" "$term"
sleep 1
new_term=$(served_term)
stop "$old" CONT
sleep 2
[ "$(present_primary)" != "$old" ] || fail "the paused primary is the primary again"
expect_same_term "$new_term"
expect_served
end_scenario

begin_scenario "home daemon killed during transactions"
number=$(home)
kill_process "entry-$number"
sleep 3
expect_served
restart_daemon "$number"
end_scenario
primary=$(present_primary)
open_transactions=$(control "$primary" counts | number_of transactions_open)

begin_scenario "other daemon killed during transactions"
[ "$open_transactions" = 0 ] || fail "$open_transactions transactions of the killed home are still open"
number=$(other_daemon)
kill_process "entry-$number"
sleep 2
expect_served
restart_daemon "$number"
end_scenario

begin_scenario "callers leave transactions open"
for ((index = 1; index <= 16; ++index)); do
    ask 1 '{"service":"'$group'","tenant":"zagreb","rank":"payout_confirmation","access":"write","statements":[],
        "transaction":{"step":"begin"},"deadline_ms":8000}' >"$work/begun-$index" &
done
sleep 1
outcome=$(ask 2 '{"service":"'$group'","tenant":"zagreb","rank":"payout_confirmation","access":"write",
    "statements":["set urgent 1"],"deadline_ms":3000}' | json_text outcome)
[ "$outcome" = done ] || fail "a write was ${outcome:-not answered} while transactions were left open"
sleep 1
end_scenario

finish_group
