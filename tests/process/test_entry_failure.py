import signal
import time
import unittest

from support import TOKEN, ProcessTest, body, http, wait_until


class EntryFailure(ProcessTest):
    def ready_again(self, index):
        wait_until(self.deployment.entries[index].ready, 30, f"entry {index} is ready")

    def test_killed_coordinator_starts_nothing_twice_and_successor_answers(self):
        """Guards against a resubmission that reruns tasks after its coordinator was killed."""
        content = body(6, 4000, 28)
        job = self.job("killed", content)
        index = self.coordinator_of("killed")
        self.wait_for_starts(6)
        self.deployment.entries[index].process.kill()
        job.result()
        survivor = (index + 1) % 3

        def answered():
            outcome = self.submit("killed", content, survivor)
            return outcome if (outcome[1] or {}).get("state") in ("complete", "failed") else None

        self.assert_complete(wait_until(answered, 25, "the successor answers"), content)
        self.deployment.entries[index].process.start()
        self.ready_again(index)
        self.wait_for_complete_job("after-restart", index)

    def test_recorded_answers_survive_the_kill_of_the_coordinator(self):
        """Guards against a successor that changes the recorded answer of a submission."""
        # All tasks take three seconds on the 32 slots, so that some are queued at the cancellation.
        job = self.job("cancelled", body(96, 1000, 40))
        index = self.coordinator_of("cancelled")
        self.wait_for_starts(16)
        url = self.deployment.entries[0].caller_url + "/v1/accounts/dambi/submissions/cancelled"
        wait_until(lambda: http("DELETE", url, token=TOKEN)[0] in (200, 202), 5, "cancelled")
        cancelled = job.result()[1]
        self.assertEqual(cancelled["error"]["kind"], "cancelled", cancelled)
        for number in range(50):
            name, content = f"complete-{number}", body(3, 10, 40)
            complete = self.submit(name, content, index)
            self.assert_complete(complete, content)
            if self.coordinator_of(name) == index:
                break
        time.sleep(0.5)  # the witness is notified of complete answers every 200 ms
        self.deployment.entries[index].process.kill()

        def answered(submission, sent):
            status, answer = self.submit(submission, sent, (index + 1) % 3)
            return (status, answer) if status not in (0, 503) else None

        same = wait_until(lambda: answered(name, content), 25, "the answer is repeated")
        for _, answer in (complete, same):
            del answer["request_id"]
        self.assertEqual(same, complete)
        status, answer = wait_until(lambda: answered("cancelled", job.content), 25, "refused")
        self.assertEqual((status, answer["error"]["kind"]), (410, "answer_expired"))
        self.assert_outcomes_match_starts("cancelled", cancelled)

    def test_paused_coordinator_starts_nothing_after_its_view_is_superseded(self):
        """Guards against starts by an entry that was removed from the view while it was paused."""
        content = body(4, 300, 25)
        job = self.job("paused", content)
        index = self.coordinator_of("paused")
        self.deployment.entries[index].process.pause()
        survivor = (index + 1) % 3
        self.wait_for_complete_job("meanwhile", survivor, 30)
        answer = self.submit("paused", content, survivor)[1]
        self.assert_outcomes_match_starts("paused", answer)
        self.deployment.entries[index].process.send(signal.SIGCONT)
        time.sleep(3)
        job.result()
        self.assert_outcomes_match_starts("paused", answer)

    def test_all_entries_killed_at_once_recover_without_operator(self):
        """Guards against a region that can't form a view after all its entries were restarted."""
        content = body(4, 2000, 25)
        job = self.job("all", content)
        self.wait_for_starts(4)
        for entry in self.deployment.entries:
            entry.process.kill()
        job.result()
        for entry in self.deployment.entries:
            entry.process.start()
        for index in range(3):
            self.ready_again(index)

        def answered():
            status, answer = self.submit("all", content, 1)
            self.assertNotEqual((answer or {}).get("state"), "complete", "all claims were lost")
            return status not in (0, 503)

        wait_until(answered, 30, "the old submission is answered")
        self.wait_for_complete_job("fresh", seconds=30)


if __name__ == "__main__":
    unittest.main()
