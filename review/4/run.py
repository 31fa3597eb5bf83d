"""Workers lose power for 0.3 s, one after the other, and start again under the id that they had. Checks that
no task has two runs at the same time."""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from deployment import RETRY_S, TROUBLE, Deployment, LoadBalancer, Record  # noqa: E402

AGENTS = 7            # srv_crash: share = 0.14, one worker of seven
DARK_S = 0.3          # srv_crash: for_s = 4.5 at most
FIRST_BEAT_S = 0.5    # a third of heartbeat_ms (1,500)
RATE = 120           # jobs a second at both entries
TASKS, TASK_MS, TASK_CPU, DEADLINE_MS = 2, 900, 200, 1500
ROUNDS, ROUND_S = 10, 4.0  # one crash each; further ones only if the rule held


def call(deployment, balancer, client, job):
    for attempt in range(2):
        status = deployment.submit(balancer.choose(client, attempt), job, TASKS, TASK_MS, TASK_MS,
                                   DEADLINE_MS, cpu=TASK_CPU)
        if status not in (None, 502, 504):
            return
        time.sleep(RETRY_S)


def play_round(deployment, balancer, number_of_round):
    callers, begun = [], time.monotonic()
    if TROUBLE:
        worker = deployment.workers[number_of_round % AGENTS]
        threading.Timer(2.0, worker.lose_power, (DARK_S,),
                        {"same_id": True, "first_beat_s": FIRST_BEAT_S}).start()
    for number in range(int(RATE * ROUND_S)):
        callers.append(threading.Thread(target=call, args=(
            deployment, balancer, number, "%016x" % (0x40000 + 0x1000 * number_of_round + number))))
        callers[-1].start()
        time.sleep(max(0, begun + (number + 1) / RATE - time.monotonic()))
    for caller in callers:
        caller.join()
    time.sleep(1.5)


def play(deployment, record):
    balancer = LoadBalancer(record, deployment.entries, deployment.ready)
    time.sleep(4)
    for number_of_round in range(ROUNDS):
        play_round(deployment, balancer, number_of_round)
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
        deployment = Deployment(record, agents=AGENTS)
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
