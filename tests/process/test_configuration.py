import time
import unittest

from support import DECLARATIONS, IN_FORCE_SECONDS, ProcessTest, body, wait_until


class Configuration(ProcessTest):
    def centre_starts(self, data_centre):
        return sum(len(worker.starts()) for worker in self.deployment.workers
                   if worker.data_centre == data_centre)

    def set_data_centre(self, name, state):
        status, answer = self.deployment.operate("POST", f"/v1/data-centres/{name}/{state}", {})
        self.assertEqual(status, 200, answer)

    def test_no_task_starts_in_a_data_centre_that_is_out(self):
        """Guards against starts after the bound, and against a data centre that stays out."""
        jobs = [self.job(f"before-{i}", body(8, 200), i % 3) for i in range(6)]
        self.set_data_centre("gangnam", "out")
        time.sleep(IN_FORCE_SECONDS)
        before = self.centre_starts("gangnam")
        for i in range(6):
            content = body(8, 50, 15)
            self.assert_complete(self.submit(f"out-{i}", content, i % 3), content)
        self.assertEqual(self.centre_starts("gangnam"), before)
        for job in jobs:
            self.assertEqual(job.result()[0], 200)
        self.set_data_centre("gangnam", "in")

        def used_again():
            self.submit(f"in-{time.monotonic_ns()}", body(24, 20, 10))
            return self.centre_starts("gangnam") > before

        wait_until(used_again, 15, "the data centre is used again")
        self.assert_no_second_start()

    def test_of_racing_operators_one_wins_and_the_other_gets_a_conflict(self):
        """Guards against a change that silently overwrites one the operator has not seen."""
        listed = self.deployment.operate("GET", "/v1/configuration")[1]
        version = listed["version"]
        # The deadline bound of the account is a row of the configuration, but no declaration.
        self.assertEqual([row["key"] for row in listed["rows"]],
                         ["account/dambi", "template/dambi/illustration"])
        changed = DECLARATIONS.replace("100ms", "150ms")
        first = self.deployment.operate("POST", "/v1/apply",
                                        {"yaml": changed, "expected_version": version})
        second = self.deployment.operate("POST", "/v1/apply",
                                         {"yaml": DECLARATIONS, "expected_version": version},
                                         self.deployment.entries[1])
        self.assertEqual(first[0], 200, first)
        self.assertEqual(second[0], 409, second)
        self.assertTrue(second[1]["error"]["remedy"])

    def test_accepted_configuration_survives_the_replacement_of_every_process(self):
        """Guards against a configuration that reverts when instances are replaced."""
        self.set_data_centre("mapo", "out")
        processes = [entry.process for entry in self.deployment.entries]
        processes += [worker.agent for worker in self.deployment.workers]
        for process in processes:
            process.kill()
        for process in processes:
            process.start()
        for entry in self.deployment.entries:
            wait_until(entry.ready, 30, f"{entry.name} is ready")
            answer = self.deployment.operate("GET", "/v1/data-centres", entry=entry)[1]
            out = [row["name"] for row in answer["data_centres"] if row["out"]]
            self.assertEqual(out, ["mapo"])
        before = self.centre_starts("mapo")
        # All claims and all records are lost: a submission that may have been accepted before is
        # refused, and only a late deadline shows that it is a new one.
        self.path_works("replaced", seconds=30, deadline=299)
        self.assertEqual(self.centre_starts("mapo"), before)

    def test_a_submission_after_its_deadline_is_refused_without_running(self):
        """Guards against a run of a late resubmission."""
        status, answer = self.submit("late", body(2, 10, -1))
        self.assertGreaterEqual(status, 400, answer)
        self.assertEqual(self.deployment.starts(), {})


if __name__ == "__main__":
    unittest.main()
