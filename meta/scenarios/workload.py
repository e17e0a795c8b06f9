#!/usr/bin/env python3
"""Sends concurrent requests to daemons and compares what was acknowledged with the databases' logs.

`workload.py run` sends until SIGTERM and then writes its history. `workload.py check` compares a history with the
logs of all databases of the group and prints one line of figures, then one line for each broken promise.
"""

import argparse
import collections
import contextlib
import http.client
import json
import random
import select
import signal
import sys
import threading
import time

SERVICE = "ledger_zagreb"
TRIES_AFTER_THE_END = 12
PAUSE_BETWEEN_OPERATIONS = 0.005
PAUSE_AFTER_FAILURE = 0.05


class Attempt:
    """One request and what came back. `outcome` is that of the answer, or `lost` (sent, but no whole answer came),
    or `not_sent` (no connection)."""

    def __init__(self, daemon, began, outcome, answer=None, failure=""):
        self.daemon = daemon
        self.began = began
        self.ended = time.time()
        self.outcome = outcome
        self.answer = answer or {}
        self.failure = failure or self.answer.get("error", {}).get("kind", "")

    def results(self):
        return self.answer.get("results", [])

    def record(self):
        return {"daemon": self.daemon, "began": self.began, "ended": self.ended, "outcome": self.outcome,
                "failure": self.failure, "results": self.results(), "served_by": self.answer.get("served_by", "")}


class Caller:
    """Sends requests over one kept connection for each daemon. Used by one thread."""

    def __init__(self, daemons, seed):
        self.daemons = daemons
        self.random = random.Random(seed)
        self.connections = {}

    def roam(self):
        return self.random.choice(self.daemons)

    def send(self, daemon, body):
        began = time.time()
        try:
            connection = self._connection_to(daemon)
        except OSError as failure:
            return Attempt(daemon, began, "not_sent", failure=str(failure))
        try:
            connection.request("POST", "/v1/request", json.dumps(body), {"Content-Type": "application/json"})
            answer = connection.getresponse()
            content = json.loads(answer.read())
            if answer.will_close:
                self._drop(daemon)
            return Attempt(daemon, began, content["outcome"], content)
        except (OSError, http.client.HTTPException, ValueError, KeyError) as failure:
            self._drop(daemon)
            return Attempt(daemon, began, "lost", failure=repr(failure))

    def _connection_to(self, daemon):
        known = self.connections.get(daemon)
        # A kept connection that the daemon has closed must not be used for another request.
        if known is not None and select.select([known.sock], [], [], 0)[0]:
            self._drop(daemon)
            known = None
        if known is None:
            address, port = daemon.split(":")
            known = http.client.HTTPConnection(address, int(port), timeout=15)
            known.connect()
            self.connections[daemon] = known
        return known

    def _drop(self, daemon):
        known = self.connections.pop(daemon, None)
        if known is not None:
            known.close()


def request(access, statements, **more):
    body = {"service": SERVICE, "tenant": "zagreb", "rank": "payout_confirmation", "access": access,
            "statements": statements, "deadline_ms": 8000}
    body.update(more)
    return body


class History:
    """What all threads saw. Lists and counters are changed under the lock."""

    def __init__(self):
        self.lock = threading.Lock()
        self.writes = []
        self.violations = []
        self.lost = []
        self.counts = collections.Counter()
        self.greatest_contribution = 0

    def note(self, attempt):
        with self.lock:
            self.counts[attempt.outcome] += 1
            if attempt.outcome == "lost":
                self.lost.append([attempt.daemon, attempt.began, attempt.failure])
        return attempt

    def violate(self, text):
        with self.lock:
            self.violations.append(text)

    def add_write(self, kind, marker, key, attempts):
        with self.lock:
            self.writes.append({"kind": kind, "marker": marker, "key": key,
                                "attempts": [attempt.record() for attempt in attempts]})

    def contributed(self, value):
        with self.lock:
            self.greatest_contribution = max(self.greatest_contribution, value)

    def count(self, name):
        with self.lock:
            self.counts[name] += 1


