import unittest

from support import ProcessTest, body


class Answers(ProcessTest):
    def test_every_caller_gets_the_whole_answer_to_its_own_request(self):
        """Guards against answers delivered to the wrong one of many concurrent callers."""
        contents = {f"own-{i}": body(1 + i % 9, 20 + 7 * (i % 13), 25, f"caller {i}")
                    for i in range(120)}
        jobs = [(self.job(name, content, i % 3), content)
                for i, (name, content) in enumerate(contents.items())]
        for job, content in jobs:
            self.assert_complete(job.result(), content)

    def test_resubmission_through_any_entry_joins_or_gets_the_recorded_answer(self):
        """Guards against a second run after a resubmission."""
        content = body(5, 600)
        jobs = [self.job("again", content, i % 3) for i in range(9)]
        for job in jobs:
            self.assert_complete(job.result(), content)
        self.assert_complete(self.submit("again", content, 2), content)
        status, answer = self.submit("again", body(5, 600, 21), 1)
        self.assertEqual(status, 409, answer)

    def test_largest_job_is_complete_and_in_order(self):
        """Guards against a partial or reordered answer of a job of 670 tasks."""
        content = body(670, 5, 25)
        self.assert_complete(self.submit("large", content), content)


if __name__ == "__main__":
    unittest.main()
