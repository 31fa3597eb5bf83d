"""One heartbeat of another writer names a service that no configuration has. Checks that no task has two
runs at the same time."""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from deployment import RETRY_S, TROUBLE, Deployment, LoadBalancer, Record, send  # noqa: E402

RATE = 20  # jobs a second at both entries
TASKS, TASK_MS, TASK_CPU, DEADLINE_MS = 2, 900, 1000, 3000
TRAFFIC_S, ODD_AT_S = 6.0, 3.0


def call(deployment, balancer, client, job):
    for attempt in range(2):
        status = deployment.submit(balancer.choose(client, attempt), job, TASKS, TASK_MS, TASK_MS,
                                   DEADLINE_MS, cpu=TASK_CPU)
        if status not in (None, 502, 504):
            return
        time.sleep(RETRY_S)


def send_odd_heartbeat(deployment, record):
    """A whole heartbeat of another writer, whose service isn't named in the configuration."""
    worker = max(deployment.workers, key=lambda w: len(w.active))
    odd = worker.heartbeat() | {"service": "night-batch", "address": "127.0.0.9:8080",
                                "born": int(time.time() * 1000), "sequence": 1}
    status = send(worker.agent, "POST", "/api/Instances.Heartbeat/i-0dd0dd00", odd)[0]
    record.write("odd heartbeat to the agent of %s: %s" % (worker.name, status))


def play(deployment, record):
    balancer = LoadBalancer(record, deployment.entries, deployment.ready)
    time.sleep(4)
    callers, begun = [], time.monotonic()
    if TROUBLE:
        threading.Timer(ODD_AT_S, send_odd_heartbeat, (deployment, record)).start()
    for number in range(int(TRAFFIC_S * RATE)):
        callers.append(threading.Thread(
            target=call, args=(deployment, balancer, number % 20, "%016x" % (0x10000 + number))))
        callers[-1].start()
        time.sleep(max(0, begun + (number + 1) / RATE - time.monotonic()))
    for caller in callers:
        caller.join()
    time.sleep(1.5)
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
