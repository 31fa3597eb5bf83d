"""Test case that runs the programs of platform/ against stand-ins, one deployment per test."""
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins" / "fleet"))
from peers import AGENT_NET, ENTRY_NET, Store, Worker, send  # noqa: E402

BUILD = pathlib.Path(os.environ["CAROBFALL_BUILD"]) / "platform"
HOST = "advice.example"
ENTRIES, AGENTS = 2, 3


def free_ports(count):
    """Free ports chosen by the kernel. All are bound at the same time, so that they differ."""
    sockets, ports = [], []
    for _ in range(count):
        one = socket.socket()
        one.bind(("127.0.0.1", 0))
        sockets.append(one)
        ports.append(one.getsockname()[1])
    for one in sockets:
        one.close()
    return ports


def configuration(version, prefixes):
    routes = [{"name": "r" + p, "host": HOST, "prefix": p, "type": "non_idempotent",
               "timeout_ms": 1500, "target_completion_ms": 500, "priority": 0,
               "service": "adviser", "max_attempts": 3, "slack_factor": 3} for p in prefixes]
    return json.dumps({"version": version, "routes": routes, "services": [{"name": "adviser"}],
                       "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})


class PlatformCase(unittest.TestCase):
    store_type = Store
    seed_ip = ENTRY_NET + "1"
    entry_count, agent_count = ENTRIES, AGENTS

    def prepare(self):
        """Hook that runs after the stand-ins have started and before the programs start."""

    def setUp(self):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="carobfall-platform-"))
        self.processes, self.workers = {}, []
        ports = iter(free_ports(2 + self.entry_count * 3 + self.agent_count * 2))
        self.link_port = next(ports)
        self.store = self.store_type(("127.0.0.1", next(ports)))
        self.store.put("op", "config", configuration(3, ["/check/"]))
        self.settings = {}
        self.entries = []
        for i in range(self.entry_count):
            name, ip = "entry-%d" % i, ENTRY_NET + str(i + 1)
            front, ready, control = next(ports), next(ports), next(ports)
            self.entries.append((ip, front))
            self.settings[name] = self.common(name, ip, ("mapo", "guro")[i % 2]) | {
                "listen_addrs": {"front": "%s:%d" % (ip, front), "ready": "%s:%d" % (ip, ready),
                                 "control": "%s:%d" % (ip, control)}}
        for i in range(self.agent_count):
            name, ip = "agent-%d" % i, AGENT_NET + str(i + 1)
            control, app = next(ports), next(ports)
            zone = ("mapo", "guro", "guro")[i % 3]
            self.settings[name] = self.common(name, ip, zone) | {
                "listen_addrs": {"control": "%s:%d" % (ip, control)}, "app": "%s:%d" % (ip, app)}
            self.workers.append(Worker((ip, app), (ip, control), zone))
        self.prepare()
        for name in self.settings:
            self.start(name)
        self.addCleanup(self.clean_up)
        for entry in self.entries:
            self.wait_for(lambda e=entry: self.submit("%016x" % 1, e)[0] == 200, "entry serves")
        self.wait_for(lambda: self.used_workers() == self.agent_count, "tasks run on every worker")

    def common(self, name, ip, zone):
        return {"node_name": name, "ip": ip, "zone": zone,
                "internal_port_range": [self.link_port, self.link_port + 1],
                "seeds": [self.seed_ip + ":9"], "limits": {"max_fds": 2000},
                "platform": {"address": "127.0.0.1:%d" % self.store.server.server_address[1]}}

    def start(self, name):
        path = self.directory / (name + ".json")
        path.write_text(json.dumps(self.settings[name]))
        program = "carobfall-platform-" + name.split("-")[0]
        with open(self.directory / (name + ".log"), "a") as log:
            self.processes[name] = subprocess.Popen(
                [BUILD / program], stdout=log, stderr=log,
                env={"CAROBFALL_SETTINGS": str(path), "PATH": os.environ["PATH"]})

    def clean_up(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        for worker in self.workers:
            worker.stop()
        self.store.stop()

    def log(self, name):
        return (self.directory / (name + ".log")).read_text()

    def used_workers(self):
        self.submit("%016x" % time.monotonic_ns(), self.entries[0], count=24)
        return sum(1 for w in self.workers if w.started)

    def wait_for(self, condition, what, seconds=10):
        end = time.monotonic() + seconds
        while not condition():
            self.assertLess(time.monotonic(), end, what)
            time.sleep(0.02)

    def submit(self, job, entry=None, count=4, prefix="/check/", deadline=4000, **changes):
        document = {"spec": "text", "best_effort": True,
                    "steps": [{"count": count, "cpu": 6200, "mem_mb": 64, "estimated_ms": 60}]}
        return send(entry or self.entries[0], "POST", prefix + job, document | changes,
                    {"Host": HOST, "Carobfall-Deadline-Ms": str(deadline)})
