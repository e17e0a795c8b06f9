"""Daemons are stopped with SIGTERM and started again in turn, while clients use their sessions steadily.

Judges LOST: a request that was passed on to a database must get its complete answer.
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
GRACE_S = BOUNDS["grace-s"]
LOSS_SLACK_S = 0.2
STATEMENT_S = 0.009  # `batch-post` on the sheet
PAUSE_S = (0.005, 0.025)  # between two statements of a session
SESSIONS = 6  # of each daemon
STOPPED = 3  # daemons that are stopped in turn


class Case:
    def __init__(self, record, has_trouble):
        self.record = record
        self.has_trouble = has_trouble
        self.deployment = Deployment(record, BOUNDS, statement_s=STATEMENT_S)
        self.stopped_at = {}
        self.unanswered = []  # (daemon, identifier, sent, ended)
        self.answered = 0
        self.is_ending = False
        self.random = random.Random(7)

    async def use(self, daemon, name):
        """Runs single statements on one session after the other; opens a new one elsewhere after a close."""
        while not self.is_ending:
            outstanding = None
            try:
                session = await Session(self.record, daemon, "post0", name).open()
                while not self.is_ending:
                    write = self.random.random() < 0.12
                    text = f"STORE k{name} v{self.answered}" if write else f"FETCH k{name}"
                    outstanding = session.send(text)
                    await session.answer(outstanding[0])
                    outstanding = None
                    self.answered += 1
                    await asyncio.sleep(self.random.uniform(*PAUSE_S))
                    if session.is_closed():
                        raise Closed("idle")
                session.close()
            except (Closed, OSError):
                if outstanding is not None:
                    ended = self.record.now()
                    self.record.write(name, f"no answer to {outstanding[0]}, the connection to {daemon.name} ended")
                    self.unanswered.append((daemon, *outstanding, ended))
                # The platform sends new connections to daemons that are ready.
                others = [one for one in self.deployment.daemons if one not in self.stopped_at]
                daemon = self.random.choice(others)
                await asyncio.sleep(0.05)

    async def run(self):
        await self.deployment.start()
        users = [asyncio.ensure_future(self.use(daemon, f"{daemon.name}-{n}"))
                 for daemon in self.deployment.daemons for n in range(SESSIONS)]
        await asyncio.sleep(3)
        for daemon in self.deployment.daemons[:STOPPED]:
            self.stopped_at[daemon] = self.record.now()
            if self.has_trouble:
                self.record.write("platform", f"SIGTERM to {daemon.name}")
                daemon.signal(signal.SIGTERM)
            end = self.record.now() + GRACE_S
            while self.record.now() < end and (daemon.process.poll() is None or not self.has_trouble):
                await asyncio.sleep(0.01)
            if self.has_trouble:
                is_ended = daemon.process.poll() is not None
                self.record.write("platform", f"{daemon.name} {'has ended' if is_ended else 'gets SIGKILL'}")
                daemon.kill()
                await asyncio.sleep(1)
                daemon.start()
            await asyncio.sleep(3)
        self.is_ending = True
        await asyncio.gather(*users)

    def result(self):
        arrivals = {}
        with open(os.path.join(HERE, "record.txt"), encoding="utf-8") as file:
            for line in file:
                words = line.split()
                if words[1].startswith("i-") and words[2] == "gets":
                    arrivals[words[3]] = float(words[0])
        broken = 0
        for daemon, identifier, sent, ended in self.unanswered:
            since = sent - self.stopped_at.get(daemon, float("inf"))
            until = ended - self.stopped_at.get(daemon, float("inf"))
            is_planned = 0 <= since and until <= GRACE_S + 1
            was_passed_on = identifier in arrivals and arrivals[identifier] <= ended
            # A request sent early may be cut while its database is at work in the last sixth.
            is_excused = since <= 3 and until >= GRACE_S * 5 / 6
            is_broken = is_planned and not is_excused and (was_passed_on or ended - sent > LOSS_SLACK_S)
            text = (f"{identifier} sent to {daemon.name} {since:.3f} s after SIGTERM, cut {ended - sent:.3f} s later, "
                    f"{'passed on to a database' if was_passed_on else 'not seen at a database before the cut'}")
            if is_broken:
                broken += 1
                print("LOST:", text)
            self.record.write("check", ("LOST: " if is_broken else "not counted: ") + text)
        print(f"{self.answered} answered, {len(self.unanswered)} without an answer, {broken} of these lost")
        return 2 if self.answered == 0 else int(broken > 0)


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    case = Case(record, os.environ.get("TROUBLE", "1") != "0")
    try:
        await asyncio.wait_for(case.run(), 110)
        record.flush()
        return case.result()
    except (RuntimeError, asyncio.TimeoutError, OSError) as error:
        print(f"the case couldn't run: {error!r}")
        return 2
    finally:
        case.deployment.stop()
        record.close()


sys.exit(asyncio.run(main()))
