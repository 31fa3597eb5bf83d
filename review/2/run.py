"""An entry is frozen for 4 s and wakes. Callers that got no answer from it have resent their jobs to
the other entry. Checks that no task has two runs at the same time."""
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from deployment import RETRY_S, TROUBLE, Deployment, LoadBalancer, Record  # noqa: E402

FREEZE_S = 4.0  # node_freeze of the site file: for_s = 4.0
RATE = 80       # jobs a second; three of four callers are sent to entry-0 (the share is uneven)
TASKS, TASK_MS, TASK_CPU, DEADLINE_MS = 1, 900, 400, 1500
TRAFFIC_S, FREEZE_AT_S = 8.0, 1.0
ROUNDS = 3  # one freeze each; further ones only if the rule held


def call(deployment, balancer, client, job):
    for attempt in range(2):
        entry = balancer.choose(client, attempt)
        status = deployment.submit(entry, job, TASKS, TASK_MS, TASK_MS, DEADLINE_MS,
                                   cpu=TASK_CPU)
        if status not in (None, 502, 504):
            return
        time.sleep(RETRY_S)


def play_round(deployment, record, balancer, number_of_round):
    time.sleep(4)
    callers, begun = [], time.monotonic()
    freeze = threading.Timer(FREEZE_AT_S, deployment.send_signal, ("entry-0", signal.SIGSTOP))
    wake = threading.Timer(FREEZE_AT_S + FREEZE_S, deployment.send_signal,
                           ("entry-0", signal.SIGCONT))
    for timer in (freeze, wake) if TROUBLE else ():
        timer.start()
    for number in range(int(TRAFFIC_S * RATE)):
        job = "%016x" % (0x20000 * number_of_round + number)
        client = 1 if number % 4 == 0 else 0
        callers.append(threading.Thread(target=call, args=(deployment, balancer, client, job)))
        callers[-1].start()
        time.sleep(max(0, begun + (number + 1) / RATE - time.monotonic()))
    for caller in callers:
        caller.join()
    time.sleep(1.5)


def play(deployment, record):
    balancer = LoadBalancer(record, deployment.entries, deployment.ready)
    for number_of_round in range(1, ROUNDS + 1):
        play_round(deployment, record, balancer, number_of_round)
        if deployment.overlaps():
            break
    balancer.stopped = True
    overlaps = deployment.overlaps()
    for first, second in overlaps:
        record.verdict("two runs of %s: %s run %d from %.3f to %.3f (%s), %s run %d from %.3f to %.3f"
                       " (%s)" % (first[0], first[3], first[4], record.seconds(first[1]),
                                  record.seconds(first[2]), first[5], second[3], second[4],
                                  record.seconds(second[1]), record.seconds(second[2]), second[5]))
    record.verdict("TWICE: %d tasks had two runs at the same time; %d runs in all" % (
        len(overlaps), len(deployment.runs())))
    return 1 if overlaps else 0


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
