import signal
import time
import unittest

from support import DECLARATIONS, ProcessTest, body, wait_until


class StoreOutage(ProcessTest):
    def test_jobs_are_served_while_the_store_is_down(self):
        """Guards against dispatching that stops during an outage of the table service."""
        self.deployment.platform.pause()
        until = time.monotonic() + 8
        count = 0
        while time.monotonic() < until:
            content = body(4, 50, 10)
            self.assert_complete(self.submit(f"outage-{count}", content, count % 3), content)
            count += 1
            time.sleep(0.2)
        changed = DECLARATIONS.replace("100ms", "120ms")
        status, answer = self.deployment.operate("POST", "/v1/apply", {"yaml": changed},
                                                 timeout=60)
        self.assertGreaterEqual(status, 500, answer)
        self.assertTrue(answer["error"]["remedy"])
        self.deployment.platform.send(signal.SIGCONT)

        def applied():
            status, answer = self.deployment.apply(changed)
            return status == 200 and answer["in_force_everywhere"]

        wait_until(applied, 15, "the change is applied after the outage")


if __name__ == "__main__":
    unittest.main()
