"""An entry that shuts down takes a job that it will not finish, and cuts it off."""
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
from deployment import BOUNDS, BROKEN, HELD, PREFIX, CaseError, Client, run_case  # noqa: E402

RUN_MS = 2700
DEADLINE_MS = 4500
OTHERS_AT_S = (-0.4, 0.6, 1.6, 2.6)
SENT_AFTER_S = 3.25  # after the SIGTERM
JOB = "5c0e7a21d94b36f8"
GRACE_S = BOUNDS["grace_s"]


def play(deployment, trouble):
    name, front, _ = deployment.entries[0]
    # The first job shows that the deployment serves, and that a job of this length is answered.
    first = Client(deployment, front)
    if first.request("POST", PREFIX + "00000000000000a1", deployment.job(1, RUN_MS),
                     DEADLINE_MS) != 200:
        raise CaseError("the first job was not served")
    client = Client(deployment, front)  # stays open; it carries the job later
    # Usual traffic of other callers: one job of the same length every second, from before the
    # SIGTERM on. The entry ends early only if it has nothing to do.
    others = [(at, Client(deployment, front)) for at in OTHERS_AT_S]
    terminated = time.monotonic() + 0.5
    for number, (at, other) in enumerate(others):
        threading.Timer(terminated + at - time.monotonic(), other.request,
                        ("POST", PREFIX + "00000000000000b%d" % number, deployment.job(1, RUN_MS),
                         DEADLINE_MS)).start()
    time.sleep(max(0, terminated - time.monotonic()))
    if trouble:
        deployment.signal(name, signal.SIGTERM)

        def kill_after_grace():
            try:
                deployment.processes[name].wait(GRACE_S)
            except Exception:  # still alive: the platform sends SIGKILL
                deployment.signal(name, signal.SIGKILL)
            deployment.processes[name].wait()
            deployment.record("%s ended with %d, %.3f s after the SIGTERM" % (
                name, deployment.processes[name].returncode, time.monotonic() - terminated))

        threading.Thread(target=kill_after_grace, daemon=True).start()
    time.sleep(max(0, terminated + SENT_AFTER_S - time.monotonic()))
    sent = time.monotonic()
    deployment.record("sends job %s on an open connection, %.3f s after the SIGTERM" % (
        JOB, sent - terminated))
    status = client.request("POST", PREFIX + JOB, deployment.job(1, RUN_MS), DEADLINE_MS)
    ended = time.monotonic()
    deployment.record("the connection's request ended %.3f s after it was sent, %.3f s after the "
                      "SIGTERM, of %.3f s that the caller waits" % (
                          ended - sent, ended - terminated, DEADLINE_MS / 1000))
    time.sleep(0.5)
    deployment.record_runs([JOB])
    passed_on = bool(deployment.runs(JOB))
    before_deadline = ended - sent < DEADLINE_MS / 1000
    if sent - terminated <= 3.0:
        raise CaseError("sent too early")
    return BROKEN if status is None and passed_on and before_deadline else HELD


run_case(HERE / "record.txt", play, entries=1, agents=2, run_ms=RUN_MS, timeout_ms=8000)
