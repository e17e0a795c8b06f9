"""A planned replacement of a primary while one machine is suspended for about two seconds.

Judges STALE: a read on a `primary` route must see every commit that was acknowledged before its first byte.
"""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins"))

from clients import Closed, Session  # noqa: E402
from deployment import Deployment  # noqa: E402
from record import Record  # noqa: E402

BOUNDS = {"drain-ms": 7000, "grace-s": 6}
MOST_SUSPENDED_S = 4.0  # node_freeze: 5 s where nothing else is said
ROUNDS = 8
READERS = 6
KEY = "ledger"


class Case:
    def __init__(self, record, has_trouble):
        self.record = record
        self.has_trouble = has_trouble
        self.deployment = Deployment(record, BOUNDS)
        self.acknowledged = []  # (time, version, identifier)
        self.version = 0
        self.stale = []
        self.reads = 0
        self.is_ending = False

    async def write_forever(self, daemon):
        """Writes versions one after the other over one daemon."""
        session = None
        while not self.is_ending:
            try:
                if session is None or session.is_closed():
                    session = await Session(self.record, daemon, "confirm0", "writer").open()
                self.version += 1
                identifier, _, answer = await session.run(f"STORE {KEY} {self.version}")
                if answer.is_done:
                    self.acknowledged.append((self.record.now(), self.version, identifier))
                await asyncio.sleep(0.02)
            except (Closed, OSError):
                session = None
                await asyncio.sleep(0.02)

    def last_acknowledged(self):
        return self.acknowledged[-1][1] if self.acknowledged else 0

    async def read(self, session):
        """Reads once and checks the version against what was acknowledged before the read was sent."""
        expected = self.last_acknowledged()
        identifier, sent_at = session.send(f"FETCH {KEY}")
        try:
            answer = await asyncio.wait_for(session.answer(identifier), 6)
        except (Closed, asyncio.TimeoutError):
            return
        if not answer.is_done:
            return
        self.reads += 1
        seen = int(answer.rows[0]) if answer.rows[0] != "-" else 0
        if seen < expected:
            self.stale.append((sent_at, identifier, seen, expected, answer.text))

    async def open_readers(self, daemon):
        return [await Session(self.record, daemon, "confirm0", f"reader{n}").open() for n in range(READERS)]

    async def run_round(self):
        service = self.deployment.service()
        former = service.primary
        await service.add("127.0.0.1", "a")
        leader = self.deployment.store.leader()
        victim = next(one for one in self.deployment.daemons[1:] if one.peers != leader)
        sessions = await self.open_readers(victim)
        for session in sessions:
            await self.read(session)
        await asyncio.sleep(0.5)
        draining = asyncio.ensure_future(service.drain(former, BOUNDS["drain-ms"] / 1000 + 0.5))
        if self.has_trouble:
            victim.signal(signal.SIGSTOP)
            self.record.write("trouble", f"{victim.name} is suspended")
        end = self.record.now() + MOST_SUSPENDED_S
        # Until a write at the new primary was acknowledged.
        while self.record.now() < end:
            if service.primary is not former and self.acknowledged:
                written = {entry[2] for entry in service.primary.log if entry[0] == service.primary.term}
                if self.acknowledged[-1][2] in written:
                    break
            await asyncio.sleep(0.002)
        reads = [asyncio.ensure_future(self.read(session)) for session in sessions]
        await asyncio.sleep(0.005)
        if self.has_trouble:
            victim.signal(signal.SIGCONT)
            self.record.write("trouble", f"{victim.name} runs again")
        await asyncio.gather(*reads)
        for session in sessions:
            session.close()
        await draining

    async def run(self):
        await self.deployment.start()
        writer = asyncio.ensure_future(self.write_forever(self.deployment.daemons[0]))
        await asyncio.sleep(3)
        for number in range(ROUNDS):
            self.record.write("case", f"round {number + 1}")
            await self.run_round()
            if self.stale:
                break
        self.is_ending = True
        await writer

    def result(self):
        kept = {entry[2] for entry in self.deployment.service().primary.log}
        by_version = {version: identifier for _, version, identifier in self.acknowledged}
        broken = [one for one in self.stale if by_version[one[3]] in kept]
        for sent_at, identifier, seen, expected, signature in broken:
            text = (f"STALE: the read {identifier} sent at {sent_at:.4f} got version {seen}, signed {signature}; "
                    f"version {expected} was acknowledged before and is in the primary's log")
            self.record.write("check", text)
            print(text)
        if self.reads == 0 or not self.acknowledged:
            return 2
        print(f"{self.reads} reads, {len(self.acknowledged)} acknowledged writes, {len(broken)} stale reads")
        return 1 if broken else 0


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    case = Case(record, os.environ.get("TROUBLE", "1") != "0")
    try:
        await asyncio.wait_for(case.run(), 110)
        return case.result()
    except (RuntimeError, asyncio.TimeoutError, OSError) as error:
        print(f"the case couldn't run: {error!r}")
        return 2
    finally:
        case.deployment.stop()
        record.close()


sys.exit(asyncio.run(main()))
