"""All processes are killed some time after each worker has crashed and was replaced once."""
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
from deployment import (BOUNDS, PREFIX, Caller, CannotRun, ClockedWorker, Deployment,  # noqa: E402
                        job, run_case)

DOWN_S = 2.0  # of a crashed worker
CALM_S = 4
RESTART_S = 0.5
PROBE_S = 6
RUN_MS = 60


class Probes:
    """Requests at a fixed interval, each on a new connection, to the entries in turn."""

    def __init__(self, deployment):
        self.deployment, self.sent = deployment, 0

    def run(self, seconds, interval=0.25):
        """Number of requests and how many of them were served."""
        served, count, end = 0, 0, time.monotonic() + seconds
        while time.monotonic() < end:
            self.sent += 1
            count += 1
            try:
                caller = Caller(self.deployment, self.sent % self.deployment.entries)
                status, _ = caller.call("POST", PREFIX + "%016x" % self.sent, job(2, RUN_MS), 1500)
                caller.close()
            except OSError as error:
                status = None
                self.deployment.record.add("client: no connection, %s" % error)
            served += status == 200
            time.sleep(interval)
        return count, served


def crash_each_worker(deployment):
    """One worker after the other crashes; its successor has a new id and a clock of its own."""
    for number, worker in enumerate(deployment.workers):
        deployment.record.add("worker-%d (%s, clock %d ms) crashes" % (
            number, worker.id, worker.clock()))
        worker.restart(DOWN_S, new_id=True)
        deployment.record.add("worker-%d is replaced by %s, clock %d ms" % (
            number, worker.id, worker.clock()))
        time.sleep(1)


def kill_all(deployment):
    """The final fault: all processes of the system are killed right after a configuration was
    acknowledged; the workers go on."""
    deployment.store.put("op", "config", deployment.configuration(version=5))
    deployment.record.add("the store acknowledges configuration 5")
    for name, process in deployment.processes.items():
        deployment.signal(name, signal.SIGKILL)
        process.wait()
    time.sleep(RESTART_S)
    for name in list(deployment.processes):
        deployment.start(name)
    deployment.record.add("all processes are started again")


def case(trouble):
    with Deployment(FOLDER, agents=7, run_ms=RUN_MS, worker_type=ClockedWorker) as deployment:
        probes = Probes(deployment)
        time.sleep(CALM_S)
        if trouble:
            crash_each_worker(deployment)
        time.sleep(CALM_S)
        before, served_before = probes.run(PROBE_S)
        if served_before * 4 < before:
            raise CannotRun("%d of %d requests served before the final fault" % (
                served_before, before))
        kill_all(deployment)
        time.sleep(BOUNDS["recovery_s"])
        after, served_after = probes.run(PROBE_S)
        deployment.record.write()
        summary = "%d of %d requests served before the final fault, %d of %d later than " \
                  "%d s after the processes were back" % (
                      served_before, before, served_after, after, BOUNDS["recovery_s"])
        print(summary)
        return ["RECOVER: " + summary] if served_after * 4 < after else []


run_case(case)
