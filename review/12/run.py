"""The primary of a service with `sync-replicas` 1 crashes while one replica receives nothing and the other
one has no free connection."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_3"))
import deployment as d  # noqa: E402

DEAF_FOR_S = 6.0
RESTING_CLIENTS = 20  # on each daemon
REST_S = 2.5  # below `tx-idle-ms`, 3,000


async def rest_in_transactions(fleet, daemon, end):
    client = d.Client(fleet, daemon, "lookups")
    try:
        await client.start()
        while time.monotonic() < end:
            await client.run("BEGIN FETCH")
            await client.run("FETCH member-2")
            await asyncio.sleep(REST_S)
            await client.run("COMMIT")
    except (OSError, AttributeError):
        pass
    client.close()


async def main(fleet, has_trouble):
    record, service = fleet.record, fleet.service
    primary, holder, deaf = service.databases
    writer = d.Client(fleet, fleet.daemons[0], "payouts")
    record("start: " + await writer.start())
    acknowledged = []

    async def write():
        value = "v%04d" % (len(acknowledged) + 1)
        answer = await writer.run("STORE member-%s x%s" % (value, value))
        if answer and answer[1] and answer[1].startswith("COMPLETE"):
            acknowledged.append(value)

    end = time.monotonic() + 16
    await asyncio.sleep(3)
    for _ in range(20):
        await write()
    if has_trouble:
        deaf.is_deaf = True
        asyncio.get_running_loop().call_later(DEAF_FOR_S, service.hear_again, deaf)
        record("%s receives nothing" % deaf.id)
    resting = []
    stop = time.monotonic() + 3
    while time.monotonic() < stop - 1:
        await write()
        await asyncio.sleep(0.05)
    resting = [asyncio.ensure_future(rest_in_transactions(fleet, daemon, end))
               for daemon in fleet.daemons for _ in range(RESTING_CLIENTS)]
    while time.monotonic() < stop:
        await write()
        await asyncio.sleep(0.05)
    record("%d commits acknowledged; %s holds %d, %s holds %d; connections %s" % (
        len(acknowledged), holder.id, len(holder.log), deaf.id, len(deaf.log),
        [len(one.connections) for one in service.databases]))
    if has_trouble:
        primary.crash()
        record("%s crashes" % primary.id)
    await asyncio.sleep(7)
    record("connections that were refused: %s" % [one.refused_connections for one in service.databases])
    for task in resting:
        task.cancel()
    for one in fleet.daemons:
        for line in one.log_lines("takeover_"):
            record("%s: %s" % (one.name, line))
    if not has_trouble:
        return d.RULE_HELD if not service.promotions else d.NOT_RUN
    if not service.promotions:
        return d.NOT_RUN
    promoted, log = service.promotions[0]
    kept = {data[1:] for commit in log for _, _, data in commit.writes}
    lost = [name for name in acknowledged if name not in kept]
    record("%s was promoted with %d commits; %d acknowledged commits are not in its log" % (
        promoted.id, len(log), len(lost)))
    if lost:
        record("LOST: " + " ".join(lost))
    return d.RULE_BROKEN if lost else d.RULE_HELD


d.run_case(FOLDER, main, sync_replicas=1)