class Workload:
    def __init__(self, arguments):
        self.run = arguments.run
        self.daemons = arguments.daemons.split(",")
        self.history = History()
        self.stopping = threading.Event()

    def send_until_settled(self, caller, body):
        """Repeats a request under its key until its outcome is final; gives up some time after the end."""
        attempts = []
        tries_left = TRIES_AFTER_THE_END
        while tries_left > 0:
            attempt = self.history.note(caller.send(caller.roam(), body))
            attempts.append(attempt)
            if attempt.outcome == "done" or attempt.failure == "key_cancelled":
                break
            tries_left -= 1 if self.stopping.is_set() else 0
            time.sleep(PAUSE_AFTER_FAILURE)
        return attempts

    def contribute(self, caller, name):
        """Keyed contributions; some are repeated under their key after they are done."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            marker = f"set {self.run}-{name} {number}"
            key = f"{self.run}-{name}-{number}"
            body = request("write", ["add contributions 1", marker], idempotency_key=key)
            attempts = self.send_until_settled(caller, body)
            last = attempts[-1]
            if last.outcome == "done":
                self.history.contributed(int(last.results()[0]))
                if caller.random.random() < 0.1:
                    self.repeat(caller, body, last, attempts)
            self.history.add_write("contribution", marker, key, attempts)
            time.sleep(PAUSE_BETWEEN_OPERATIONS)

    def repeat(self, caller, body, first, attempts):
        again = self.history.note(caller.send(caller.roam(), body))
        attempts.append(again)
        if again.outcome == "done" and again.results() != first.results():
            self.history.violate(f"{body['idempotency_key']}: repeated with {again.results()}, not {first.results()}")

    def set_unique(self, caller, name):
        """Writes of unique values without a key."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            marker = f"set {self.run}-{name} {number}"
            attempt = self.history.note(caller.send(caller.roam(), request("write", [marker])))
            if attempt.outcome == "done" and attempt.results() != [str(number)]:
                self.history.violate(f"{marker}: got the answer {attempt.results()}")
            self.history.add_write("unique", marker, "", [attempt])
            time.sleep(PAUSE_BETWEEN_OPERATIONS if attempt.outcome == "done" else PAUSE_AFTER_FAILURE)

    def keep_session(self, caller, name):
        """Writes and reads the own value through changing daemons with the session's token."""
        number = 0
        token = ""
        while not self.stopping.is_set():
            number += 1
            marker = f"set {self.run}-{name} {number}"
            key = f"{self.run}-{name}-{number}"
            body = request("write", [marker], idempotency_key=key, session=token)
            attempts = self.send_until_settled(caller, body)
            self.history.add_write("session", marker, key, attempts)
            if attempts[-1].outcome != "done":
                return
            token = attempts[-1].answer["session"]
            for read_class in ("member_standing", "fresh", "member_standing"):
                token = self.read_own(caller, f"{self.run}-{name}", number, token, read_class)

    def read_own(self, caller, variable, number, token, read_class):
        body = request("read", [f"get {variable}"], session=token, read_class=read_class)
        attempt = self.history.note(caller.send(caller.roam(), body))
        if attempt.outcome != "done":
            time.sleep(PAUSE_AFTER_FAILURE)
            return token
        self.history.count("read_by_" + attempt.answer.get("served_by", "nobody"))
        if attempt.results() != [str(number)]:
            self.history.violate(f"session read of {variable} through {attempt.daemon} by a "
                                 f"{attempt.answer.get('served_by')} gave {attempt.results()}, not {number}")
        return attempt.answer.get("session", token)

    def read_fresh(self, caller, _name):
        """Fresh reads outside any session: they see every contribution acknowledged before."""
        while not self.stopping.is_set():
            with self.history.lock:
                expected = self.history.greatest_contribution
            body = request("read", ["get contributions"], read_class="fresh")
            attempt = self.history.note(caller.send(caller.roam(), body))
            if attempt.outcome == "done":
                self.history.count("fresh_reads")
                if int(attempt.results()[0] or 0) < expected:
                    self.history.violate(f"fresh read through {attempt.daemon} gave {attempt.results()}, "
                                         f"but {expected} was acknowledged before")
            time.sleep(PAUSE_BETWEEN_OPERATIONS if attempt.outcome == "done" else PAUSE_AFTER_FAILURE)

    def transact(self, caller, name):
        """Transactions of two statements, each request through another daemon; one in five is rolled back."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            markers = [f"set {self.run}-{name}{half} {number}" for half in ("a", "b")]
            self.history.count("transactions_begun")
            last = self.run_transaction(caller, markers, caller.random.random() < 0.2)
            self.history.add_write("transaction", markers[0], "", [last] if last is not None else [])
            time.sleep(PAUSE_BETWEEN_OPERATIONS if last is not None else PAUSE_AFTER_FAILURE)

    def run_transaction(self, caller, markers, is_abandoned):
        """Returns the attempt to commit, or nothing if none was made."""
        begun = self.step(caller, "begin", [])
        if begun.outcome != "done":
            return None
        handle = begun.answer["handle"]
        for marker in markers:
            done = self.step(caller, "statement", [marker], handle)
            if done.outcome != "done":
                # A refused statement may have left the transaction open.
                self.step(caller, "rollback", [], handle)
                return None
            if done.results() != [marker.split(" ")[2]]:
                self.history.violate(f"{marker} in a transaction: got the answer {done.results()}")
        if is_abandoned:
            self.step(caller, "rollback", [], handle)
            return None
        return self.step(caller, "commit", [], handle)

    def step(self, caller, step, statements, handle=None):
        transaction = {"step": step} if handle is None else {"step": step, "handle": handle}
        body = request("write", statements, transaction=transaction)
        for _ in range(TRIES_AFTER_THE_END):
            attempt = self.history.note(caller.send(caller.roam(), body))
            # A daemon that cannot be connected to says nothing about the transaction.
            if attempt.outcome != "not_sent":
                break
        if attempt.outcome != "done":
            self.history.count(f"{step} {attempt.outcome} {attempt.failure}")
        return attempt

    def threads(self):
        plan = [(self.contribute, "contributor", 3), (self.set_unique, "writer", 2), (self.keep_session, "session", 3),
                (self.read_fresh, "reader", 1), (self.transact, "transaction", 2)]
        for job, name, count in plan:
            for number in range(count):
                caller = Caller(self.daemons, f"{name}{number}")
                yield threading.Thread(target=self.guarded, args=(job, caller, f"{name}{number}"))

    def guarded(self, job, caller, name):
        try:
            job(caller, name)
        except Exception as failure:  # A thread that ends early must not look like a quiet one.
            self.history.violate(f"{name} ended: {failure!r}")


def run_workload(arguments):
    workload = Workload(arguments)
    signal.signal(signal.SIGTERM, lambda *_: workload.stopping.set())
    threads = list(workload.threads())
    for thread in threads:
        thread.start()
    workload.stopping.wait()
    for thread in threads:
        thread.join()
    history = workload.history
    with open(arguments.history, "w", encoding="utf-8") as file:
        json.dump({"writes": history.writes, "violations": history.violations, "lost": history.lost,
                   "counts": history.counts}, file)
    return 0


class Check:
    """Compares a history with the logs. `problems` holds one text for each broken promise."""

    def __init__(self, history, logs):
        self.history = history
        self.logs = logs
        self.problems = list(history["violations"])
        newest = max(logs, key=lambda log: log["term"])
        self.entries = [entry for entry in newest["entries"] if entry["kind"] == "write"]
        self.runs = collections.Counter()
        self.entry_of = {}
        for entry in self.entries:
            for statement in entry["statements"]:
                if statement.startswith("set "):
                    self.runs[statement] += 1
                    self.entry_of[statement] = entry

    def check_logs(self):
        contents = {json.dumps(log["entries"], sort_keys=True) for log in self.logs}
        if len(contents) != 1:
            self.problems.append("the logs of the databases differ after the faults were healed")

    def check_write(self, write):
        """Every acknowledged write ran once, every refused one did not run, no write ran twice."""
        runs = self.runs[write["marker"]]
        outcomes = [attempt["outcome"] for attempt in write["attempts"]]
        is_cancelled = any(attempt["failure"] == "key_cancelled" for attempt in write["attempts"])
        if runs > 1:
            self.problems.append(f"'{write['marker']}' ran {runs} times, outcomes {outcomes}")
        if "done" in outcomes and runs == 0:
            self.problems.append(f"'{write['marker']}' was acknowledged and is lost, outcomes {outcomes}")
        surely_not_run = is_cancelled or all(outcome in ("not_run", "not_sent") for outcome in outcomes)
        if surely_not_run and runs > 0:
            self.problems.append(f"'{write['marker']}' ran, outcomes {outcomes}")
        for attempt in write["attempts"]:
            if attempt["outcome"] == "done" and runs == 1:
                self.check_results(write, attempt)

    def check_results(self, write, attempt):
        entry = self.entry_of[write["marker"]]
        if write["kind"] != "transaction" and attempt["results"] != entry["results"]:
            self.problems.append(f"'{write['marker']}' was answered with {attempt['results']}, the log has "
                                 f"{entry['results']}")

    def check_transaction(self, write):
        """A transaction is in the log as a whole and with nothing else, or not at all."""
        words = write["marker"].split(" ")
        markers = [write["marker"], f"set {words[1][:-1]}b {words[2]}"]
        if self.runs[markers[0]] != self.runs[markers[1]]:
            self.problems.append(f"half of the transaction {markers} is in the log")
        elif self.runs[markers[0]] == 1 and self.entry_of[markers[0]]["statements"] != markers:
            self.problems.append(f"{markers} is mixed: {self.entry_of[markers[0]]['statements']}")

    def check_contributions(self):
        """Each contribution in the log has added exactly one to the one before."""
        values = [int(entry["results"][0]) for entry in self.entries if entry["statements"][0].startswith("add ")]
        expected = list(range(1, len(values) + 1))
        if values != expected:
            self.problems.append("the contributions in the log do not count up by one")

    def check_whole_answers(self, daemon):
        for lost, _, failure in self.history["lost"]:
            if lost == daemon:
                self.problems.append(f"a request to {daemon} was cut off: {failure}")

    def check_effort(self):
        """A workload that did nothing would break no promise."""
        counts = self.history["counts"]
        committed = sum(1 for write in self.history["writes"] if write["kind"] == "transaction" and
                        any(attempt["outcome"] == "done" for attempt in write["attempts"]))
        reads = counts.get("read_by_primary", 0) + counts.get("read_by_replica", 0)
        if min(counts.get("done", 0) // 50, reads // 10, counts.get("fresh_reads", 0), committed) == 0:
            self.problems.append(f"too little was done to judge: {counts}, {committed} transactions committed")

    def all(self, whole_daemons):
        self.check_logs()
        for write in self.history["writes"]:
            self.check_write(write)
            if write["kind"] == "transaction":
                self.check_transaction(write)
        self.check_contributions()
        for daemon in whole_daemons:
            self.check_whole_answers(daemon)
        self.check_effort()
        return self.problems


def figures(history, entries_of):
    """Returns figures of a history: writes by fate, the longest gap between acknowledged writes, the longest wait."""
    fates = collections.Counter()
    ends = []
    waits = []
    for write in history["writes"]:
        done = [attempt for attempt in write["attempts"] if attempt["outcome"] == "done"]
        runs = entries_of[write["marker"]]
        fates["acknowledged"] += 1 if done else 0
        fates["lost"] += 1 if done and runs == 0 else 0
        fates["doubled"] += 1 if runs > 1 else 0
        if done:
            ends.append(done[0]["ended"])
            waits.append(done[0]["ended"] - write["attempts"][0]["began"])
    ends.sort()
    gap = max((later - earlier for earlier, later in zip(ends, ends[1:])), default=0.0)
    counts = history["counts"]
    return {"acknowledged": fates["acknowledged"], "lost": fates["lost"], "doubled": fates["doubled"],
            "unknown": counts.get("unknown", 0), "not_run": counts.get("not_run", 0),
            "unanswered": counts.get("lost", 0), "replica_reads": counts.get("read_by_replica", 0),
            "gap_ms": round(gap * 1000), "longest_wait_ms": round(max(waits, default=0.0) * 1000)}


def run_check(arguments):
    with open(arguments.history, encoding="utf-8") as file:
        history = json.load(file)
    logs = []
    for name in arguments.logs:
        with open(name, encoding="utf-8") as file:
            logs.append(json.load(file))
    check = Check(history, logs)
    problems = check.all(arguments.whole)
    print(" ".join(f"{name}={value}" for name, value in figures(history, check.runs).items()))
    for problem in problems[:5]:
        print(problem)
    if len(problems) > 5:
        print(f"and {len(problems) - 5} more")
    return 1 if problems else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="send requests until SIGTERM")
    run.add_argument("--daemons", required=True, help="caller addresses, separated by commas")
    run.add_argument("--run", required=True, help="name of the run; keys and values begin with it")
    run.add_argument("--history", required=True, help="file for the history")
    check = commands.add_parser("check", help="compare a history with the databases' logs")
    check.add_argument("--history", required=True)
    check.add_argument("--whole", action="append", default=[],
                       help="caller address of a daemon that must have answered every request it got")
    check.add_argument("logs", nargs="+", help="answers of /control/log")
    arguments = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        return run_workload(arguments) if arguments.command == "run" else run_check(arguments)
    return 1


if __name__ == "__main__":
    sys.exit(main())
