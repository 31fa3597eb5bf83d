"""Another writer sends heartbeats whose bytes can't be read, and requests of which the same is true.
The stand-in of the platform starts a process that has ended again. Checks that no process ends by
itself three times, on a tenth of the machines or more (two at least)."""
import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from deployment import HOST, PREFIX, TROUBLE, Deployment, Record  # noqa: E402

ROUNDS = 3
RESTART_DELAY_S = 0.5
SETTLE_S = 3.5

# A chunked body whose chunk size is no number.
UNREADABLE_HEARTBEAT = (b"POST /api/Instances.Heartbeat/i-0dd0dd00 HTTP/1.1\r\nHost: side\r\n"
                        b"Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                        b"ZZ\r\n{\"service\":\r\n0\r\n\r\n")
# The same at an address of callers.
UNREADABLE_REQUEST = ("POST %s00000000000dd0dd HTTP/1.1\r\nHost: %s\r\n"
                      "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "ZZ\r\n{\"spec\":\r\n0\r\n\r\n" % (PREFIX, HOST)).encode()


def whole(head, body):
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


# Without the disruption: whole messages whose bodies are no JSON.
READABLE_HEARTBEAT = whole(b"POST /api/Instances.Heartbeat/i-0dd0dd00 HTTP/1.1\r\nHost: side\r\n"
                           b"Content-Type: application/json\r\n", b"{\"service\":")
READABLE_REQUEST = whole(("POST %s00000000000dd0dd HTTP/1.1\r\nHost: %s\r\n"
                          "Content-Type: application/json\r\n" % (PREFIX, HOST)).encode(),
                         b"{\"spec\":")


class Platform(threading.Thread):
    """Starts each process that has ended again, after a short delay, and counts these ends."""

    def __init__(self, deployment, record):
        super().__init__(daemon=True)
        self.deployment, self.record, self.stopped = deployment, record, False
        self.ends = {name: 0 for name in deployment.processes}

    def run(self):
        start_at = {}
        while not self.stopped:
            for name, process in list(self.deployment.processes.items()):
                if process.poll() is not None and name not in start_at:
                    self.ends[name] += 1
                    self.record.write("%s has ended by itself, exit status %d" % (
                        name, process.returncode))
                    start_at[name] = time.monotonic() + RESTART_DELAY_S
                elif start_at.get(name, float("inf")) <= time.monotonic():
                    self.deployment.start(name)
                    del start_at[name]
            time.sleep(0.02)


def send_bytes(record, name, address, content):
    answer = b""
    try:
        with socket.create_connection(address, timeout=1) as connection:
            connection.settimeout(1)
            connection.sendall(content)
            answer = connection.recv(4096)
    except OSError as error:
        answer = str(error).encode()
    record.write("%d bytes to %s, answer: %s" % (len(content), name,
                                                 answer.split(b"\r\n")[0].decode()))


def play(deployment, record):
    platform = Platform(deployment, record)
    platform.start()
    for _ in range(ROUNDS):
        time.sleep(SETTLE_S)
        for number, worker in enumerate(deployment.workers):
            send_bytes(record, "agent-%d" % number, worker.agent,
                       UNREADABLE_HEARTBEAT if TROUBLE else READABLE_HEARTBEAT)
        for number, entry in enumerate(deployment.entries):
            send_bytes(record, "entry-%d" % number, entry,
                       UNREADABLE_REQUEST if TROUBLE else READABLE_REQUEST)
    time.sleep(1.5)
    platform.stopped = True
    platform.join()
    for name, ends in platform.ends.items():
        record.verdict("%s: ended by itself %d times" % (name, ends))
    often = sum(1 for ends in platform.ends.values() if ends >= 3)
    broken = often >= max(2, len(platform.ends) / 10)
    record.verdict("Fault: on %d of %d machines processes ended by themselves three times or more"
                   % (often, len(platform.ends)))
    return 1 if broken else 0


def main():
    record = Record(FOLDER)
    try:
        deployment = Deployment(record)
    except OSError as error:
        record.verdict("can't run: %s" % error)
        return 2
    try:
        if not deployment.wait_until_ready():
            record.verdict("can't run: the entries aren't ready")
            return 2
        return play(deployment, record)
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main())
