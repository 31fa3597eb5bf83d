import threading
import time
import unittest

from support import Job, ProcessTest, body, http, wait_until

RECOVERY_SECONDS = 15


class Load:
    """Submits a small job every 150 ms through each entry in turn until it is stopped."""

    def __init__(self, deployment):
        self.deployment, self.jobs, self.stopped = deployment, [], threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopped.wait(0.15):
            number = len(self.jobs)
            entry = self.deployment.entries[number % len(self.deployment.entries)]
            self.jobs.append(Job(self.deployment, f"load-{number}", body(3, 100, 4), entry))

    def stop(self):
        self.stopped.set()
        self.thread.join()
        return [(job.submission, *job.result()) for job in self.jobs]


class Restart(ProcessTest):
    def setUp(self):
        super().setUp()
        self.operate("data-centres/guro/out")
        self.wait_for_version(self.newest_version())
        self.load = Load(self.deployment)
        # Start logs are read from files, because a killed backend server doesn't serve /starts.
        self.logs = [self.directory / f"backend-{index}.starts"
                     for index, worker in enumerate(self.deployment.workers)
                     if worker.data_centre != "guro"]
        wait_until(lambda: all(log.exists() for log in self.logs), 10,
                   "every backend server has run tasks")

    def operate(self, path, change_id=None, entry=0):
        query = f"?change_id={change_id}" if change_id else ""
        status, answer = self.deployment.operate("POST", f"/v1/{path}{query}", {}, timeout=60,
                                                 entry=self.deployment.entries[entry])
        self.assertEqual(status, 200, answer)
        return answer

    def newest_version(self):
        return max(self.version(entry) for entry in self.deployment.entries)

    def wait_for_version(self, version):
        for entry in self.deployment.entries:
            wait_until(lambda e=entry: self.version(e) >= version, RECOVERY_SECONDS,
                       f"{entry.name} has version {version}")

    def data_centres_out(self, entry):
        answer = self.deployment.operate("GET", "/v1/data-centres", entry=entry)[1]
        return [row["name"] for row in answer["data_centres"] if row["out"]]

    def starts_in(self, data_centre):
        return sum(len(worker.starts()) for worker in self.deployment.workers
                   if worker.data_centre == data_centre)

    def assert_recovers_from_kill(self, process):
        """Kills and restarts the process under load and checks that the deployment recovers."""
        version, out_starts = self.newest_version(), self.starts_in("guro")
        process.kill()
        time.sleep(0.5)
        sizes = [log.stat().st_size for log in self.logs]
        process.start()
        end = time.monotonic() + RECOVERY_SECONDS
        for index, entry in enumerate(self.deployment.entries):
            self.wait_for_complete_job(f"{process.name}-{index}", index, end - time.monotonic(),
                                       deadline=4)
            self.assertEqual(self.data_centres_out(entry), ["guro"])
            self.assertGreaterEqual(self.version(entry), version)
        wait_until(lambda: self.deployment.usable_backends() == self.workers,
                   end - time.monotonic(), "all backend servers are available at every entry")
        wait_until(lambda: all(log.stat().st_size > size for log, size in zip(self.logs, sizes)),
                   end - time.monotonic(), "every backend server is used again")
        print(f"{process.name}: recovered after "
              f"{time.monotonic() - end + RECOVERY_SECONDS:.1f} s", flush=True)
        answers = self.load.stop()
        for submission, _, answer in answers:
            self.assert_outcomes_match_starts(submission, answer)
        self.assertGreater(sum(status == 200 for _, status, _ in answers), 0)
        self.assertEqual(self.newest_version(), version)
        self.operate("data-centres/mapo/out")
        self.wait_for_version(version + 1)
        self.assertEqual(self.newest_version(), version + 1)
        self.assertEqual(self.starts_in("guro"), out_starts)

    def test_platform(self):
        """Guards against lost service or configuration when the platform stand-in is killed."""
        self.assert_recovers_from_kill(self.deployment.platform)

    def test_entry(self):
        """Guards against an entry that can't rejoin, or whose loss stops the others."""
        self.assert_recovers_from_kill(self.deployment.entries[1].process)

    def test_agent(self):
        """Guards against a restarted agent that gets no tasks, or whose records are lost."""
        self.assert_recovers_from_kill(self.deployment.workers[0].agent)

    def test_backend_server(self):
        """Guards against a restarted backend server that gets no tasks."""
        self.assert_recovers_from_kill(self.deployment.workers[0].backend)

    def test_change_whose_response_the_platform_lost_is_applied_once(self):
        """Guards against a change that is applied twice, or again after a later one."""
        before = self.newest_version()
        faults = {"lost_answers": 1, "delay_ms": 300}
        self.assertEqual(http("PUT", self.deployment.platform_url + "/control/faults", faults)[0],
                         200)
        path, outcome = "data-centres/mapo/out", []
        request = threading.Thread(target=lambda: outcome.append(self.deployment.operate(
            "POST", f"/v1/{path}?change_id=lost-1", {}, timeout=60)))
        request.start()
        journal = self.directory / "platform-data" / "journal.jsonl"
        wait_until(lambda: "lost-1" in journal.read_text(), 15, "the change is committed")
        self.deployment.platform.kill()
        time.sleep(1)
        self.deployment.platform.start()
        request.join(60)
        print(f"the operator got status {outcome[0][0]}", flush=True)
        wait_until(lambda: self.deployment.operate(
            "POST", f"/v1/{path}?change_id=lost-1", {}, self.deployment.entries[1])[0] == 200,
            RECOVERY_SECONDS, "the repeated change is answered")
        self.wait_for_version(before + 1)
        self.assertEqual(self.newest_version(), before + 1)
        self.operate("data-centres/mapo/in", "later-1")
        self.operate(path, "lost-1", 2)
        self.wait_for_version(before + 2)
        self.assertEqual(self.newest_version(), before + 2)
        for entry in self.deployment.entries:
            self.assertEqual(self.data_centres_out(entry), ["guro"])
        self.load.stop()


if __name__ == "__main__":
    unittest.main()
