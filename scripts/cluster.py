"""Starts the processes of a small deployment on loopback, for the demo and the process tests.

Nothing here is part of the product: in production the platform starts the processes.
"""
import json
import os
import pathlib
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("CAROBFALL_BUILD", ROOT / "build"))
OPERATOR_TOKEN = "local-operator-token"
DAMBI_DATA_CENTRES = ["gangnam", "mapo", "guro", "seongnam"]

PLATFORM = BUILD / "tests/standins/platform/platform_standin"
BACKEND = BUILD / "tests/standins/backend/backend_standin"
ENTRY = BUILD / "src/app/entry/carobfall-entry"
AGENT = BUILD / "src/app/agent/carobfall-agent"
CLI = BUILD / "src/tools/carobfall/carobfall"


FIRST_PORT = 10000  # below the ephemeral ports, which outgoing connections take at any time
PORTS_PER_PROCESS = 400
PORT_BLOCKS = 50
_port_block_lock = None
_ports = iter(())


def reserve_port_block():
    """Reserves a block of ports by binding its first port, which works as a lock between processes.

    Blocks derived from process ids could be the same for two test processes.
    """
    global _port_block_lock
    for block in range(PORT_BLOCKS):
        first = FIRST_PORT + block * PORTS_PER_PROCESS
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", first))
        except OSError:
            sock.close()
            continue
        _port_block_lock = sock
        return range(first + 1, first + PORTS_PER_PROCESS)
    raise RuntimeError(f"all {PORT_BLOCKS} blocks of ports are in use: "
                       "run fewer deployments at once")


def free_ports(count):
    """Loopback ports without a listener; each is returned once.

    They come from the reserved block. The kernel could choose the same port again after the socket
    that reserved it was closed.
    """
    global _ports
    if _port_block_lock is None:
        _ports = iter(reserve_port_block())
    found = []
    while len(found) < count:
        port = next(_ports, None)
        if port is None:
            raise RuntimeError(f"all {PORTS_PER_PROCESS} ports of this process have been given out")
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) != 0:
                found.append(port)
    return found


def http(method, url, body=None, token=None, timeout=10):
    """Status and decoded JSON (or text) of one request; status 0 if there was no response."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            status, text = response.status, response.read().decode()
    except urllib.error.HTTPError as failure:
        status, text = failure.code, failure.read().decode()
    except (urllib.error.URLError, OSError, ValueError):
        return 0, None
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


def wait_until(condition, seconds, what):
    """Waits until the condition is true and returns its value; raises TimeoutError."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise TimeoutError(f"not within {seconds} s: {what}")


