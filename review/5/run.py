"""A worker loses power for 0.8 s and starts again at its address as a worker of another kind, while tasks
that need its first kind wait at its agent. Checks that no task starts on a worker without the label."""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from deployment import RETRY_S, TROUBLE, Deployment, LoadBalancer, Record  # noqa: E402

AGENTS = 7              # srv_crash: share = 0.14, one worker of seven
DARK_S = 0.8            # srv_crash: for_s = 4.5 at most
LABEL, OTHER = "a", "b"
TASK_MS, TASK_CPU, DEADLINE_MS = 900, 6200, 1500
RATE, TRAFFIC_S, CRASH_AT_S = 20, 5.0, 2.5
ROUNDS = 3              # one crash each; further ones only if the rule held


def call(deployment, balancer, client, job):
    for attempt in range(2):
        status = deployment.submit(balancer.choose(client, attempt), job, 1, TASK_MS, TASK_MS,
                                   DEADLINE_MS, cpu=TASK_CPU, required_label=LABEL)
        if status not in (None, 502, 504):
            return
        time.sleep(RETRY_S)


def misplaced(deployment):
    return [(worker.name, run) for worker in deployment.workers for run in worker.runs
            if not run[0].startswith("aaaa") and run[5] != LABEL]


def play_round(deployment, balancer, number_of_round):
    worker = deployment.workers[0]
    callers, begun = [], time.monotonic()
    crash = threading.Timer(CRASH_AT_S, worker.lose_power, (DARK_S, OTHER))
    if TROUBLE:
        crash.start()
    for number in range(int(RATE * TRAFFIC_S)):
        callers.append(threading.Thread(target=call, args=(
            deployment, balancer, number, "%016x" % (0x40000 + 0x1000 * number_of_round + number))))
        callers[-1].start()
        time.sleep(max(0, begun + (number + 1) / RATE - time.monotonic()))
    for caller in callers:
        caller.join()
    if TROUBLE:
        worker.lose_power(4.5, LABEL)
    time.sleep(2)


def play(deployment, record):
    balancer = LoadBalancer(record, deployment.entries, deployment.ready)
    time.sleep(4)
    for number_of_round in range(1, ROUNDS + 1):
        play_round(deployment, balancer, number_of_round)
        if misplaced(deployment):
            break
    balancer.stopped = True
    for name, run in misplaced(deployment):
        record.verdict("%s, a worker of kind %s, started %s run %d at %.3f" % (
            name, run[5], run[0], run[1], record.seconds(run[2])))
    record.verdict("ROUTE: %d of %d starts were on a worker without the label" % (
        len(misplaced(deployment)), len(deployment.runs())))
    return 1 if misplaced(deployment) else 0


def main():
    record = Record(FOLDER)
    try:
        deployment = Deployment(record, agents=AGENTS, kinds=(LABEL,) + (OTHER,) * (AGENTS - 1))
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
