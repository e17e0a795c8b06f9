"""A daemon is suspended while the primary's failed answer to a BEGIN is on its way."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_3"))
import deployment as d  # noqa: E402

LAG_S = 3.6  # 60 ms x 60, replica_lag
SUSPENDED_FOR_S = 0.65
STALENESS_S = 1.5


async def main(fleet, has_trouble):
    record, service = fleet.record, fleet.service
    primary = service.databases[0]
    reader_daemon, writer_daemon = fleet.daemons[0], fleet.daemons[1]
    commits = []  # rows of the time of the acknowledgement and the value
    writer = d.Client(fleet, writer_daemon, "payouts")
    reader = d.Client(fleet, reader_daemon, "lookups")
    beginner = d.Client(fleet, reader_daemon, "payouts")
    for one in (writer, reader, beginner):
        record("start: " + await one.start())
    number = 0

    async def write():
        nonlocal number
        number += 1
        value = "v%04d" % number
        answer = await writer.run("STORE member-1 " + value)
        if answer and answer[1] and answer[1].startswith("COMPLETE"):
            commits.append((time.monotonic(), number))
        return answer

    def newest_before(moment):
        return max([value for at, value in commits if at < moment], default=0)

    worst = 0.0
    stale = 0

    async def read(what):
        nonlocal stale, worst
        sent_at = time.monotonic()
        answer = await reader.run("FETCH member-1")
        if not answer or not answer[1] or not answer[1].startswith("COMPLETE"):
            record("read %s: %s" % (what, answer))
            return
        seen = int(answer[0][0][1:]) if answer[0][0] != "none" else 0
        needed = newest_before(sent_at - STALENESS_S)
        missed_at = next((at for at, value in commits if value == seen + 1), None)
        age = sent_at - missed_at if missed_at else 0.0
        if seen < needed:
            stale += 1
            worst = max(worst, age)
            record("STALE: read %s returned v%04d by %s; v%04d was acknowledged %.0f ms before it was sent" % (
                what, seen, answer[1].split(".")[1], seen + 1, age * 1000))

    # Calm traffic, so that all daemons know the position of the primary.
    for _ in range(20):
        await write()
        await read("before")
        await asyncio.sleep(0.05)
    record("%d commits, %d stale reads in calm" % (len(commits), stale))
    if len(commits) < 15 or stale:
        return d.NOT_RUN
    if has_trouble:
        for one in service.databases[1:]:
            one.lag_s = LAG_S
        record("the replicas apply %.1f s late" % LAG_S)
    # The primary fails part of its requests: this BEGIN.
    failed = asyncio.Event()

    def fail(name, text):
        if text == "BEGIN" and has_trouble and not failed.is_set():
            failed.set()
            record("%s answers BEGIN with FAILED at %d.%d" % ((primary.id,) + primary.end()))
            # The answer is written right after this; the daemon is suspended before it can read it.
            os.kill(reader_daemon.process.pid, signal.SIGSTOP)
            os.waitpid(reader_daemon.process.pid, os.WUNTRACED)
            record("%s is suspended" % reader_daemon.name)
            return "FAILED"
        return None

    primary.fail = fail
    await beginner.run("BEGIN")
    first = asyncio.ensure_future(beginner.run("FETCH member-2"))
    suspended_at = time.monotonic()
    while time.monotonic() < suspended_at + SUSPENDED_FOR_S:
        await write()
        await asyncio.sleep(0.02)
    if has_trouble and not failed.is_set():
        return d.NOT_RUN
    os.kill(reader_daemon.process.pid, signal.SIGCONT)
    record("%s goes on; %d commits so far" % (reader_daemon.name, len(commits)))
    record("the first statement of the transaction: %s" % (await first,))
    await beginner.run("ROLLBACK")
    end = time.monotonic() + 2.5
    while time.monotonic() < end:
        await read("after")
        await write()
        await asyncio.sleep(0.05)
    record("%d stale reads; the oldest missed commit was %.0f ms old, allowed are %.0f" % (
        stale, worst * 1000, STALENESS_S * 1000))
    return d.RULE_BROKEN if stale else d.RULE_HELD


d.run_case(FOLDER, main)
