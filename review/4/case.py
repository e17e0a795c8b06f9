"""The store is down, the primary is lost for good, and all daemons are killed, within six seconds.

Judges RECOVER: of the requests sent later than `recover-s` after the daemons are back, a quarter is served.
"""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins"))

from clients import Closed, Session  # noqa: E402
from deployment import Deployment  # noqa: E402
from record import Record  # noqa: E402

BOUNDS = {"drain-ms": 7000, "grace-s": 6}
RECOVER_S = 12
OUTAGE_S = 5.8
CRASH_AFTER_S = 0.5
KILL_AFTER_S = 5.2
DOWN_S = 1.4
JUDGED_S = 15
PAUSE_S = (0.05, 0.15)


class Case:
    def __init__(self, record, has_trouble):
        self.record = record
        self.has_trouble = has_trouble
        self.deployment = Deployment(record, BOUNDS)
        self.requests = []  # (sent, was served)
        self.back_at = None
        self.fault_at = None
        self.is_ending = False
        self.random = random.Random(13)

    async def use(self, daemon, route, name):
        while not self.is_ending:
            sent = self.record.now()
            is_served = False
            try:
                session = await Session(self.record, daemon, route, name).open()
                while not self.is_ending:
                    write = route != "lookup0" and self.random.random() < 0.2
                    sent, is_served = self.record.now(), False
                    _, _, answer = await asyncio.wait_for(session.run(f"STORE k v{sent:.3f}" if write else "FETCH k"), 3)
                    is_served = answer.is_done
                    self.requests.append((sent, is_served))
                    await asyncio.sleep(self.random.uniform(*PAUSE_S))
                session.close()
            except (Closed, OSError, asyncio.TimeoutError):
                self.requests.append((sent, False))
                await asyncio.sleep(self.random.uniform(*PAUSE_S))

    async def run(self):
        await self.deployment.start()
        service = self.deployment.service()
        users = [asyncio.ensure_future(self.use(daemon, route, f"{daemon.name}-{n}"))
                 for daemon in self.deployment.daemons for n, route in enumerate(("confirm0", "post0", "post0", "lookup0"))]
        await asyncio.sleep(5)
        self.fault_at = self.record.now()
        if self.has_trouble:
            self.deployment.store.refusing = 503
            self.record.write("trouble", "the store is down")
            await asyncio.sleep(CRASH_AFTER_S)
            service.primary.crash()
            await asyncio.sleep(KILL_AFTER_S - CRASH_AFTER_S)
            for daemon in self.deployment.daemons:
                daemon.signal(signal.SIGKILL)
            self.record.write("trouble", "all daemons are killed")
            await asyncio.sleep(OUTAGE_S - KILL_AFTER_S)
            self.deployment.store.refusing = None
            self.record.write("trouble", "the store answers again")
            await asyncio.sleep(DOWN_S - (OUTAGE_S - KILL_AFTER_S))
            for daemon in self.deployment.daemons:
                daemon.kill()
                daemon.start()
        self.back_at = self.record.now()
        self.record.write("platform", "all daemons are started")
        await asyncio.sleep(RECOVER_S + JUDGED_S)
        self.is_ending = True
        await asyncio.gather(*users)

    def result(self):
        before = [served for sent, served in self.requests if sent < self.fault_at]
        after = [served for sent, served in self.requests if sent > self.back_at + RECOVER_S]
        for database in self.deployment.service().databases:
            self.record.write("check", f"{database.id} {database.role} {'runs' if database.is_running else 'is lost'}")
        text = (f"{sum(before)} of {len(before)} requests were served before the fault, {sum(after)} of {len(after)} later "
                f"than {RECOVER_S} s after the daemons were back")
        print(text)
        self.record.write("check", text)
        if not before or not after or sum(before) * 4 < len(before):
            return 2
        return int(sum(after) * 4 < len(after))


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
