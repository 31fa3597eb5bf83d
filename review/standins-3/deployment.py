"""A small deployment of the programs of the deploy file, on loopback addresses.

The store and the workers are the project's own stand-ins (tests/standins/fleet/peers.py). `Caller`
is a client with one connection that it keeps open, as the pages describe clients. All that is
sent, answered and run is collected for `record.txt`.
"""
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "standins" / "fleet"))
from peers import AGENT_NET, ENTRY_NET, Store, Worker  # noqa: E402

PROGRAMS = ROOT / "target" / "platform"
HOST, PREFIX = "advice.example", "/check/"
ZONES = ("mapo-hall", "guro-hall")
# The bounds of the settings example in DEPLOY.md.
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
          "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "rollback_slack_ms": 250, "max_stretch_ms": 5000, "evacuate_ms": 5000, "recovery_s": 12,
          "max_hold_ms": 1000, "stop_ms": 50, "cancel_ms": 3000, "visible_ms": 3000,
          "early_ms": 250, "finish_s": 14, "status_s": 120, "remote_slowdown": 1.5,
          "notice_ms": 4500, "fencing_enforced": True, "lease_ms": 3000, "retry_ms": 1300}


def free_ports(count):
    """Free ports chosen by the kernel; all are bound at the same time, so that they differ."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class CannotRun(Exception):
    """The deployment did not reach the state that the case needs."""


class Record:
    """Lines with the seconds since the start, in the order of the events."""

    def __init__(self, path):
        self.path, self.started_at, self.lines = path, time.monotonic(), []
        self.lock = threading.Lock()

    def add(self, text, at=None):
        at = time.monotonic() if at is None else at
        with self.lock:
            self.lines.append((at, "%8.3f s  %s" % (at - self.started_at, text)))

    def write(self):
        with self.lock:
            lines = [line for _, line in sorted(self.lines, key=lambda line: line[0])]
        self.path.write_text("\n".join(lines) + "\n")


class ClockedWorker(Worker):
    """A worker whose clock starts at a given time in each life. A restarted worker's clock starts
    anew; the first origin is the `clock_ms` of PROTOCOL.md's example of a heartbeat, which is the
    fourth of its worker."""

    ORIGINS_MS = (482113, 100000)

    def begin_life(self):
        super().begin_life()
        self.begun -= self.ORIGINS_MS[min(self.lives, len(self.ORIGINS_MS)) - 1] / 1000


class Caller:
    """A client that keeps its connection to one entry open."""

    def __init__(self, deployment, entry):
        self.deployment, self.entry = deployment, entry
        self.connection = http.client.HTTPConnection(*deployment.fronts[entry], timeout=30)
        self.connection.connect()

    def call(self, method, path, document=None, deadline_ms=None):
        """Status and body; (None, "") if the connection ended without a complete answer."""
        record = self.deployment.record
        headers = {"Host": HOST, "Content-Type": "application/json"}
        if deadline_ms is not None:
            headers["Carobfall-Deadline-Ms"] = str(deadline_ms)
        body = None if document is None else json.dumps(document)
        record.add("client -> entry-%d  %s %s %s" % (self.entry, method, path, body or ""))
        try:
            self.connection.request(method, path, body, headers)
            answer = self.connection.getresponse()
            status, text = answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException) as error:
            record.add("client <- entry-%d  %s %s: no complete answer, %s" % (
                self.entry, method, path, type(error).__name__))
            return None, ""
        record.add("client <- entry-%d  %s %s: %d %s" % (self.entry, method, path, status, text))
        return status, text

    def close(self):
        self.connection.close()


class Deployment:
    """Entries and agents as processes; store and workers as threads of this process."""

    def __init__(self, folder, entries=2, agents=3, run_ms=60, timeout_ms=10000,
                 worker_type=Worker):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="carobfall-review-"))
        self.processes, self.settings, self.fronts, self.ready = {}, {}, [], []
        self.workers, self.store, self.run_ms = [], None, run_ms
        self.worker_type = worker_type
        self.entries, self.agents, self.timeout_ms = entries, agents, timeout_ms

    def __enter__(self):
        try:
            self.start_all()
        except BaseException:
            self.stop_all()
            raise
        return self

    def __exit__(self, *failure):
        self.stop_all()

    def configuration(self, version=3):
        route = {"name": "r1", "host": HOST, "prefix": PREFIX, "type": "non_idempotent",
                 "timeout_ms": self.timeout_ms, "target_completion_ms": 500, "priority": 0,
                 "service": "adviser", "max_attempts": 3, "slack_factor": 3}
        return json.dumps({"version": version, "routes": [route],
                           "services": [{"name": "adviser", "enforces_capacity": True}],
                           "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                                      "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def start_all(self):
        for program in ("carobfall-platform-entry", "carobfall-platform-agent"):
            if not (PROGRAMS / program).exists():
                raise CannotRun("%s is not built" % program)
        ports = iter(free_ports(2 + 3 * self.entries + 2 * self.agents))
        self.link_port, store_port = next(ports), next(ports)
        self.store = Store(("127.0.0.1", store_port))
        self.store.put("op", "config", self.configuration())
        for i in range(self.entries):
            ip, front, ready, control = ENTRY_NET + str(i + 1), next(ports), next(ports), next(ports)
            self.fronts.append((ip, front))
            self.ready.append((ip, ready))
            self.settings["entry-%d" % i] = self.common("entry-%d" % i, ip, i, store_port) | {
                "role": "entry", "machine_class": "edge", "serves": ["edge", "control_plane"],
                "listen_addrs": {"front": "%s:%d" % (ip, front), "ready": "%s:%d" % (ip, ready),
                                 "control": "%s:%d" % (ip, control)}}
        for i in range(self.agents):
            ip, control, app = AGENT_NET + str(i + 1), next(ports), next(ports)
            self.settings["agent-%d" % i] = self.common("agent-%d" % i, ip, i, store_port) | {
                "role": "agent", "machine_class": "side", "serves": ["side"],
                "listen_addrs": {"control": "%s:%d" % (ip, control)}, "app": "%s:%d" % (ip, app)}
            worker = self.worker_type((ip, app), (ip, control), ZONES[i % len(ZONES)])
            worker.run_ms = self.run_ms
            self.workers.append(worker)
        for name in self.settings:
            self.start(name)
        self.wait_for(lambda: all(self.is_ready(i) for i in range(self.entries)), "entries ready")
        time.sleep(0.5)  # the other agents connect as well
        self.record.add("deployment ready: %d entries, %d agents" % (self.entries, self.agents))

    def common(self, name, ip, position, store_port):
        zone = ZONES[position % len(ZONES)]
        return {"node_name": name, "ip": ip, "zone": zone, "region": "seoul-metro",
                "zones": {z: "seoul-metro" for z in ZONES},
                "internal_port_range": [self.link_port, self.link_port + 1],
                "seeds": [ENTRY_NET + "1:9"], "bootstrap": True, "in_tolerance": False,
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                           "link_mbps": 1000.0, "disk_mb": 0},
                "data_dir": None, "discovery": "local", "entry": "vip", "heartbeat_ms": 300,
                "contracts": ["base", "drain", "config", "cost", "recover", "sched", "places",
                              "platform"],
                "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
                "orders": "call",
                "platform": {"address": "127.0.0.1:%d" % store_port, "form": "table",
                             "writes_per_s": 800, "reads_per_s": 2000}}

    def start(self, name):
        path = self.directory / (name + ".json")
        path.write_text(json.dumps(self.settings[name]))
        program = PROGRAMS / ("carobfall-platform-" + name.split("-")[0])
        with open(self.directory / (name + ".log"), "a") as log:
            self.processes[name] = subprocess.Popen(
                [str(program)], cwd=ROOT, stdout=log, stderr=log,
                env={"CAROBFALL_SETTINGS": str(path), "PATH": os.environ["PATH"]})

    def signal(self, name, number):
        self.record.add("%s gets %s" % (name, signal.Signals(number).name))
        self.processes[name].send_signal(number)

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for worker in self.workers:
            worker.stop()
        if self.store is not None:
            self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    def is_ready(self, entry):
        connection = http.client.HTTPConnection(*self.ready[entry], timeout=1)
        try:
            connection.request("GET", "/api/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_for(self, condition, what, seconds=15):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun("not reached: " + what)
            time.sleep(0.02)

    def runs(self, job):
        """(start, end or None, task, run, how, worker) of all runs of the job, by start."""
        found = []
        for number, worker in enumerate(self.workers):
            for task, run, begun, ended, how in worker.all_intervals():
                if task.startswith(job + "."):
                    found.append((begun, ended, task, run, how, number))
        return sorted(found, key=lambda run: run[0])

    def record_runs(self, job):
        for begun, ended, task, run, how, number in self.runs(job):
            self.record.add("worker-%d starts %s run %d" % (number, task, run), begun)
            if ended is not None:
                self.record.add("worker-%d ends %s run %d: %s" % (number, task, run, how), ended)


def job(count, run_ms, **step):
    """A job with one step of `count` tasks that needn't be kept."""
    return {"spec": "text", "best_effort": True,
            "steps": [{"count": count, "cpu": 6200, "mem_mb": 64, "estimated_ms": run_ms} | step]}


def run_case(case):
    """Runs `case(trouble)`, which returns the broken promises as text, and exits as agreed: 1 if
    there are any, 0 if not, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = case(trouble)
    except CannotRun as reason:
        print("could not run:", reason)
        sys.exit(2)
    for line in broken:
        print("BROKEN", line)
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
