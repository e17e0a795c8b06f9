"""Client sessions that speak the wire protocol of PROTOCOL.md."""

import asyncio
import uuid


class Closed(Exception):
    """The connection ended without a complete answer."""


class Answer:
    def __init__(self, rows, status, text, state):
        self.rows = rows
        self.status = status  # COMPLETE or an error code
        self.text = text
        self.state = state

    @property
    def is_done(self):
        return self.status == "COMPLETE"


class Session:
    """One connection of a client to a daemon, with one statement outstanding at most."""

    def __init__(self, record, daemon, database, name):
        self._record = record
        self._daemon = daemon
        self._database = database
        self.name = name
        self._reader = None

    async def open(self):
        self._reader, self._writer = await asyncio.open_connection(*self._daemon.clients, limit=2 << 20)
        self._writer.write(f"START {self._database} {self.name}\r\n".encode())
        line = await self._line()
        if not line.startswith("READY"):
            raise Closed(line)
        return self

    async def _line(self):
        try:
            return (await self._reader.readuntil(b"\r\n"))[:-2].decode()
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise Closed(str(error)) from error

    def is_closed(self):
        return self._reader is None or self._reader.at_eof() or self._writer.is_closing()

    def send(self, text):
        """Sends a statement and returns its id and the time of its first byte."""
        identifier = uuid.uuid4().hex[:16]
        sent_at = self._record.now()
        self._record.write(self.name, f"to {self._daemon.name} sends {identifier} {text}")
        self._writer.write(f"QUERY {identifier} {text}\r\n".encode())
        return identifier, sent_at

    async def answer(self, identifier):
        rows = []
        status, detail = None, ""
        while True:
            line = await self._line()
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "COMPLETE":
                status, detail = "COMPLETE", rest
            elif word == "ERROR":
                status, _, detail = rest.partition(" ")
            else:
                state = rest.split(" ")[0]
                self._record.write(self.name, f"answer {identifier} {status} {detail} rows {rows} state {state}")
                return Answer(rows, status, detail, state)

    async def run(self, text):
        identifier, sent_at = self.send(text)
        return identifier, sent_at, await self.answer(identifier)

    def close(self):
        if self._reader is not None:
            self._writer.close()
