"""The store doesn't answer for two seconds, right after a database was added. Later a primary and a replica leave.

Judges DRAIN: no request reaches a database later than `drain-ms` after the store accepted that it is draining.
"""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins"))

from clients import Closed, Session  # noqa: E402
from deployment import Deployment  # noqa: E402
from record import Record  # noqa: E402

BOUNDS = {"drain-ms": 7000, "grace-s": 6}
OUTAGE_S = 2.0
STABLE_S = 4.0  # stable-window-ms
LINGER_S = 4.0  # how much longer than drain-ms a leaving database serves
PAUSE_S = (0.02, 0.08)
SESSIONS = 4  # of each daemon


class Case:
    def __init__(self, record, has_trouble):
        self.record = record
        self.has_trouble = has_trouble
        self.deployment = Deployment(record, BOUNDS)
        self.drained_at = {}
        self.answered = 0
        self.is_ending = False
        self.random = random.Random(11)

    async def use(self, daemon, route, name):
        while not self.is_ending:
            try:
                session = await Session(self.record, daemon, route, name).open()
                while not self.is_ending:
                    write = route != "lookup0" and self.random.random() < 0.2
                    _, _, answer = await session.run(f"STORE k{name} v{self.answered}" if write else f"FETCH k{name}")
                    self.answered += answer.is_done
                    await asyncio.sleep(self.random.uniform(*PAUSE_S))
                session.close()
            except (Closed, OSError):
                await asyncio.sleep(0.05)

    async def leave(self, database):
        service = self.deployment.service()
        self.drained_at[database.id] = self.record.now()
        await service.drain(database, BOUNDS["drain-ms"] / 1000 + LINGER_S)

    async def run(self):
        await self.deployment.start()
        service = self.deployment.service()
        users = [asyncio.ensure_future(self.use(daemon, route, f"{daemon.name}-{n}"))
                 for daemon in self.deployment.daemons
                 for n, route in enumerate(("confirm0", "post0", "post0", "lookup0")[:SESSIONS])]
        await asyncio.sleep(3)
        await service.add("127.0.0.1", "a")
        await service.add("127.0.0.1", "b")
        await asyncio.sleep(0.1)
        if self.has_trouble:
            self.record.write("trouble", "the store is silent")
            self.deployment.store.refusing = "silent"
        await asyncio.sleep(OUTAGE_S)
        self.deployment.store.refusing = None
        self.record.write("trouble", "the store answers again")
        await asyncio.sleep(STABLE_S + 0.3)
        replica = next(one for one in service.databases if one is not service.primary)
        leaving = [asyncio.ensure_future(self.leave(one)) for one in (service.primary, replica)]
        await asyncio.gather(*leaving)
        await asyncio.sleep(1)
        self.is_ending = True
        await asyncio.gather(*users)

    def result(self):
        late = {}
        with open(os.path.join(HERE, "record.txt"), encoding="utf-8") as file:
            for line in file:
                words = line.split()
                if words[2:3] == ["gets"]:
                    at, database = float(words[0]), words[1][:-1]
                    since = at - self.drained_at.get(database, float("inf"))
                    if since > BOUNDS["drain-ms"] / 1000:
                        late.setdefault(database, []).append((since, words[3]))
        for database, requests in late.items():
            text = (f"DRAIN: {len(requests)} requests reached {database} later than {BOUNDS['drain-ms']} ms after it was "
                    f"draining, the last one ({requests[-1][1]}) {requests[-1][0]:.3f} s after")
            print(text)
            self.record.write("check", text)
        print(f"{self.answered} statements were served")
        return 2 if self.answered == 0 else int(bool(late))


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    case = Case(record, os.environ.get("TROUBLE", "1") != "0")
    try:
        await asyncio.wait_for(case.run(), 100)
        record.flush()
        return case.result()
    except (RuntimeError, asyncio.TimeoutError, OSError) as error:
        print(f"the case couldn't run: {error!r}")
        return 2
    finally:
        case.deployment.stop()
        record.close()


sys.exit(asyncio.run(main()))
