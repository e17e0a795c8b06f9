"""A small deployment: the store, the promotion call, databases and daemons."""

import asyncio
import json

from daemons import Daemon
from databases import Service
from store import Promotions, Store

HOST = "127.0.0.1"
ROUTES = (
    # database name, type, timeout, target latency, priority, staleness
    ("confirm", "primary", 800, 100, 0, 0),
    ("post", "read_your_writes", 800, 200, 1, 2500),
    ("lookup", "bounded_staleness", 1200, 600, 2, 1500),
)


class Deployment:
    """Like skrb-pogreb on the sheet in SYSTEM.md: 5 daemons, services of 3 databases."""

    def __init__(self, record, bounds, promote_ms=1000, lag_ms=60, daemons=5, services=1, statement_s=0.003, slots=2):
        self.record = record
        self.bounds = bounds
        self.store = Store(record)
        self.services = {}
        self.promotions = Promotions(record, self.services, promote_ms)
        self.daemons = []
        self._lag_ms = lag_ms
        self._count = daemons
        self._service_count = services
        self._statement_s = statement_s
        self._slots = slots
        self._version = 0

    async def start(self):
        await self.store.listen(HOST)
        self.store.start()
        await self.promotions.listen(HOST)
        for number in range(self._service_count):
            service = Service(self.record, self.store, f"huvo{number}a", self._lag_ms)
            self.services[service.name] = service
            for zone in ("a", "b", "c"):
                await service.add(HOST, zone, self._slots, self._statement_s)
        await self.configure()
        for number in range(self._count):
            self.daemons.append(Daemon(number, self.store.address, self.promotions.address, self.bounds, "abcd"[number % 4]))
            self.daemons[-1].start()
        await self.wait_ready()

    async def configure(self):
        """Writes the next version of the configuration."""
        self._version += 7
        routes = []
        for number, service in enumerate(self.services):
            for name, kind, timeout, target, priority, staleness in ROUTES:
                route = {"name": f"r-{name}{number}", "database-name": f"{name}{number}", "prefix": "/", "type": kind,
                         "timeout-ms": timeout, "target-latency-ms": target, "priority": priority, "service": service,
                         "max-attempts": 2}
                if staleness:
                    route["max-staleness-ms"] = staleness
                routes.append(route)
        services = [{"name": name, "max-connections": 16} for name in self.services]
        config = {"version": self._version, "routes": routes, "services": services, "limits": {"tx-idle-ms": 2000}}
        await self.store.put("op/config", json.dumps(config).encode())
        self.record.write("operator", f"configuration {self._version} acknowledged")

    async def wait_ready(self, limit_s=20):
        loop = asyncio.get_running_loop()
        for _ in range(int(limit_s / 0.2)):
            ready = await asyncio.gather(*(loop.run_in_executor(None, one.is_ready) for one in self.daemons))
            if all(ready):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the daemons don't get ready")

    def service(self, number=0):
        return list(self.services.values())[number]

    def stop(self):
        for one in self.daemons:
            one.remove()
