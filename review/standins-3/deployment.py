"""A small deployment on loopback for the cases of this review.

It starts the programs of the deploy file beside the project's stand-ins for the store and the
workers (tests/standins/fleet/peers.py), and plays the platform: it writes the settings, starts each
program again after its end, and ends all of them at the end of the case.
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

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY / "tests" / "standins" / "fleet"))
from peers import AGENT_NET, ENTRY_NET, Store, Worker, send  # noqa: E402

PROGRAMS = REPOSITORY / "target" / "platform"
HOST = "nony24.example"
PREFIX, OTHER_PREFIX = "/lohu930/", "/pule252/"
SERVICE = "adviser"  # the stand-in workers announce this service
ZONE = "gangnam-hall"
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "evacuate_ms": 5000, "max_hold_ms": 1000, "stop_ms": 50,
          "cancel_ms": 3000, "visible_ms": 3000, "remote_slowdown": 1.5, "lease_ms": 3000,
          "retry_ms": 1300}

BROKEN, HELD, NOT_RUN = 1, 0, 2


class TimedStore(Store):
    """The stand-in store with the answer time of the site: "4 ms an answer"."""

    ANSWER_S = 0.004

    def read(self, query):
        time.sleep(self.ANSWER_S)
        return super().read(query)


class TimedWorker(Worker):
    """The stand-in worker with the usual time between heartbeats (heartbeat_ms, 1,500)."""

    HEARTBEAT_S = 1.5

    def send_heartbeats(self):
        while not self.stopped:
            if not self.dark and time.monotonic() >= self.heartbeats_from:
                send(self.agent_address, "POST", "/api/Instances.Heartbeat/" + self.id,
                     self.heartbeat())
            self.wait_for_heartbeat(self.HEARTBEAT_S)

    def wait_for_heartbeat(self, seconds):
        """Ends early when a life begins: a worker announces itself at once."""
        life, end = self.lives, time.monotonic() + seconds
        while time.monotonic() < end and not self.stopped:
            if self.lives != life and not self.dark:
                return
            time.sleep(0.02)


class CaseError(Exception):
    """The case could not run."""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def configuration(version, timeout_ms, prefixes=(PREFIX, OTHER_PREFIX)):
    routes = [{"name": "r" + prefix.strip("/"), "host": HOST, "prefix": prefix,
               "type": "non_idempotent", "timeout_ms": timeout_ms, "target_completion_ms": 60,
               "priority": 0, "service": SERVICE, "max_attempts": 3, "slack_factor": 1.6}
              for prefix in prefixes]
    service = {"name": SERVICE, "health_check_path": "/health", "max_connections": 64,
               "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0,
               "enforces_capacity": True, "standby": False}
    return json.dumps({"version": version, "routes": routes, "services": [service],
                       "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})


class Deployment:
    def __init__(self, record_path, entries, agents, run_ms, timeout_ms):
        self.begun = time.monotonic()
        self.record_file = open(record_path, "w")
        self.record_lock = threading.Lock()
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="carobfall-review-"))
        self.processes, self.workers, self.settings, self.entries = {}, [], {}, []
        ports = iter(free_ports(3 + entries * 3 + agents * 2))
        self.link_port = next(ports)
        next(ports)
        self.store = TimedStore(("127.0.0.1", next(ports)))
        self.store.put("op", "config", configuration(7, timeout_ms))
        for i in range(entries):
            name, ip = "edge-%s-%d" % (ZONE, i + 1), ENTRY_NET + str(i + 1)
            front, ready, control = next(ports), next(ports), next(ports)
            self.entries.append((name, (ip, front), (ip, ready)))
            self.settings[name] = self.common(name, "edge", ip) | {
                "listen_addrs": {"front": "%s:%d" % (ip, front), "ready": "%s:%d" % (ip, ready),
                                 "control": "%s:%d" % (ip, control)}}
        for i in range(agents):
            name, ip = "side-%s-%d" % (ZONE, i + 1), AGENT_NET + str(i + 1)
            control, app = next(ports), next(ports)
            self.settings[name] = self.common(name, "side", ip) | {
                "listen_addrs": {"control": "%s:%d" % (ip, control)}, "app": "%s:%d" % (ip, app),
                "service": SERVICE}
            worker = TimedWorker((ip, app), (ip, control), ZONE)
            worker.run_ms = run_ms
            self.workers.append(worker)

    def common(self, name, machine_class, ip):
        return {"node_name": name, "role": machine_class, "machine_class": machine_class, "ip": ip,
                "zone": ZONE, "region": "seoul-metro", "zones": {ZONE: "seoul-metro"},
                "internal_port_range": [self.link_port, self.link_port + 15],
                "seeds": [ENTRY_NET + "1:9"], "bootstrap": True, "heartbeat_ms": 1500,
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                           "link_mbps": 1000.0, "disk_mb": 0},
                "bounds": BOUNDS, "orders": "call",
                "platform": {"address": "127.0.0.1:%d" % self.store.server.server_address[1],
                             "form": "table", "writes_per_s": 800, "reads_per_s": 2000}}

    def record(self, text):
        with self.record_lock:
            self.record_file.write("%8.3f %s\n" % (time.monotonic() - self.begun, text))
            self.record_file.flush()

    def at(self, monotonic):
        return monotonic - self.begun

    def write_settings(self, name):
        path = self.directory / (name + ".json")
        path.with_suffix(".new").write_text(json.dumps(self.settings[name]))
        path.with_suffix(".new").replace(path)
        return path

    def start(self, name):
        path = self.write_settings(name)
        role = "entry" if name.startswith("edge") else "agent"
        program = PROGRAMS / ("carobfall-platform-" + role)
        if not program.exists():
            raise CaseError("%s is not built" % program.name)
        with open(self.directory / (name + ".log"), "a") as log:
            self.processes[name] = subprocess.Popen(
                [program], stdout=log, stderr=log, cwd=REPOSITORY,
                env={"CAROBFALL_SETTINGS": str(path), "PATH": os.environ["PATH"]})
        self.record("started %s" % name)

    def start_again(self, name, delay_s):
        """What the platform does after a process has ended."""
        self.processes[name].wait()
        time.sleep(delay_s)
        self.start(name)

    def start_all(self):
        for name in self.settings:
            self.start(name)
        self.wait_for(lambda: all(self.is_ready(i) for i in range(len(self.entries))), "ready")

    def is_ready(self, index):
        return send(self.entries[index][2], "GET", "/api/readiness", timeout=1)[0] == 200

    def signal(self, name, number):
        self.record("sent %s to %s" % (signal.Signals(number).name, name))
        self.processes[name].send_signal(number)

    def wait_for(self, condition, what, seconds=15):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CaseError("not reached: " + what)
            time.sleep(0.02)

    def job(self, count, estimated_ms):
        return json.dumps({"spec": "text", "best_effort": True, "steps": [
            {"count": count, "cpu": 6200, "mem_mb": 64, "estimated_ms": estimated_ms}]})

    def runs(self, job):
        """(task, run, worker, start, end or None, how) of the job, in order of the start."""
        found = [(task, run, worker.id, begin, end, how) for worker in self.workers
                 for task, run, begin, end, how in worker.all_intervals()
                 if task.startswith(job + ".")]
        return sorted(found, key=lambda row: row[3])

    def record_runs(self, jobs):
        for job in jobs:
            for task, run, worker, begin, end, how in self.runs(job):
                self.record("run of %s number %d on %s: %.3f to %s %s" % (
                    task, run, worker, self.at(begin),
                    "(still at work)" if end is None else "%.3f" % self.at(end), how))

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for worker in self.workers:
            worker.stop()
        self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)
        self.record_file.close()


class Client:
    """One client connection, which stays open between requests."""

    def __init__(self, deployment, address, timeout=20):
        self.deployment, self.address = deployment, address
        self.connection = http.client.HTTPConnection(*address, timeout=timeout)
        self.connection.connect()
        self.connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def request(self, method, path, body=None, deadline_ms=None):
        """Status, or None if the connection ended without a complete answer."""
        headers = {"Host": HOST, "Content-Type": "application/json"}
        if deadline_ms is not None:
            headers["Carobfall-Deadline-Ms"] = str(deadline_ms)
        try:
            self.connection.request(method, path, body, headers)
            answer = self.connection.getresponse()
            content = answer.read().decode()
            self.deployment.record("answer to %s %s from %s:%d: %d %s" % (
                method, path, *self.address, answer.status, content))
            return answer.status
        except (OSError, http.client.HTTPException) as error:
            self.deployment.record("no answer to %s %s from %s:%d: %s" % (
                method, path, *self.address, type(error).__name__))
            return None

    def close(self):
        self.connection.close()


def end_case(*_):
    raise CaseError("the case was ended")


def run_case(record_path, play, **layout):
    """Plays the case and exits with its result: 1 broken, 0 held, 2 not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, end_case)
    deployment, result = None, NOT_RUN
    try:
        deployment = Deployment(record_path, **layout)
        deployment.record("disruption: %s" % ("on" if trouble else "off"))
        deployment.start_all()
        result = play(deployment, trouble)
        deployment.record("result: %s" % ("rule broken" if result == BROKEN else "rule held"))
    except (CaseError, OSError) as error:
        print("the case could not run:", error, file=sys.stderr)
        if deployment:
            deployment.record("not run: %s" % error)
    finally:
        if deployment:
            deployment.close()
    sys.stdout.flush()
    os._exit(result)
