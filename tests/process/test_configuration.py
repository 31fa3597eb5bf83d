import subprocess
import time
import unittest

from support import DECLARATIONS, IN_FORCE_SECONDS, ProcessTest, body, wait_until  # makes scripts/ importable

from cluster import CLI, OPERATOR_TOKEN


class Configuration(ProcessTest):
    def starts_in(self, data_centre):
        return sum(len(worker.starts()) for worker in self.deployment.workers
                   if worker.data_centre == data_centre)

    def set_data_centre(self, name, state):
        status, answer = self.deployment.operate("POST", f"/v1/data-centres/{name}/{state}", {})
        self.assertEqual(status, 200, answer)

    def test_no_task_starts_in_a_data_centre_that_is_out(self):
        """Guards against starts after IN_FORCE_SECONDS, and a data centre that never returns."""
        jobs = [self.job(f"before-{i}", body(8, 200), i % 3) for i in range(6)]
        self.set_data_centre("gangnam", "out")
        time.sleep(IN_FORCE_SECONDS)
        before = self.starts_in("gangnam")
        for i in range(6):
            content = body(8, 50, 15)
            self.assert_complete(self.submit(f"out-{i}", content, i % 3), content)
        self.assertEqual(self.starts_in("gangnam"), before)
        for job in jobs:
            self.assertEqual(job.result()[0], 200)
        self.set_data_centre("gangnam", "in")

        def used_again():
            self.submit(f"in-{time.monotonic_ns()}", body(24, 20, 10))
            return self.starts_in("gangnam") > before

        wait_until(used_again, 15, "the data centre is used again")

    def test_concurrent_change_of_the_same_version_gets_a_conflict(self):
        """Guards against a change that silently overwrites a newer version."""
        listed = self.deployment.operate("GET", "/v1/configuration")[1]
        version = listed["version"]
        # The configuration also has a row for the deadline bound of the account, which is not listed
        # because it is not declared.
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

    def carobfall(self, *arguments, token=OPERATOR_TOKEN):
        entry = self.deployment.entries[1].operator_address
        return subprocess.run([CLI, "--entry", entry, *arguments], capture_output=True, text=True,
                              env={"CAROBFALL_TOKEN": token}, check=False)

    def test_apply_with_prune_removes_what_the_files_no_longer_declare(self):
        """Guards against templates that outlive their declaration, and a removal applied twice."""
        file = self.directory / "dambi.yaml"
        template = DECLARATIONS.split("---")[1]
        file.write_text(f"{DECLARATIONS}---{template.replace('illustration', 'recheck')}")
        self.assertEqual(self.carobfall("template", "validate", str(file), token="").returncode, 0)
        self.assertEqual(self.carobfall("template", "apply", str(file)).returncode, 0)
        file.write_text(DECLARATIONS)
        kept = self.carobfall("template", "apply", str(file))
        self.assertNotIn("recheck", kept.stdout)
        planned = self.carobfall("template", "diff", "--prune", str(file))
        self.assertIn("removed template/dambi/recheck", planned.stdout)
        pruned = self.carobfall("template", "apply", "--prune", str(file))
        self.assertEqual(pruned.returncode, 0, pruned)
        self.assertIn("removed template/dambi/recheck", pruned.stdout)
        listed = self.carobfall("template", "list", "dambi").stdout
        self.assertIn("illustration", listed)
        self.assertNotIn("recheck", listed)

        change = {"yaml": "", "remove": ["template/dambi/illustration"], "change_id": "remove-1"}
        versions = [self.deployment.operate("POST", "/v1/apply", change)[1]["version"]
                    for _ in range(2)]
        self.assertEqual(versions[0], versions[1])
        self.assertEqual(self.submit("gone", body(1, 10))[0], 404)
        refused = self.deployment.operate("POST", "/v1/apply",
                                          {"yaml": "", "remove": ["data_centre/mapo"]})
        self.assertEqual(refused[0], 400, refused)

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
        before = self.starts_in("mapo")
        # All claims and records are lost, so that a submission which may have been accepted earlier
        # is refused. A late enough deadline shows that this submission is new.
        self.wait_for_complete_job("replaced", seconds=30, deadline=299)
        self.assertEqual(self.starts_in("mapo"), before)

    def test_a_submission_after_its_deadline_is_refused_without_running(self):
        """Guards against running a resubmission that arrives after its deadline."""
        status, answer = self.submit("late", body(2, 10, -1))
        self.assertGreaterEqual(status, 400, answer)
        self.assertEqual(self.deployment.starts(), {})


if __name__ == "__main__":
    unittest.main()
