"""Databases of one service with asynchronous replication, as PROTOCOL.md describes them."""

import asyncio
import json
import time
import uuid


class Database:
    """One database: its log, its sessions and its entry in the store."""

    def __init__(self, service, zone, slots, statement_s):
        self.service = service
        self.id = "i-" + uuid.uuid4().hex[:8]
        self.zone = zone
        self.role = "replica"
        self.state = "ready"
        self.is_running = False
        self.term = service.term
        self.log = []  # received entries: (term, number, identifier, key, value)
        self.applied = 0
        self._sequence = 0
        self._slots = asyncio.Semaphore(slots)
        self.slots = slots
        self.statement_s = statement_s
        self._writers = set()
        self._born = int(time.time() * 1000)

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0, limit=2 << 20)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self.is_running = True
        await self.report()
        self._beat = asyncio.ensure_future(self._beat_forever())

    async def report(self):
        self._sequence += 1
        entry = {
            "service": self.service.name, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold-remaining-ms": 0, "db-role": self.role,
            "sequence": self._sequence, "born": self._born,
        }
        await self.service.store.put("servers/" + self.id, json.dumps(entry).encode())

    async def _beat_forever(self):
        while True:
            await asyncio.sleep(self.service.heartbeat_s)
            if self.service.store.refusing is None:
                await self.report()

    def crash(self):
        """Ends without a word; the entry expires after three heartbeats."""
        self.service.record.write(self.id, "crashes")
        self.is_running = False
        self._server.close()
        self._beat.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        asyncio.ensure_future(self._expire())

    async def _expire(self):
        await asyncio.sleep(3 * self.service.heartbeat_s)
        await self.service.store.delete("servers/" + self.id)

    async def leave(self):
        self.is_running = False
        self._server.close()
        self._beat.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        await self.service.store.delete("servers/" + self.id)
        self.service.record.write(self.id, "has left")

    def position(self):
        return f"{self.term}.{self.log[self.applied - 1][1] if self.applied else 0}"

    def received(self):
        return f"{self.term}.{self.log[-1][1] if self.log else 0}"

    def value_of(self, key):
        for entry in reversed(self.log[: self.applied]):
            if entry[3] == key:
                return entry[4]
        return "-"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        session = {"state": "I", "writes": [], "values": {}, "prepared": {}, "begun": False}
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                answer = await self._answer(session, line)
                if answer is None:
                    break
                writer.write(answer.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, session, line):
        word, _, rest = line.partition(" ")
        if word == "TERMINATE":
            return None
        if word == "START":
            fields = rest.split(" ")
            if fields[0] != self.service.name or (len(fields) > 2 and fields[2] != self.id):
                return f"ERROR WRONGNODE {self.id}\r\n"
            await asyncio.sleep(0.012)
            return f"READY I {self.position()}\r\n"
        identifier, _, text = rest.partition(" ")
        if identifier != "-":
            self.service.record.write(self.id, f"gets {identifier} {text}")
        status = await self._run(session, identifier, text)
        return status + f"READY {session['state']} {self.position()}\r\n"

    def _error(self, session, code):
        if session["state"] == "T":
            session["state"] = "E"
        return f"ERROR {code} {self.id}\r\n"

    async def _run(self, session, identifier, text):
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            needed, _, text = rest.partition(" ")
            verb, _, rest = text.partition(" ")
            if tuple(map(int, needed.split("."))) > tuple(map(int, self.position().split("."))):
                return self._error(session, "LAGGING")
        plain = "COMPLETE -\r\n"
        if verb == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
            return plain
        if verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            session["prepared"][name] = shape
            return plain
        if verb == "RESET":
            session["values"].clear()
            session["prepared"].clear()
            return plain
        if verb == "STATUS":
            return f"ROW {self.role} {self.term} {self.received()} {self.term} 0 0 1\r\n" + plain
        if verb == "STEPDOWN":
            if self.role == "primary" and int(rest) > self.term:
                self.service.record.write(self.id, "steps down")
                self.role = "replica"
                asyncio.ensure_future(self.report())
            return f"ROW {self.role} {self.term} {self.received()} {self.term} 0 0 1\r\n" + plain
        if session["state"] == "E":
            if verb in ("ROLLBACK", "COMMIT"):
                session.update(state="I", writes=[])
                return plain if verb == "ROLLBACK" else self._error(session, "ABORTED")
            return self._error(session, "MALFORMED")
        if verb == "BEGIN":
            if rest != "FETCH" and self.role != "primary":
                return self._error(session, "READONLY")
            session.update(state="T", writes=[], plain=rest != "FETCH")
            return plain
        if verb == "ROLLBACK":
            session.update(state="I", writes=[])
            return plain
        is_write = verb == "STORE"
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session["prepared"]:
                return self._error(session, "NOSTMT")
            is_write = session["prepared"][name].startswith("STORE")
        async with self._slots:
            await asyncio.sleep(self.statement_s)
            return self._run_in_slot(session, identifier, verb, rest, is_write, text)

    def _run_in_slot(self, session, identifier, verb, rest, is_write, text):
        lost_lead = self.role != "primary"
        in_plain = session["state"] == "T" and session.get("plain")
        if lost_lead and (is_write or (in_plain and not (verb == "COMMIT" and not session["writes"]))):
            if verb == "COMMIT":
                session.update(state="I", writes=[])
            return self._error(session, "READONLY")
        self.service.record.write(self.id, f"({self.role} {self.position()}) runs {identifier} {text}")
        signature = f"COMPLETE sig.{self.id}.{identifier}\r\n"
        if verb == "COMMIT":
            self.service.commit(self, session["writes"])
            session.update(state="I", writes=[])
            return signature
        key, _, value = rest.partition(" ")
        if not is_write:
            return f"ROW {self.value_of(key)}\r\n" + signature
        if session["state"] == "T":
            session["writes"].append((identifier, key, value))
        else:
            self.service.commit(self, [(identifier, key, value)])
        return signature


