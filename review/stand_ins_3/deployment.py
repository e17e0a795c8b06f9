"""Stand-ins of the users' platform for the scripts of review/11 to review/15, and the daemons as processes.

Everything runs on loopback addresses with free ports and the real clock. The store, the promotion calls and
the databases follow PROTOCOL.md; where that page is silent they behave like sound ones. A daemon reaches the
platform and each database through a link of its own, which a script can cut.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2
used_ports = set()


def free_port():
    """Returns a port that is free for TCP and UDP, apart from those that the system and the project's tests use."""
    while True:
        port = random.randrange(27500, 29900)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((HOST, port))
        except OSError:
            continue
        if port not in used_ports:
            used_ports.add(port)
            return port


class Record:
    """Writes what happened to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (time.monotonic() - self.started_at, text))
        self.file.flush()


# HTTP ---------------------------------------------------------------------------------------------------


async def read_http(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return method, target, headers, body


def http_response(status, value=None):
    body = json.dumps(value).encode() if value is not None else b""
    return (
        "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
    ).encode() + body


async def serve_http(handler):
    async def serve(reader, writer):
        try:
            while True:
                request = await read_http(reader)
                status, value = await handler(*request)
                writer.write(http_response(status, value))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    return server.sockets[0].getsockname()[1]


# The store ----------------------------------------------------------------------------------------------


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Condition()
        self.port = None

    async def start(self):
        self.port = await serve_http(self.handle)
        asyncio.ensure_future(self.end_leases())

    async def end_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [one for one, (end, _) in self.leases.items() if end <= now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self.change([], [key])

    async def change(self, puts, deletes):
        """Applies one change; `puts` are rows of key, bytes and lease."""
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                    "created": created, "lease": lease}
            self.items[key] = item
            self.events.append((self.revision, key, dict(item)))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key,
                                    {"key": key, "revision": self.revision, "deleted": True}))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def put(self, key, value):
        await self.change([(key, json.dumps(value).encode(), 0)], [])

    async def remove(self, key):
        await self.change([], [key])

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        if path == "/kv-key":
            item = self.items.get(asked["key"])
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(asked["prefix"]) and key > asked.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "has-more": len(keys) > 500,
                         "at": self.revision}
        if path == "/kv-watch":
            return await self.watch(asked["prefix"], int(asked["after"]), int(asked["wait-ms"]))
        if path == "/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/kv-lease":
            length = max(int(json.loads(body)["ttl-ms"]), 1000)
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + length / 1000, length)
            return 200, {"lease": self.next_lease, "ttl-ms": length}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            length = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + length / 1000, length)
            return 200, {"lease": lease, "ttl-ms": length}
        if path.startswith("/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            found = [event for revision, key, event in self.events
                     if revision > after and key.startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, change):
        for key in [one["key"] for one in change.get("puts", [])] + change.get("deletes", []):
            if key.startswith(("op/", "servers/")):
                return 403, {}
        expected = change.get("expected", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[one["key"]] for one in expected if one["key"] in self.items]}
        for one in change.get("puts", []):
            if one.get("lease", 0) and one["lease"] not in self.leases:
                return 404, {}
        revision = await self.change([(one["key"], base64.b64decode(one["value"]), one.get("lease", 0))
                                      for one in change.get("puts", [])], change.get("deletes", []))
        return 200, {"revision": revision}


# Databases ----------------------------------------------------------------------------------------------


class Commit:
    def __init__(self, term, number, writes):
        self.term, self.number, self.writes = term, number, writes
        self.at = time.monotonic()

    @property
    def position(self):
        return (self.term, self.number)


class Database:
    """One database of the service. A replica receives a commit at once, unless it is deaf, and applies it
    after `lag_s`."""

    def __init__(self, service, name, is_primary):
        self.service, self.id = service, name
        self.is_primary, self.term = is_primary, 3
        self.log, self.applied = [], 0
        self.lag_s, self.is_deaf, self.is_running = 0.008, False, True
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.work_s, self.slots, self.queue = 0.003, 2, 16
        self.max_connections, self.refused_connections = 16, 0
        self.busy = 0
        self.fail = None  # called with id and text; an error word answers the request without running it
        self.free_slot = asyncio.Semaphore(self.slots)
        self.server = self.port = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port or 0, limit=2 ** 21)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self):
        self.is_running = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def start_again(self):
        """Starts under the same id, as a replica that holds and knows nothing of before."""
        self.log, self.applied, self.is_primary, self.term = [], 0, False, 0
        self.sequence, self.born, self.busy = 0, int(time.time() * 1000), 0
        self.free_slot = asyncio.Semaphore(self.slots)
        self.is_running = True
        await self.start()
        asyncio.ensure_future(self.service.beat(self))

    def end(self):
        """Position of the last commit that it holds."""
        return self.log[-1].position if self.log else (self.term, 0)

    def applied_position(self):
        if self.is_primary:
            return self.end()
        return self.log[self.applied - 1].position if self.applied else (self.term, 0)

    def entry(self, address):
        self.sequence += 1
        return {"service": self.service.name, "address": address, "zone": "zg-centar", "version": "v1",
                "slots": self.slots, "state": self.state, "cold-remaining-ms": 0, "born": self.born,
                "db-role": "primary" if self.is_primary else "replica", "sequence": self.sequence}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        session = {"state": "I", "writes": [], "values": {}, "prepared": {}, "readonly": False}
        started = False
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                word, _, rest = line.partition(" ")
                if word == "START" and not started:
                    fields = rest.split(" ")
                    if fields[0] != self.service.name or (len(fields) > 2 and fields[2] != self.id):
                        writer.write(b"ERROR WRONGNODE %s\r\n" % self.id.encode())
                        await writer.drain()
                        return
                    if len(self.connections) > self.max_connections:
                        self.refused_connections += 1
                        writer.write(b"ERROR CONNLIMIT %s\r\n" % self.id.encode())
                        await writer.drain()
                        return
                    started = True
                    writer.write(self.ready(session))
                elif word == "QUERY":
                    name, _, text = rest.partition(" ")
                    writer.write(await self.answer(session, name, text))
                else:
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def ready(self, session):
        return ("READY %s %d.%d\r\n" % ((session["state"],) + self.applied_position())).encode()

    def error(self, session, word):
        if session["state"] == "T":
            session["state"] = "E"
        return ("ERROR %s %s\r\n" % (word, self.id)).encode() + self.ready(session)

    def done(self, session, rows=(), signature="-"):
        lines = "".join("ROW %s\r\n" % row for row in rows) + "COMPLETE %s\r\n" % signature
        return lines.encode() + self.ready(session)

    def sign(self, name):
        return "%d.%s.%s" % (self.term, self.id, name)

    async def answer(self, session, name, text):
        verb, _, rest = text.partition(" ")
        needed = None
        if verb == "AFTER":
            position, _, text = rest.partition(" ")
            needed = tuple(int(part) for part in position.split("."))
            verb, _, rest = text.partition(" ")
        if text in ("COMMIT", "ROLLBACK") and session["state"] == "E":
            session.update(state="I", writes=[])
            return self.done(session, signature=self.sign(name)) if verb == "ROLLBACK" \
                else self.error(session, "ABORTED")
        if session["state"] == "E":
            return self.error(session, "MALFORMED")
        if verb == "SET":
            key, _, value = rest.partition(" ")
            session["values"][key] = value
            return self.done(session)
        if verb == "PREPARE":
            key, _, shape = rest.partition(" ")
            session["prepared"][key] = shape
            return self.done(session)
        if verb == "DEALLOC":
            return self.done(session) if session["prepared"].pop(rest, None) else self.error(session, "NOSTMT")
        if text == "RESET":
            session["values"].clear()
            session["prepared"].clear()
            return self.done(session)
        if verb in ("STATUS", "STEPDOWN", "PAUSE", "RESUME"):
            return await self.answer_about_role(session, verb, rest)
        if needed and needed > self.applied_position():
            return self.error(session, "LAGGING")
        failure = self.fail(name, text) if self.fail else None
        if failure:
            return self.error(session, failure)
        if verb == "BEGIN":
            if not rest and not self.is_primary:
                return self.error(session, "READONLY")
            session.update(state="T", writes=[], readonly=bool(rest))
            return self.done(session)
        if verb == "ROLLBACK":
            session.update(state="I", writes=[])
            return self.done(session, signature=self.sign(name))
        return await self.run(session, name, text)

    async def answer_about_role(self, session, verb, rest):
        if self.busy >= self.slots + self.queue:
            return self.error(session, "THROTTLED")
        async with self.slot():
            if verb == "STEPDOWN" and self.is_primary and self.term < int(rest):
                await self.service.demote(self)
            row = "%s %d %d.%d %d %d %d %d" % (
                ("primary" if self.is_primary else "replica", self.term) + self.end() +
                (self.term, int(self.lag_s * 1000), self.busy, len(self.connections)))
        return self.done(session, [row])

    def slot(self):
        database = self

        class Slot:
            async def __aenter__(self):
                database.busy += 1
                await database.free_slot.acquire()

            async def __aexit__(self, *failure):
                database.free_slot.release()
                database.busy -= 1

        return Slot()

    async def run(self, session, name, text):
        verb, _, rest = text.partition(" ")
        if self.busy >= self.slots + self.queue:
            return self.error(session, "THROTTLED")
        async with self.slot():
            await asyncio.sleep(self.work_s)
        if verb == "EXECUTE":
            key, _, rest = rest.partition(" ")
            shape = session["prepared"].get(key)
            if shape is None:
                return self.error(session, "NOSTMT")
            verb = shape.split(" ")[0]
        in_transaction = session["state"] == "T"
        if not self.is_primary and (verb == "STORE" or (in_transaction and not session["readonly"] and (
                verb != "COMMIT" or session["writes"]))):
            if verb == "COMMIT":
                session.update(state="I", writes=[])
                return ("ERROR READONLY %s\r\n" % self.id).encode() + self.ready(session)
            return self.error(session, "READONLY")
        rows = []
        if verb == "FETCH":
            item = rest.split(" ")[0]
            rows = [self.value_of(item)]
        elif verb == "STORE":
            item, _, data = rest.partition(" ")
            session["writes"].append((name, item, data))
        self.service.record("%s ran %s: %s" % (self.id, name, text))
        if verb == "COMMIT":
            session["state"] = "I"
        if (verb == "COMMIT" or (verb == "STORE" and not in_transaction)) and session["writes"]:
            writes, session["writes"] = session["writes"], []
            if not await self.service.commit(self, writes):
                return ("ERROR TIMEOUT %s\r\n" % self.id).encode() + self.ready(session)
        return self.done(session, rows, self.sign(name))

    def value_of(self, item):
        applied = self.log if self.is_primary else self.log[:self.applied]
        for commit in reversed(applied):
            for _, key, data in commit.writes:
                if key == item:
                    return data
        return "none"


class Service:
    """The databases of one service with their replication and promotions."""

    def __init__(self, store, name, record, sync_replicas=0):
        self.store, self.name, self.record, self.sync_replicas = store, name, record, sync_replicas
        self.databases = [Database(self, "i-%s%d" % (name, number), number == 0) for number in range(3)]
        self.next_number = len(self.databases)
        self.addresses = {}
        self.named = self.databases[0].id
        self.promotions = []  # databases in the order in which they began to lead
        self.promote_s = 1.0
        self.heartbeat_s = 1.2

    async def start(self):
        for one in self.databases:
            await one.start()
            self.addresses[one.id] = "%s:%d" % (HOST, one.port)
            asyncio.ensure_future(self.beat(one))

    def find(self, name):
        return next(one for one in self.databases if one.id == name)

    async def beat(self, one):
        while one.is_running:
            await self.list(one)
            await asyncio.sleep(self.heartbeat_s)
        await asyncio.sleep(2 * self.heartbeat_s)
        if not one.is_running:
            await self.store.remove("servers/" + one.id)

    async def list(self, one):
        await self.store.put("servers/" + one.id, one.entry(self.addresses[one.id]))

    async def commit(self, primary, writes):
        end = primary.end()
        commit = Commit(primary.term, end[1] + 1, writes)
        primary.log.append(commit)
        received = 0
        for one in self.databases:
            if one is not primary and one.is_running and not one.is_deaf and not one.is_primary:
                self.receive(one, primary)
                received += 1
        return received >= self.sync_replicas

    def receive(self, replica, primary):
        for commit in primary.log[len(replica.log):]:
            replica.log.append(commit)
            asyncio.get_running_loop().call_later(replica.lag_s, self.apply, replica, commit)

    @staticmethod
    def apply(replica, commit):
        if commit in replica.log:
            replica.applied = max(replica.applied, replica.log.index(commit) + 1)

    def hear_again(self, replica):
        """Ends the time for which a replica received nothing."""
        replica.is_deaf = False
        primary = next((one for one in self.databases if one.is_primary and one.is_running), None)
        if primary:
            self.receive(replica, primary)

    async def demote(self, one):
        one.is_primary = False
        one.applied = len(one.log)
        await self.list(one)

    async def replace(self, old):
        """Ends a database that has drained. A new one with its log starts at its address, as a replica."""
        primary = next(one for one in self.databases if one.is_primary)
        old.crash()
        await self.store.remove("servers/" + old.id)
        new = Database(self, "i-%s%d" % (self.name, self.next_number), False)
        self.next_number += 1
        new.port, new.lag_s, new.work_s, new.term = old.port, old.lag_s, old.work_s, primary.term
        new.log = list(primary.log)
        new.applied = len(new.log)
        self.databases[self.databases.index(old)] = new
        await new.start()
        self.addresses[new.id] = "%s:%d" % (HOST, new.port)
        asyncio.ensure_future(self.beat(new))

    async def promote(self, name):
        """Makes a database lead. Returns the status to answer."""
        chosen = self.find(name)
        if not chosen.is_running:
            return 409
        if self.named == name:
            return 200
        self.named = name
        asyncio.ensure_future(self.take_lead(chosen))
        return 200

    async def take_lead(self, chosen):
        await asyncio.sleep(self.promote_s)
        chosen.term = max(one.term for one in self.databases) + 1
        chosen.is_primary, chosen.is_deaf = True, False
        chosen.applied = len(chosen.log)
        self.promotions.append((chosen, list(chosen.log)))
        self.record("%s leads term %d with %d commits" % (chosen.id, chosen.term, len(chosen.log)))
        await self.list(chosen)
        await asyncio.sleep(0.05)
        for one in self.databases:
            if one is chosen or not one.is_running:
                continue
            if one.is_primary:
                await asyncio.sleep(1.0)
                one.is_primary = False
            common = 0
            while common < min(len(one.log), len(chosen.log)) and one.log[common] is chosen.log[common]:
                common += 1
            del one.log[common:]
            one.applied = min(one.applied, common)
            one.term = chosen.term
            if not one.is_deaf:
                self.receive(one, chosen)
            await self.list(one)


# Links --------------------------------------------------------------------------------------------------


class Link:
    """Forwards connections to one port. While it is cut, nothing arrives in either direction, no connection
    ends, and new connections are not accepted. At the end of a cut, held bytes arrive, except those of a
    sender that has reset its connection."""

    def __init__(self, target, name):
        self.target, self.name = target, name
        self.open = asyncio.Event()
        self.open.set()
        self.delay_s = 0.0
        self.on_bytes = None  # called with what a daemon sends, before it is forwarded
        self.fillers = []
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((HOST, 0))
        self.socket.listen(64)
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]
        asyncio.ensure_future(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            await self.open.wait()
            source, _ = await loop.sock_accept(self.socket)
            if not self.open.is_set():
                # It arrived during the cut; a partition would not have let it through.
                asyncio.ensure_future(self.hold(source))
                continue
            asyncio.ensure_future(self.forward(source))

    async def hold(self, source):
        await self.open.wait()
        source.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        source.close()

    async def forward(self, source):
        loop = asyncio.get_running_loop()
        target = socket.socket()
        target.setblocking(False)
        source.setblocking(False)
        for one in (source, target):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await loop.sock_connect(target, (HOST, self.target))
        except OSError:
            source.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            source.close()
            return
        await asyncio.gather(self.pump(source, target, True), self.pump(target, source, False))
        source.close()
        target.close()

    async def pump(self, source, target, is_from_daemon):
        loop = asyncio.get_running_loop()
        try:
            while True:
                data = await loop.sock_recv(source, 65536)
                if data and is_from_daemon and self.on_bytes:
                    self.on_bytes(data)
                if self.delay_s and not is_from_daemon:
                    await asyncio.sleep(self.delay_s)
                if not self.open.is_set():
                    await self.open.wait()
                    if self.was_reset(source):
                        raise ConnectionResetError
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    return
                await loop.sock_sendall(target, data)
        except OSError:
            for one in (source, target):
                try:
                    one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                    one.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    @staticmethod
    def was_reset(source):
        return source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()


# Daemons ------------------------------------------------------------------------------------------------


class Daemon:
    """One sassafras_sessiond, started with the command and the settings of the deploy file."""

    def __init__(self, deployment, number):
        self.deployment, self.number = deployment, number
        self.name = "frontend-%d" % number
        self.client_port, self.readiness_port = free_port(), free_port()
        self.peer_port, self.metrics_port = free_port(), free_port()
        self.store_link = Link(deployment.store.port, self.name + " to the store")
        self.promotion_link = Link(deployment.promotion_port, self.name + " to the promotion calls")
        self.process = None

    def settings(self):
        values = {
            "node-name": self.name, "zone": "zg-centar", "limits.cores": "1",
            "listen-addresses.frontend": "%s:%d" % (HOST, self.client_port),
            "listen-addresses.readiness": "%s:%d" % (HOST, self.readiness_port),
            "ip": HOST, "internal-ports.0": str(self.peer_port), "internal-ports.1": str(self.metrics_port),
            "platform.address": "%s:%d" % (HOST, self.store_link.port),
            "cloud-api.address": "%s:%d" % (HOST, self.promotion_link.port),
            "bounds.drain-ms": "7000", "bounds.grace-s": "6", "limits.memory-mb": "390",
            "limits.max-fds": "1000"}
        with open(os.path.join(REPOSITORY, "deploy", "settings.ini"), encoding="utf-8") as template:
            return re.sub(r"\{\{([^}]*)\}\}", lambda found: values.get(found.group(1), ""), template.read())

    def start(self):
        path = os.path.join(self.deployment.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        program = os.path.join(REPOSITORY, "target", "services", "sassafras_sessiond", "sassafras_sessiond")
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["SASSAFRASDEAL_SETTINGS"] = path
        self.process = subprocess.Popen([program], cwd=REPOSITORY, env=environment, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()

    def cut_from_platform(self):
        self.store_link.cut()
        self.promotion_link.cut()

    def heal(self):
        self.store_link.heal()
        self.promotion_link.heal()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.readiness_port)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def log_lines(self, event):
        with open(os.path.join(self.deployment.folder, self.name + ".log"), encoding="utf-8",
                  errors="replace") as file:
            return [line.rstrip() for line in file if event in line]


class Client:
    """A client session. Operations get new ids."""

    last_id = 0

    def __init__(self, deployment, daemon, database):
        self.deployment, self.daemon, self.database = deployment, daemon, database
        self.reader = self.writer = None

    async def start(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.daemon.client_port, limit=2 ** 21)
        self.writer.write(("START %s u3f1\r\n" % self.database).encode())
        return (await self.reader.readline()).decode().strip()

    async def send(self, text):
        Client.last_id += 1
        name = "%016x" % (0x5c0e7a21d94b0000 + Client.last_id)
        self.deployment.record("sent %s to %s: %s" % (name, self.daemon.name, text))
        self.writer.write(("QUERY %s %s\r\n" % (name, text)).encode())
        return name

    async def receive(self):
        """Returns the rows, the last line before READY, and READY's fields; None if the connection ended."""
        rows = []
        status = None
        while True:
            line = (await self.reader.readline()).decode()
            if not line.endswith("\r\n"):
                return None
            line = line[:-2]
            if line.startswith("ROW "):
                rows.append(line[4:])
            elif line.startswith("READY"):
                return rows, status, line
            else:
                status = line

    async def run(self, text, limit_s=4.0):
        try:
            name = await self.send(text)
            answer = await asyncio.wait_for(self.receive(), limit_s)
            self.deployment.record("answered %s: %s" % (name, answer))
            return answer
        except (OSError, asyncio.TimeoutError):
            return None

    def close(self):
        if self.writer:
            self.writer.close()


