"""The record of a case: what was sent, answered and run, one line each."""

import time


class Record:
    """Writes lines with the time since the start of the case."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, who, text):
        self._file.write(f"{self.now():9.4f} {who}: {text}\n")

    def flush(self):
        self._file.flush()

    def close(self):
        self._file.close()
