"""Workers that started again while the store was down are out of use after a restart of all processes."""
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
from deployment import BROKEN, HELD, PREFIX, CaseError, Client, run_case  # noqa: E402

RECOVERY_S = 12
DOWN_S = 1.0
TRAFFIC_AFTER_S = 6.0  # beyond recovery_s
DEADLINE_MS = 1500
FIRST_LIFE_S = 36  # of the workers; the later lives are shorter
OUTAGE_S = 4.5
CALM_S = 4.0


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


def lose_power(deployment):
    """All machines lose power. The workers start again under their ids, a little after the agents."""
    deployment.record("all machines lose power")
    workers = [threading.Thread(target=worker.restart, args=(DOWN_S + 0.3,))
               for worker in deployment.workers]
    for worker in workers:
        worker.start()
    kill_all(deployment)
    time.sleep(DOWN_S)
    start_all(deployment)
    for worker in workers:
        worker.join()


def kill_all(deployment):
    for name in deployment.processes:
        deployment.signal(name, signal.SIGKILL)
    for process in deployment.processes.values():
        process.wait()


def start_all(deployment):
    for name in deployment.settings:
        deployment.start(name)


def play(deployment, trouble):
    time.sleep(FIRST_LIFE_S)
    if trouble:
        deployment.record("the store refuses all calls")
        deployment.store.refusing = True
        time.sleep(0.5)
        lose_power(deployment)
        time.sleep(OUTAGE_S - 0.5 - DOWN_S)
        deployment.store.refusing = False
        deployment.record("the store answers again")
    time.sleep(CALM_S)
    begun = time.monotonic()
    traffic = Traffic(deployment)
    time.sleep(4)
    fault = time.monotonic()
    deployment.record("the final fault: all processes of the system are killed")
    kill_all(deployment)
    time.sleep(DOWN_S)
    start_all(deployment)
    back = time.monotonic()
    time.sleep(RECOVERY_S + TRAFFIC_AFTER_S + 2)
    traffic.stopped = True
    before, sent_before = traffic.served(begun, fault - 1.5)
    after, sent_after = traffic.served(back + RECOVERY_S, back + RECOVERY_S + TRAFFIC_AFTER_S)
    deployment.record("served before the final fault: %d of %d; later than recovery_s after the "
                      "machines are back: %d of %d" % (before, sent_before, after, sent_after))
    if before * 4 < sent_before or sent_after == 0:
        raise CaseError("not served before the final fault")
    return BROKEN if after * 4 < sent_after else HELD


run_case(HERE / "record.txt", play, entries=2, agents=3, run_ms=100, timeout_ms=1500)
