import signal
import time
import unittest

from support import ProcessTest, body, wait_until


class Drain(ProcessTest):
    def jobs(self, count, tasks, run_ms, entry_of):
        contents = {f"drain-{i}": body(tasks, run_ms) for i in range(count)}
        return [(self.job(name, content, entry_of(i)), content)
                for i, (name, content) in enumerate(contents.items())]

    def test_entry_shut_down_answers_its_requests_and_exits(self):
        """Guards against a graceful shutdown that cuts off requests in flight."""
        jobs = self.jobs(8, 3, 1500, lambda i: 0)
        self.wait_for_starts(12)
        process = self.deployment.entries[0].process
        process.send(signal.SIGTERM)
        for job, content in jobs:
            self.assert_complete(job.result(), content)
        self.assertEqual(process.wait(20), 0)
        self.wait_for_complete_job("others", 1)

    def test_agent_shut_down_finishes_running_tasks_and_returns_the_rest(self):
        """Guards against tasks that are cut off or lost when an agent is replaced."""
        jobs = self.jobs(4, 12, 700, lambda i: i % 3)
        self.wait_for_starts(16)
        agent = self.deployment.workers[0].agent
        agent.send(signal.SIGTERM)
        for job, content in jobs:
            self.assert_complete(job.result(), content)
        self.assertEqual(agent.wait(20), 0)
        started = len(self.deployment.workers[0].starts())
        self.wait_for_complete_job("without")
        self.assertEqual(len(self.deployment.workers[0].starts()), started)

    def test_rolling_restart_of_all_entries_keeps_serving_jobs(self):
        """Guards against a rolling restart that loses requests or needs operator action."""
        for index, entry in enumerate(self.deployment.entries):
            content = body(3, 600)
            job = self.job(f"roll-{index}", content, (index + 1) % 3)
            time.sleep(0.2)
            entry.process.send(signal.SIGTERM)
            self.assert_complete(job.result(), content)
            self.assertEqual(entry.process.wait(25), 0)
            entry.process.start()
            wait_until(entry.ready, 20, f"{entry.name} is ready")
        self.wait_for_complete_job("rolled")


if __name__ == "__main__":
    unittest.main()
