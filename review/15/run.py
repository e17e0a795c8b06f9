"""A daemon is suspended while a primary is replaced as planned, and goes on with reads waiting at its sockets."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_3"))
import deployment as d  # noqa: E402

LAG_S = 0.06

SESSIONS = 100  # on the daemon that is suspended
SUSPENDED_FOR_S = 5.0
RELEASES = 8


async def main(fleet, has_trouble):
    record, service = fleet.record, fleet.service
    for one in service.databases:
        one.lag_s = LAG_S
    # Daemons that have just started wait longer before they replace a primary.
    await asyncio.sleep(16)
    leader = fleet.leader()
    suspended = next(one for one in fleet.daemons if one is not leader)
    writer = d.Client(fleet, next(one for one in fleet.daemons if one is not suspended), "payouts")
    await writer.start()
    acknowledged = 0
    number = 0

    async def write():
        nonlocal number, acknowledged
        number += 1
        answer = await writer.run("STORE member-1 v%06d" % number)
        if answer and answer[1].startswith("COMPLETE"):
            acknowledged = number

    readers = [d.Client(fleet, suspended, "payouts") for _ in range(SESSIONS)]

    async def read(client):
        """Returns whether the read is stale."""
        if client.writer is None or client.writer.is_closing():
            await client.start()
        needed = acknowledged
        answer = await client.run("FETCH member-1")
        if answer is None:
            client.close()
            client.writer = None
            return False
        if not answer[1].startswith("COMPLETE"):
            return False
        seen = int(answer[0][0][1:]) if answer[0][0] != "none" else 0
        if seen < needed:
            record("STALE: read returned v%06d by %s; v%06d was acknowledged before it was sent" % (
                seen, answer[1].split(".")[1], needed))
        return seen < needed

    stale = 0
    is_open = asyncio.Event()
    transact = fleet.store.transact

    async def suspend_at_takeover(change):
        if has_trouble and is_open.is_set() and any("takeover" in put["key"] for put in change.get("puts", [])):
            is_open.clear()
            os.kill(suspended.process.pid, signal.SIGSTOP)
            os.waitpid(suspended.process.pid, os.WUNTRACED)
            record("%s is suspended" % suspended.name)
        return await transact(change)

    fleet.store.transact = suspend_at_takeover
    releases = 0
    for _ in range(RELEASES):
        for _ in range(5):
            await write()
            stale += sum(await asyncio.gather(*[read(one) for one in readers]))
        old = next(one for one in service.databases if one.is_primary)
        led = len(service.promotions)
        is_open.set()
        old.state = "draining"
        await service.list(old)
        started_at = time.monotonic()
        record("%s reports draining" % old.id)
        if has_trouble:
            while is_open.is_set() and time.monotonic() < started_at + 5:
                await asyncio.sleep(0.005)
            if is_open.is_set():
                return d.NOT_RUN
        end = time.monotonic() + SUSPENDED_FOR_S
        while time.monotonic() < end:
            await write()
            await asyncio.sleep(0.01)
        if len(service.promotions) > led:
            releases += 1
        reads = asyncio.gather(*[read(one) for one in readers])
        await asyncio.sleep(0.02)
        if has_trouble:
            os.kill(suspended.process.pid, signal.SIGCONT)
            record("%s goes on" % suspended.name)
        stale += sum(await reads)
        if stale:
            break
        await asyncio.sleep(max(0.0, started_at + 7.5 - time.monotonic()))
        await service.replace(old)
        await asyncio.sleep(0.5)
    record("%d releases while the daemon was suspended, %d stale reads" % (releases, stale))
    if not releases:
        return d.NOT_RUN
    return d.RULE_BROKEN if stale else d.RULE_HELD


d.run_case(FOLDER, main)
