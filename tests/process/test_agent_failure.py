import signal
import time
import unittest

from support import ProcessTest, body, wait_until  # makes scripts/ importable

from cluster import http


class AgentFailure(ProcessTest):
    workers, slots = 3, 2

    def test_paused_agent_starts_no_queued_task_before_lease_renewal(self):
        """Guards against queued tasks that a resumed agent starts although its lease has expired."""
        job = self.job("lease", body(12, 400, 15))
        self.wait_for_starts(6)
        agents = [worker.agent for worker in self.deployment.workers]
        others = [entry.process for entry in self.deployment.entries]
        for agent in agents:
            agent.pause()
        time.sleep(3)
        before = len(self.deployment.starts())
        for process in others:
            process.pause()
        for agent in agents:
            agent.send(signal.SIGCONT)
        time.sleep(1.5)
        self.assertEqual(len(self.deployment.starts()), before)
        for process in others:
            process.send(signal.SIGCONT)
        self.assert_outcomes_match_starts("lease", job.result()[1])
        self.wait_for_complete_job("later", seconds=30)

    def test_tasks_of_a_killed_agent_are_reported_as_may_have_run(self):
        """Guards against not_run for tasks whose agent is unreachable, and against reruns."""
        job = self.job("lost", body(6, 3000, 8))
        self.wait_for_starts(6)
        self.deployment.workers[0].agent.kill()
        self.deployment.workers[0].agent.start()
        status, answer = job.result()
        self.assertNotEqual(status, 200, answer)
        self.assertEqual(answer["state"], "failed")
        self.assert_outcomes_match_starts("lost", answer)
        self.assertIn("may_have_run", [task["outcome"] for task in answer["tasks"]])
        self.wait_for_complete_job("after")

    def test_backoff_of_a_failing_backend_server_is_listed(self):
        """Guards against a list of backend servers that omits the backoff of a failing one."""
        worker = self.deployment.workers[0]
        self.assertEqual(http("POST", worker.backend_url + "/control", {"fail": True})[0], 200)

        def backed_off(name):
            rows = [row for entry in self.deployment.entries for row in
                    self.deployment.operate("GET", "/v1/backends", entry=entry)[1]["backends"]]
            return [row["backoff_reason"] for row in rows
                    if row["agent"] == name and row["backoff_ms"] > 0]

        def failed_and_listed():
            self.submit(f"fail-{time.monotonic_ns()}", body(6, 50, 10))
            return backed_off(worker.name)

        reasons = wait_until(failed_and_listed, 20, "the backoff is listed")
        self.assertLessEqual(set(reasons), {"failed", "fast_failure"})
        self.assertEqual(backed_off(self.deployment.workers[1].name), [])
        http("POST", worker.backend_url + "/control", {"fail": False})

    def test_backend_server_that_leaves_gets_no_new_work(self):
        """Guards against starts on a backend server after it has announced its departure."""
        worker = self.deployment.workers[0]
        worker.backend.send(signal.SIGTERM)
        self.assertEqual(worker.backend.wait(10), 0)
        wait_until(lambda: self.deployment.usable_backends() == 2, 5,
                   "the backend server is unavailable")
        content = body(4, 50, 10)
        self.assert_complete(self.submit("leave", content), content)
        worker.backend.start()
        wait_until(lambda: self.deployment.usable_backends() == 3, 10,
                   "the backend server is available again")
        self.wait_for_complete_job("return")


if __name__ == "__main__":
    unittest.main()
