"""After a restart of all processes, one heartbeat without `born` takes a worker out of use for good."""
import json
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
from deployment import BROKEN, HELD, PREFIX, CaseError, Client, run_case, send  # noqa: E402

RECOVERY_S = 12
DOWN_S = 1.0
TRAFFIC_AFTER_S = 6.0  # beyond recovery_s
DEADLINE_MS = 1500
RETRY_S = 0.005


class Traffic:
    """Five jobs a second, at the two entries in turn."""

    def __init__(self, deployment):
        self.deployment, self.answers, self.stopped, self.number = deployment, [], False, 0
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while not self.stopped:
            self.number += 1
            threading.Thread(target=self.submit, args=(self.number,), daemon=True).start()
            time.sleep(0.2)

    def submit(self, number):
        sent = time.monotonic()
        front = self.deployment.entries[number % 2][1]
        status = None
        try:
            status = Client(self.deployment, front, 4).request(
                "POST", PREFIX + "%016x" % number, self.deployment.job(2, 100), DEADLINE_MS)
        except OSError:
            pass
        self.answers.append((sent, status))

    def served(self, begin, end):
        statuses = [status for sent, status in self.answers if begin <= sent < end]
        return statuses.count(200), len(statuses)


def send_odd_heartbeat(deployment, worker):
    """One heartbeat of another writer, without `born`. It is sent until the agent has taken it: the
    sender can't reach the agent while its process is down."""
    document = worker.heartbeat()
    worker.sequence -= 1
    del document["born"]
    while True:
        status, body, _ = send(worker.agent_address, "POST",
                               "/api/Instances.Heartbeat/" + worker.id, document, timeout=2)
        if status is not None:
            deployment.record("another writer's heartbeat to the agent of %s: %s, %s" % (
                worker.id, status, json.dumps(document)))
            return
        time.sleep(RETRY_S)


def play(deployment, trouble):
    for worker in deployment.workers:
        worker.run_ms = 100
    time.sleep(4)
    begun = time.monotonic()
    traffic = Traffic(deployment)
    time.sleep(4)
    fault = time.monotonic()
    deployment.record("the final fault: all processes of the system are killed")
    for name in deployment.processes:
        deployment.signal(name, signal.SIGKILL)
    for process in deployment.processes.values():
        process.wait()
    writers = [threading.Thread(target=send_odd_heartbeat, args=(deployment, worker), daemon=True)
               for worker in deployment.workers] if trouble else []
    for writer in writers:
        writer.start()
    time.sleep(DOWN_S)
    for name in deployment.settings:
        deployment.start(name)
    back = time.monotonic()
    for writer in writers:
        writer.join(5)
    time.sleep(max(0, back + RECOVERY_S + TRAFFIC_AFTER_S + 2 - time.monotonic()))
    traffic.stopped = True
    before, sent_before = traffic.served(begun, fault - 1.5)
    after, sent_after = traffic.served(back + RECOVERY_S, back + RECOVERY_S + TRAFFIC_AFTER_S)
    deployment.record("served before the final fault: %d of %d; later than recovery_s after the "
                      "machines are back: %d of %d" % (before, sent_before, after, sent_after))
    if before * 4 < sent_before or sent_after == 0:
        raise CaseError("not served before the final fault")
    return BROKEN if after * 4 < sent_after else HELD


run_case(HERE / "record.txt", play, entries=2, agents=3, run_ms=100, timeout_ms=1500)