class Process:
    """One process of the deployment, which can be killed, paused and restarted."""

    def __init__(self, name, command, directory):
        self.name = name
        self.command = [str(part) for part in command]
        self.log = directory / f"{name}.log"
        self.child = None

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(self.command, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)
        return self

    def running(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.running():
            self.child.send_signal(number)

    def pause(self):
        """Stops the process and returns when all its threads have stopped.

        An entry that runs for a millisecond after the signal may still renew the leases of agents.
        """
        if self.running():
            self.child.send_signal(signal.SIGSTOP)
            os.waitid(os.P_PID, self.child.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def kill(self):
        self.send(signal.SIGKILL)
        self.wait(10)

    def wait(self, seconds):
        """Exit code, or None if the process still runs after this many seconds."""
        try:
            return self.child.wait(seconds) if self.child else 0
        except subprocess.TimeoutExpired:
            return None

    def stop(self, seconds=5):
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        if self.wait(seconds) is None:
            self.kill()


class Worker:
    """An agent and the backend server beside it."""

    def __init__(self, cluster, index, data_centre, backend_flags):
        rpc, announce, operator, backend = free_ports(4)
        self.name = f"worker-{index}"
        self.data_centre = data_centre
        self.operator_url = f"http://127.0.0.1:{operator}"
        self.backend_url = f"http://127.0.0.1:{backend}"
        settings = cluster.write_settings(self.name, {
            "name": self.name, "region": cluster.region, "data_centre": data_centre,
            "rack": f"rack-{index // 3}",
            "rpc_address": f"127.0.0.1:{rpc}", "announce_address": f"127.0.0.1:{announce}",
            "operator_address": f"127.0.0.1:{operator}",
            "entry_addresses": [entry.rpc_address for entry in cluster.entries],
        })
        self.agent = Process(self.name, [AGENT, "--config", settings], cluster.directory)
        self.backend = Process(f"backend-{index}", [
            BACKEND, "--name", f"backend-{index}", "--agent", f"127.0.0.1:{announce}",
            "--port", backend, "--slots", cluster.slots,
            "--starts-file", cluster.directory / f"backend-{index}.starts", *backend_flags], cluster.directory)

    def start(self):
        self.agent.start()
        self.backend.start()

    def starts(self):
        """The backend server's own log of the tasks that it started."""
        status, text = http("GET", self.backend_url + "/starts")
        if status != 200:
            return []
        if isinstance(text, (dict, list)):
            return text if isinstance(text, list) else [text]
        return [json.loads(line) for line in str(text).splitlines() if line.strip()]


class Entry:
    def __init__(self, cluster, index, data_centre):
        caller, operator, rpc = free_ports(3)
        self.name = f"entry-{index}"
        self.data_centre = data_centre
        self.rpc_address = f"127.0.0.1:{rpc}"
        self.caller_address = f"127.0.0.1:{caller}"
        self.operator_address = f"127.0.0.1:{operator}"
        self.caller_url = f"http://{self.caller_address}"
        self.operator_url = f"http://{self.operator_address}"
        settings = cluster.write_settings(self.name, {
            "name": self.name, "region": cluster.region, "data_centre": data_centre,
            "caller_address": self.caller_address, "operator_address": self.operator_address,
            "rpc_address": self.rpc_address, "platform_address": cluster.platform_address,
            "operator_tokens": [OPERATOR_TOKEN],
        })
        self.process = Process(self.name, [ENTRY, "--config", settings], cluster.directory)

    def ready(self):
        return http("GET", self.operator_url + "/readyz", timeout=2)[0] == 200

    def describe(self):
        """State, readiness and last log lines of the entry, for the message of a failed test."""
        readiness = http("GET", self.operator_url + "/readyz", timeout=2)
        state = "runs" if self.process.running() else f"ended with {self.process.wait(0)}"
        lines = self.process.log.read_text(errors="replace").splitlines()[-15:]
        return "\n".join([f"process {state}, /readyz returned {readiness}, log ends with:", *lines])


class Cluster:
    """Platform stand-in, entries, agents and backend servers in the given data centres."""

    def __init__(self, directory, entries=3, workers=10, slots=8, data_centres=None,
                 region="seoul", backend_flags=(), platform_flags=()):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.region = region
        self.slots = slots
        self.data_centres = data_centres or DAMBI_DATA_CENTRES
        port = free_ports(1)[0]
        self.platform_address = f"127.0.0.1:{port}"
        self.platform_url = f"http://{self.platform_address}"
        self.platform = Process("platform", [
            PLATFORM, "--address", self.platform_address, "--data", self.directory / "platform-data",
            *platform_flags], self.directory)
        self.entries = [Entry(self, i, self.data_centre(i)) for i in range(entries)]
        self.workers = [Worker(self, i, self.data_centre(i), backend_flags)
                        for i in range(workers)]

    def data_centre(self, index):
        return self.data_centres[index % len(self.data_centres)]

    def write_settings(self, name, values):
        path = self.directory / f"{name}.yaml"
        path.write_text(json.dumps(values, indent=2))  # JSON is valid YAML
        return path

    def start(self, seconds=30):
        self.platform.start()
        wait_until(lambda: self.listening(self.platform_address), 10, "platform stand-in listens")
        for entry in self.entries:
            entry.process.start()
        for worker in self.workers:
            worker.start()
        for entry in self.entries:
            try:
                wait_until(entry.ready, seconds, f"{entry.name} is ready")
            except TimeoutError as failure:
                raise TimeoutError(f"{failure}: {entry.describe()}") from failure
        wait_until(lambda: self.usable_backends() == len(self.workers), seconds,
                   "all backend servers are available at every entry")
        return self

    def configuration_version(self, entry):
        """Version that the entry holds, 0 if it doesn't respond."""
        status, state = self.operate("GET", "/debug/state", entry=entry)
        return state["state"]["configuration"]["version"] if status == 200 else 0

    def same_configuration(self):
        return len({self.configuration_version(entry) for entry in self.entries}) == 1

    def usable_backends(self):
        """Number of available backend servers at the entry that lists the fewest."""
        counts = []
        for entry in self.entries:
            status, answer = self.operate("GET", "/v1/backends", entry=entry)
            rows = answer.get("backends", []) if status == 200 else []
            counts.append(sum(1 for row in rows if row.get("available")))
        return min(counts)

    @staticmethod
    def listening(address):
        host, port = address.split(":")
        with socket.socket() as sock:
            return sock.connect_ex((host, int(port))) == 0

    def processes(self):
        yield self.platform
        for entry in self.entries:
            yield entry.process
        for worker in self.workers:
            yield worker.agent
            yield worker.backend

    def stop(self):
        """Stops all processes; the platform last, because entries need it to leave their view."""
        self.platform.send(signal.SIGCONT)
        running = [process for process in self.processes() if process is not self.platform]
        for group in (running, [self.platform]):
            for process in group:
                process.send(signal.SIGCONT)
                process.send(signal.SIGTERM)
            deadline = time.monotonic() + 10
            for process in group:
                if process.wait(max(0.1, deadline - time.monotonic())) is None:
                    process.kill()

    def operate(self, method, path, body=None, entry=None, timeout=10):
        entry = entry or self.entries[0]
        return http(method, entry.operator_url + path, body, OPERATOR_TOKEN, timeout)

    def apply(self, yaml_text, entry=None):
        return self.operate("POST", "/v1/apply", {"yaml": yaml_text}, entry)

    def submit(self, account, submission, body, token, entry=None, timeout=30):
        entry = entry or self.entries[0]
        url = f"{entry.caller_url}/v1/accounts/{account}/submissions/{submission}"
        return http("POST", url, body, token, timeout)

    def starts(self):
        """Number of starts of each (account, submission, task) in the backend servers' logs."""
        counts = {}
        for worker in self.workers:
            for start in worker.starts():
                key = (start["account"], start["submission"], int(start["task"]))
                counts[key] = counts.get(key, 0) + 1
        return counts
