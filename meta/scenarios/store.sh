#!/usr/bin/env bash
# The platform's store is down, slow or loses answers; operators race.
. "$(dirname "$0")/common.sh"
start_cluster 5

control_tool=$root/build/utilities/sassafrasctl/sassafrasctl

# change_declaration: writes other content, so that the next publication is a new revision.
change=0
change_declaration() {
    change=$((change + 1))
    sed -i "s/^queue_items = .*/queue_items = $((10000 + change))/" "$declaration"
}

# publish_as NAME DIRECTORY [FLAG...]: publishes and keeps output and exit code in $work/NAME.out and $work/NAME.code.
publish_as() {
    local name=$1 directory=$2 code=0
    shift 2
    "$control_tool" publish "$directory" --platform="$platform_address" --publisher="$name" "$@" \
        >"$work/$name.out" 2>&1 || code=$?
    echo "$code" >"$work/$name.code"
}

# expect_revision SINCE_MS REVISION: every running daemon has at least this revision within the limit.
expect_revision() {
    local number took
    for ((number = 1; number <= daemon_count; ++number)); do
        [ -n "${process_ids[entry-$number]-}" ] || continue
        until [ "$(revision_of "$number" || echo 0)" -ge "$2" ]; do
            if [ $(($(now_ms) - $1)) -gt $((revision_limit_ms + 3000)) ]; then
                fail "entry-$number does not have revision $2"
                break
            fi
            sleep 0.05
        done
    done
    took=$(($(now_ms) - $1))
    [ "$took" -le "$revision_limit_ms" ] || fail "revision $2 was in force everywhere after $took ms"
}

# greatest_revision: the greatest revision that a running daemon has.
greatest_revision() {
    local number revision greatest=0
    for ((number = 1; number <= daemon_count; ++number)); do
        revision=$(revision_of "$number" || echo 0)
        [ "${revision:-0}" -le "$greatest" ] || greatest=$revision
    done
    echo "$greatest"
}

# next_revision AFTER: waits until a daemon has a revision after that one and prints it.
next_revision() {
    local deadline=$((SECONDS + 13)) revision
    while :; do
        revision=$(greatest_revision)
        [ "$revision" -le "$1" ] || { echo "$revision"; return; }
        [ "$SECONDS" -lt "$deadline" ] || { echo "$(($1 + 1))"; return; }
    done
}

# watch_revisions: notes the revision of every daemon that is ready, again and again.
watch_revisions() {
    local number
    while :; do
        for ((number = 1; number <= daemon_count; ++number)); do
            is_ready "$number" && echo "$number $(revision_of "$number")"
        done
        sleep 0.05
    done
}
start revisions watch_revisions

# expect_no_older_revision: no daemon that was ready ever had a lower revision than before.
expect_no_older_revision() {
    awk 'NF == 2 { if ($2 < seen[$1]) { print; bad = 1 } seen[$1] = $2 } END { exit bad }' "$work/revisions.log" \
        >"$work/older" || fail "a daemon went back: $(paste -sd '|' "$work/older")"
}

begin_scenario "store down during requests and a takeover"
store_control outage '{"mode":"close"}'
sleep 1
old=$(present_primary)
term=$(served_term)
since=$(now_ms)
kill_process "$old"
expect_change_of_primary "$since" "$term"
restart_database "$old"
expect_served
store_control heal
end_scenario

begin_scenario "store slow during requests and a publication"
before=$(greatest_revision)
store_control slow '{"milliseconds":1500}'
change_declaration
publish_as slow "$declarations"
since=$(now_ms)
[ "$(cat "$work/slow.code")" = 0 ] || fail "publishing failed: $(cat "$work/slow.out")"
revision=$(next_revision "$before")
expect_revision "$since" "$revision"
store_control heal
expect_served
end_scenario

begin_scenario "store loses the answer to a publication"
before=$(greatest_revision)
store_control lose_answers '{"count":1}'
change_declaration
publish_as unanswered "$declarations"
since=$(now_ms)
[ "$(cat "$work/unanswered.code")" = 0 ] || fail "publishing failed: $(cat "$work/unanswered.out")"
expect_revision "$since" "$(next_revision "$before")"
store_control heal
end_scenario

begin_scenario "two operators publish at once"
before=$(greatest_revision)
for name in ana berislav; do
    mkdir -p "$work/$name"
    change_declaration
    cp "$declaration" "$work/$name/"
done
# Both have read the present revision before either of them writes.
store_control slow '{"milliseconds":700}'
publish_as ana "$work/ana" &
first=$!
publish_as berislav "$work/berislav" &
second=$!
wait "$first" "$second"
store_control heal
since=$(now_ms)
case "$(cat "$work/ana.code") $(cat "$work/berislav.code")" in
    "0 3") winner=ana loser=berislav ;;
    "3 0") winner=berislav loser=ana ;;
    *) fail "exit codes $(cat "$work/ana.code" "$work/berislav.code" | paste -sd ' '), not one 0 and one 3" ;;
esac
if [ -n "${winner-}" ]; then
    grep -q "of $winner is in force" "$work/$loser.out" || fail "$loser was not told who won: $(cat "$work/$loser.out")"
    cp "$work/$winner/$group.service.ini" "$declaration"
fi
revision=$(next_revision "$before")
expect_revision "$since" "$revision"
publish_as again "$declarations"
[ "$(cat "$work/again.code")" = 0 ] || fail "publishing the same content again failed: $(cat "$work/again.out")"
sleep 1
[ "$(greatest_revision)" = "$revision" ] || fail "the same content became revision $(greatest_revision)"
end_scenario

begin_scenario "store down while a revision spreads and a daemon restarts"
before=$(greatest_revision)
change_declaration
publish_as spreading "$declarations"
since=$(now_ms)
revision=$(next_revision "$before")
store_control outage '{"mode":"silent"}'
expect_revision "$since" "$revision"
kill_process entry-3
restart_daemon 3
[ "$(revision_of 3)" = "$revision" ] || fail "the restarted daemon has revision $(revision_of 3), not $revision"
expect_served
store_control heal
sleep 1
end_scenario

scenario="no daemon goes back to an older revision"
reasons=()
kill_process revisions
expect_no_older_revision
summary="$(wc -l <"$work/revisions.log") observations"
print_verdict

finish_group