class Service:
    """The databases of one service and the replication between them."""

    def __init__(self, record, store, name, lag_ms, heartbeat_ms=1200):
        self.record = record
        self.store = store
        self.name = name
        self.lag_s = lag_ms / 1000
        self.heartbeat_s = heartbeat_ms / 1000
        self.term = 3
        self.databases = []
        self.primary = None
        self._promotion = None

    def find(self, identifier):
        return next((one for one in self.databases if one.id == identifier), None)

    def leading(self):
        return self.primary

    async def add(self, host, zone, slots=2, statement_s=0.003):
        """Starts a replica that holds the primary's log."""
        database = Database(self, zone, slots, statement_s)
        if self.primary is not None:
            database.log = list(self.primary.log)
            database.applied = len(database.log)
        else:
            self.primary = database
            database.role = "primary"
        database.term = self.term
        self.databases.append(database)
        await database.start(host)
        return database

    def commit(self, database, writes):
        for identifier, key, value in writes:
            number = (database.log[-1][1] if database.log else 0) + 1
            entry = (database.term, number, identifier, key, value)
            database.log.append(entry)
            database.applied = len(database.log)
            self.record.write(database.id, f"commits {database.term}.{number} {identifier} {key} {value}")
            if database is self.primary:
                for replica in self.databases:
                    if replica is not database and replica.is_running and replica.role == "replica":
                        replica.log.append(entry)
                        asyncio.get_running_loop().call_later(self.lag_s, self._apply, replica, entry)

    @staticmethod
    def _apply(replica, entry):
        if replica.role == "replica" and entry in replica.log:
            replica.applied = max(replica.applied, replica.log.index(entry) + 1)
            replica.term = max(replica.term, entry[0])

    def promote_later(self, database, delay):
        if self._promotion is not None and not self._promotion.done():
            if self._promoted is database:
                return
        self._promoted = database
        self._promotion = asyncio.ensure_future(self._promote(database, delay))

    async def _promote(self, database, delay):
        await asyncio.sleep(delay)
        if not database.is_running:
            return
        self.term += 1
        former = self.primary
        self.primary = database
        database.role = "primary"
        database.term = self.term
        database.applied = len(database.log)
        self.record.write(database.id, f"leads term {self.term} at {database.position()}")
        await database.report()
        for replica in self.databases:
            if replica not in (database, former) and replica.is_running:
                self._follow(replica)
        if former.is_running:
            end = time.monotonic() + 1.0
            while former.role == "primary" and time.monotonic() < end:
                await asyncio.sleep(0.02)
            if former.role == "primary":
                former.role = "replica"
                await former.report()
            self._follow(former)

    def _follow(self, replica):
        """Rolls back what the new primary lacks and receives the rest, to be applied after the lag."""
        leader = self.primary
        same = 0
        while same < min(len(replica.log), len(leader.log)) and replica.log[same] == leader.log[same]:
            same += 1
        missing = leader.log[same:]
        replica.log = list(leader.log)
        replica.applied = min(replica.applied, same)
        for entry in missing:
            asyncio.get_running_loop().call_later(self.lag_s, self._apply, replica, entry)
        asyncio.get_running_loop().call_later(self.lag_s, self._adopt_term, replica, leader.term)

    @staticmethod
    def _adopt_term(replica, term):
        replica.term = max(replica.term, term)

    async def drain(self, database, drain_s):
        """Reports a database as draining, keeps it for the time that a leaving one has, and ends it."""
        database.state = "draining"
        self.record.write(database.id, f"({database.role}) reports draining")
        await database.report()
        await asyncio.sleep(drain_s)
        await database.leave()
        self.databases.remove(database)
