"""Session daemons as separate processes, with the deploy file's command and template."""

import os
import signal
import socket
import subprocess
import tempfile
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/services/sassafras_sessiond/sassafras_sessiond")
TEMPLATE = os.path.join(ROOT, "deploy/settings.ini")


def free_port(host):
    for kind in (socket.SOCK_STREAM,):
        with socket.socket(socket.AF_INET, kind) as one:
            one.bind((host, 0))
            return one.getsockname()[1]


class Daemon:
    """One daemon process on a loopback address of its own."""

    def __init__(self, number, store, promotions, bounds, zone):
        self.name = f"frontend-{number}"
        self.host = f"127.0.0.{10 + number}"
        ports = set()
        while len(ports) < 4:
            ports.add(free_port(self.host))
        frontend, readiness, peers, metrics = ports
        self.clients = (self.host, frontend)
        self.readiness = f"{self.host}:{readiness}"
        self.peers = f"{self.host}:{peers}"
        values = {
            "node-name": self.name, "zone": zone, "limits.cores": "1", "ip": self.host,
            "listen-addresses.frontend": f"{self.host}:{frontend}",
            "listen-addresses.readiness": self.readiness,
            "internal-ports.0": str(peers), "internal-ports.1": str(metrics),
            "platform.address": store, "cloud-api.address": promotions,
            "bounds.drain-ms": str(bounds["drain-ms"]), "bounds.grace-s": str(bounds["grace-s"]),
        }
        with open(TEMPLATE, encoding="utf-8") as template:
            text = template.read()
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        self._folder = tempfile.mkdtemp(prefix="review-")
        self._settings = os.path.join(self._folder, "settings.ini")
        with open(self._settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = os.path.join(self._folder, "log")
        self.process = None

    def start(self):
        environment = {"PATH": os.environ["PATH"], "HOME": self._folder, "SASSAFRASDEAL_SETTINGS": self._settings}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=environment, stdout=log, stderr=log)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def is_ready(self):
        try:
            with urllib.request.urlopen(f"http://{self.readiness}/readiness", timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def kill(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()

    def remove(self):
        self.kill()
        if os.environ.get("KEEP_LOGS") is None:
            for name in ("settings.ini", "log"):
                path = os.path.join(self._folder, name)
                if os.path.exists(path):
                    os.remove(path)
            os.rmdir(self._folder)
        else:
            print(self.name, self.log)