class Deployment:
    """A small deployment: the platform, one service with three databases, and the daemons."""

    ROUTES = (
        ("payouts", "primary", 800, 100, 0, {}),
        ("batches", "read_your_writes", 800, 200, 1, {"max-staleness-ms": 2500}),
        ("lookups", "bounded_staleness", 1200, 600, 2, {"max-staleness-ms": 1500}),
    )

    def __init__(self, folder, daemons=3, sync_replicas=0):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="sassafrasdeal-review-")
        self.daemon_count, self.sync_replicas = daemons, sync_replicas
        self.store = self.service = None
        self.daemons = []
        self.promotion_port = None
        self.promotion_calls = []  # rows of time, holder, token, database, status

    async def start(self):
        program = os.path.join(REPOSITORY, "target", "services", "sassafras_sessiond", "sassafras_sessiond")
        if not os.access(program, os.X_OK):
            raise RuntimeError("the daemon is not built")
        self.store = Store()
        await self.store.start()
        self.service = Service(self.store, "dahu75a", self.record, self.sync_replicas)
        await self.service.start()
        self.promotion_port = await serve_http(self.promote)
        self.database_links = {}
        await self.store.put("op/config", self.configuration(7))
        for number in range(self.daemon_count):
            self.daemons.append(Daemon(self, number))
            self.daemons[-1].start()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            ready = [await one.is_ready() for one in self.daemons]
            if all(ready):
                self.record("all daemons are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the daemons did not get ready")

    def configuration(self, version):
        routes = [dict({"name": "r-" + name, "database-name": name, "prefix": "/", "type": kind,
                        "timeout-ms": timeout, "target-latency-ms": aim, "priority": priority,
                        "service": self.service.name, "max-attempts": 2}, **more)
                  for name, kind, timeout, aim, priority, more in self.ROUTES]
        return {"version": version, "routes": routes,
                "services": [{"name": self.service.name, "health-check-path": "/health",
                              "max-connections": 16, "protocol": "h1", "tls": False,
                              "sync-replicas": self.sync_replicas}],
                "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                           "idle-timeout-ms": 15000, "tx-idle-ms": 3000}}

    async def promote(self, method, target, headers, body):
        asked = json.loads(body)
        holder, token = headers.get("lease-holder"), int(headers.get("fencing-token", "-1"))
        status = await self.service.promote(asked["id"])
        self.promotion_calls.append((time.monotonic(), holder, token, asked["id"], status))
        self.record("promotion call: holder %s token %d database %s, answered %d" % (
            holder, token, asked["id"], status))
        return status, {}

    def leader(self):
        """Returns the daemon that the store shows as the leader, or None."""
        for key, item in self.store.items.items():
            if key.endswith("/duty"):
                address = base64.b64decode(item["value"]).decode(errors="replace").split(" ")[0]
                for one in self.daemons:
                    if address == "%s:%d" % (HOST, one.peer_port):
                        return one
        return None

    def stop(self, keeps_logs=False):
        for one in self.daemons:
            if one.process and one.process.poll() is None:
                try:
                    one.process.send_signal(signal.SIGCONT)
                    one.process.kill()
                    one.process.wait()
                except OSError:
                    pass
        if keeps_logs:
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, main, **options):
    """Runs a case and exits with its result. `main` gets the deployment and whether to bring the disruption
    about, and returns RULE_HELD, RULE_BROKEN or NOT_RUN."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        deployment = Deployment(folder, **options)
        deployment.record("disruption: %s" % ("yes" if has_trouble else "no"))
        result = NOT_RUN
        try:
            await deployment.start()
            result = await asyncio.wait_for(main(deployment, has_trouble), 100)
        except (RuntimeError, asyncio.TimeoutError, OSError) as failure:
            deployment.record("could not run: %r" % failure)
        finally:
            deployment.stop(os.environ.get("KEEP_LOGS") == "1")
        deployment.record("exit %d" % result)
        sys.stderr.flush()
        # Without the end of the event loop, which would report each open connection.
        os._exit(result)

    def interrupt(*_):
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, interrupt)
    asyncio.run(play())
