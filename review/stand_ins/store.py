"""The platform's store and its promotion call, as PROTOCOL.md describes them."""

import asyncio
import base64
import json
import time
import urllib.parse


def encode(value):
    return base64.b64encode(value).decode()


class HttpServer:
    """A small HTTP/1.1 server with persistent connections and JSON bodies."""

    def __init__(self):
        self._server = None
        self._writers = set()
        self.refusing = None  # a status that every call gets, or "silent"

    async def listen(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, colon, value = line.partition(":")
                    if colon:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if self.refusing == "silent":
                    await asyncio.sleep(3600)
                if self.refusing is not None:
                    status, answer = self.refusing, {}
                else:
                    status, answer = await self.answer(method, target, headers, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def reset_connections(self):
        for writer in list(self._writers):
            writer.transport.abort()


class Store(HttpServer):
    """Keys with revisions, leases, watches and conditional changes."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self._revision = 100
        self.items = {}
        self._history = []
        self._leases = {}
        self._next_lease = 1000
        self._changed = asyncio.Condition()

    def start(self):
        asyncio.ensure_future(self._end_leases())

    async def put(self, key, value, lease=0):
        """A change by an operator or a database."""
        self._put(key, value, lease)
        await self._notify()

    async def delete(self, key):
        self._delete(key)
        await self._notify()

    def _put(self, key, value, lease):
        self._revision += 1
        created = self.items[key]["created"] if key in self.items else self._revision
        item = {"key": key, "value": encode(value), "revision": self._revision, "created": created, "lease": lease}
        self.items[key] = item
        self._history.append(item)

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self._revision += 1
            self._history.append({"key": key, "revision": self._revision, "deleted": True})

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def _end_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            ended = [one for one, (end, _) in self._leases.items() if end <= now]
            for lease in ended:
                del self._leases[lease]
                for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                    self._delete(key)
            if ended:
                await self._notify()

    async def answer(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        await asyncio.sleep(0.004)
        if parts.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self._revision}) if item else (404, {})
        if parts.path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > query.get("after", ""))
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "has-more": len(keys) > 500, "at": self._revision}
        if parts.path == "/kv-watch":
            return await self._watch(query["prefix"], int(query["after"]), int(query["wait-ms"]) / 1000)
        request = json.loads(body or b"{}")
        if parts.path == "/kv-txn":
            return await self._change(request)
        if parts.path == "/kv-lease":
            self._next_lease += 1
            ttl = request["ttl-ms"] / 1000
            self._leases[self._next_lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": self._next_lease, "ttl-ms": request["ttl-ms"]}
        if parts.path.startswith("/kv-keep/"):
            lease = int(parts.path.rsplit("/", 1)[1])
            if lease not in self._leases:
                return 404, {}
            ttl = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"ttl-ms": int(ttl * 1000)}
        return 404, {}

    async def _watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            events = [one for one in self._history if one["revision"] > after and one["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self._revision}
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _change(self, request):
        expected = request.get("expected", [])
        for one in expected:
            item = self.items.get(one["key"])
            if (item["revision"] if item else 0) != one["revision"]:
                shown = [self.items[key["key"]] for key in expected if key["key"] in self.items]
                return 412, {"items": shown}
        for one in request.get("puts", []):
            if one.get("lease", 0) and one["lease"] not in self._leases:
                return 404, {}
        for one in request.get("puts", []):
            value = base64.b64decode(one["value"])
            self._put(one["key"], value, one.get("lease", 0))
            self._record.write("store", f"put {one['key']} revision {self._revision} {value!r}")
        for key in request.get("deletes", []):
            self._delete(key)
            self._record.write("store", f"delete {key} revision {self._revision}")
        await self._notify()
        return 200, {"revision": self._revision}

    def leader(self):
        """The address in the leader's entry of the daemons, or nothing."""
        item = self.items.get("sassafrasdeal/duty")
        return base64.b64decode(item["value"]).decode().split(" ")[0] if item else None


class Promotions(HttpServer):
    """POST /promote: the named database leads some hundred milliseconds later."""

    def __init__(self, record, services, promote_ms):
        super().__init__()
        self._record = record
        self._services = services
        self._promote_ms = promote_ms

    async def answer(self, method, target, headers, body):
        request = json.loads(body or b"{}")
        service = self._services.get(request.get("service"))
        self._record.write("platform", f"{target} {request} holder {headers.get('lease-holder')} token {headers.get('fencing-token')}")
        if service is None or target != "/promote":
            return 404, {}
        database = service.find(request["id"])
        if database is None or not database.is_running:
            return 409, {}
        if database is not service.leading():
            service.promote_later(database, self._promote_ms / 1000)
        return 200, {}
