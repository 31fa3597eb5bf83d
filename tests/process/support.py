"""Base class of the process tests, which starts a deployment per test, and background jobs."""
import pathlib
import shutil
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from cluster import Cluster, http, wait_until  # noqa: E402

TOKEN = "dambi-account-token-1"
DECLARATIONS = f"""
kind: client_account
name: dambi
token: {TOKEN}
---
kind: template
client_account: dambi
name: illustration
idempotent: false
expected_run: 100ms
max_deadline: 300s
"""

# The requirement is "a few seconds": every operator decision is in force after this time.
IN_FORCE_SECONDS = 5


def body(count, run_ms, seconds=20.0, label=""):
    tasks = [{"run_ms": run_ms, "number": i, "label": label} for i in range(count)]
    deadline = int((time.time() + seconds) * 1000)
    return {"template": "illustration", "tasks": tasks, "deadline_unix_ms": deadline}


class Job(threading.Thread):
    """One submission that waits for its answer in the background."""

    def __init__(self, deployment, submission, content, entry):
        super().__init__(daemon=True)
        self.deployment, self.submission = deployment, submission
        self.content, self.entry = content, entry
        self.status, self.answer = None, None
        self.start()

    def run(self):
        self.status, self.answer = self.deployment.submit(
            "dambi", self.submission, self.content, TOKEN, self.entry, timeout=40)

    def result(self, seconds=40):
        self.join(seconds)
        return self.status, self.answer


class ProcessTest(unittest.TestCase):
    workers, slots = 4, 8
    data_centres = ["gangnam", "mapo", "guro"]

    def setUp(self):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="carobfall-test-"))
        self.deployment = Cluster(self.directory, 3, self.workers, self.slots, self.data_centres)
        self.addCleanup(self.clean_up)
        self.deployment.start()
        status, answer = self.deployment.apply(DECLARATIONS)
        self.assertEqual(status, 200, answer)
        self.assertTrue(answer["in_force_everywhere"], answer)
        # A majority of the entries holds the declarations. The other entries refuse submissions
        # until they hold them too.
        for entry in self.deployment.entries:
            wait_until(lambda e=entry: self.version(e) >= answer["version"], 5,
                       "every entry holds the declarations")

    def tearDown(self):
        """Checks in the logs of the backend servers that no task was started twice."""
        repeated_starts = {key: count for key, count in self.deployment.starts().items()
                           if count > 1}
        self.assertEqual(repeated_starts, {})

    def version(self, entry):
        return self.deployment.configuration_version(entry)

    def clean_up(self):
        self.deployment.stop()
        outcome = self._outcome.result
        if any(test is self for test, _ in outcome.errors + outcome.failures):
            print(f"logs: {self.directory}", file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    def job(self, submission, content, entry=0):
        return Job(self.deployment, submission, content, self.deployment.entries[entry])

    def submit(self, submission, content, entry=0):
        return self.deployment.submit("dambi", submission, content, TOKEN,
                                      self.deployment.entries[entry], timeout=40)

    def wait_for_starts(self, count):
        wait_until(lambda: len(self.deployment.starts()) >= count, 10, f"{count} tasks started")

    def coordinator_of(self, submission):
        """Index of the entry that the claims name as coordinator."""
        names = [entry.name for entry in self.deployment.entries]

        def find():
            for entry in self.deployment.entries:
                status, dump = self.deployment.operate("GET", "/debug/state", entry=entry)
                for claim in dump["state"]["claims"] if status == 200 else []:
                    if claim["submission_id"] == submission:
                        return [names.index(claim["coordinator"])]
            return None

        return wait_until(find, 10, f"claim of {submission}")[0]

    def assert_complete(self, outcome, content):
        status, answer = outcome
        self.assertEqual(status, 200, answer)
        self.assertEqual(answer["state"], "complete", answer)
        self.assertEqual(len(answer["tasks"]), len(content["tasks"]))
        for sent, got in zip(content["tasks"], answer["tasks"]):
            self.assertEqual(got["outcome"], "ran")
            self.assertEqual(got["result"]["echo"], sent)

    def assert_outcomes_match_starts(self, submission, answer):
        """Checks that tasks reported as not_run were never started, and those as ran exactly once."""
        starts = self.deployment.starts()
        for task in (answer or {}).get("tasks", []):
            count = starts.get(("dambi", submission, task["index"]), 0)
            if task["outcome"] == "not_run":
                self.assertEqual(count, 0, task)
            elif task["outcome"] == "ran":
                self.assertEqual(count, 1, task)

    def wait_for_complete_job(self, name, entry=0, seconds=20, deadline=5):
        """Waits until a small job submitted under a fresh id is complete."""
        attempt = 0

        def once():
            nonlocal attempt
            attempt += 1
            status, answer = self.submit(f"{name}-{attempt}", body(2, 10, deadline), entry)
            return status == 200 and answer["state"] == "complete"

        wait_until(once, seconds, f"a job is complete ({name})")
